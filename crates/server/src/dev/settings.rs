//! Settings and errors of `dev`.

use crate::client::ClientError;
use crate::control::ControlProcessError;
use crate::proxy::ProxyError;
use crate::telemetry::TelemetryError;
use corktack_standin::MemberError;
use std::path::PathBuf;
use std::time::Duration;

/// Name of the group that `dev` serves, and of its database.
pub const DEMO_GROUP: &str = "demo";
/// User in the printed command line.
pub(super) const DEMO_USER: &str = "app";
/// Default port of the first proxy for callers.
const DEFAULT_CALLERS_PORT: u16 = 6_432;
/// Default port of the first control replica for operators.
const DEFAULT_OPERATORS_PORT: u16 = 6_480;
/// Longest wait until a proxy serves the group. A shorter time makes `dev` fail on slow machines.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of log records kept in memory; equal to the default of `limits.event_records`.
pub(super) const EVENT_RECORDS: usize = 4_096;

/// Error at the start of `dev`.
#[derive(Debug, thiserror::Error)]
pub enum DevError {
    /// The temporary folder, the data folder or a file in it cannot be created.
    #[error("folder {}: cannot be made", folder.display())]
    Folder {
        /// Path of the folder.
        folder: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The given number of control replicas is not supported.
    #[error("--control-replicas {0}: must be 1 or 3")]
    ControlReplicas(usize),
    /// The stand-in group cannot start.
    #[error("the stand-in group cannot start")]
    Group(#[from] MemberError),
    /// A control replica cannot start.
    #[error(transparent)]
    Control(#[from] ControlProcessError),
    /// A proxy cannot start.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    /// The built-in manifests cannot be applied.
    #[error("the built-in manifests cannot be applied")]
    Apply(#[from] ClientError),
    /// A built-in resource or the file of the replicas' ports cannot be converted from or to JSON.
    #[error("a built-in resource has no JSON form")]
    Encode(#[from] serde_json::Error),
    /// A built-in name is not valid.
    #[error("a built-in name is not valid")]
    Name(#[from] corktack_core::identity::NameError),
    /// A proxy does not serve the group within the timeout.
    #[error("group {DEMO_GROUP} is not served after {} s", READY_TIMEOUT.as_secs())]
    NotReady,
    /// The event log cannot be installed.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// A signal handler cannot be installed.
    #[error("signals cannot be listened for")]
    Signals(#[source] std::io::Error),
}

/// Settings of `dev`, from the flags of its command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DevSettings {
    /// Folder that keeps the data over restarts; a temporary folder is used if absent.
    pub data_folder: Option<PathBuf>,
    /// Port of the first proxy for callers, on 127.0.0.1; 0 takes a free port.
    pub callers_port: u16,
    /// Port of the first control replica for operators, on 127.0.0.1; 0 takes a free port.
    pub operators_port: u16,
    /// Number of control replicas: 1 or 3.
    pub control_replicas: usize,
}

impl Default for DevSettings {
    fn default() -> Self {
        Self {
            data_folder: None,
            callers_port: DEFAULT_CALLERS_PORT,
            operators_port: DEFAULT_OPERATORS_PORT,
            control_replicas: 1,
        }
    }
}
