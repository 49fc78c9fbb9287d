//! Settings of `dev`, and why it could not start.

use crate::client::ClientError;
use crate::control::ControlProcessError;
use crate::proxy::ProxyError;
use crate::telemetry::TelemetryError;
use corktack_standin::MemberError;
use std::path::PathBuf;
use std::time::Duration;

/// Group that `dev` serves, and its database.
pub const DEMO_GROUP: &str = "demo";
/// User that the printed command line names.
pub(super) const DEMO_USER: &str = "app";
/// Port for callers unless another one is given.
const CALLERS_PORT: u16 = 6_432;
/// Port for operators unless another one is given.
const OPERATORS_PORT: u16 = 6_480;
/// Longest wait until the group is served. Chosen, not measured; a lower value gives up on slow machines.
pub(super) const READY_LIMIT: Duration = Duration::from_secs(30);
/// Log records kept in memory; as the default of the settings files.
pub(super) const EVENT_RECORDS: usize = 4_096;

/// Why `dev` could not start.
#[derive(Debug, thiserror::Error)]
pub enum DevError {
    /// The temporary folder or a folder below the given one cannot be made.
    #[error("folder {}: cannot be made", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The number of control replicas is not served.
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
    /// A built-in resource has no JSON form.
    #[error("a built-in resource has no JSON form")]
    Encode(#[from] serde_json::Error),
    /// A built-in name is not valid.
    #[error("a built-in name is not valid")]
    Name(#[from] corktack_core::identity::NameError),
    /// The group was not served in time.
    #[error("group {DEMO_GROUP} is not served after {} s", READY_LIMIT.as_secs())]
    NotReady,
    /// The log cannot be installed.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// Signals cannot be listened for.
    #[error("signals cannot be listened for")]
    Signals(#[source] std::io::Error),
}

/// Settings of `dev`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DevSettings {
    /// Folder that keeps the data over restarts; otherwise a temporary one.
    pub data_folder: Option<PathBuf>,
    /// Port for callers of the first proxy on 127.0.0.1; 0 takes a free one.
    pub callers_port: u16,
    /// Port for operators on 127.0.0.1; 0 takes a free one.
    pub operators_port: u16,
    /// Number of control replicas: 1 or 3.
    pub control_replicas: usize,
}

impl Default for DevSettings {
    fn default() -> Self {
        Self {
            data_folder: None,
            callers_port: CALLERS_PORT,
            operators_port: OPERATORS_PORT,
            control_replicas: 1,
        }
    }
}
