//! Every role in one process: control replicas, two proxies and a stand-in group of three.

mod manifests;
mod roles;

use crate::client::{ApiClient, ClientError, ClientSettings};
use crate::control::{ControlProcess, ControlProcessError};
use crate::proxy::{ProxyError, ProxyHandle};
use crate::signals::{StopSignals, write_events_on_signal};
use crate::telemetry::{TelemetryError, install};
use corktack_core::identity::GroupName;
use corktack_core::view::View;
use corktack_standin::{Group, MemberError};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::timeout;

/// Group that `dev` serves, and its database.
pub const DEMO_GROUP: &str = "demo";
/// User that the printed command line names.
const DEMO_USER: &str = "app";
/// Port for callers unless another one is given.
pub const CALLERS_PORT: u16 = 6_432;
/// Port for operators unless another one is given.
pub const OPERATORS_PORT: u16 = 6_480;
/// Longest wait until the group is served.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Log records kept in memory.
const EVENT_RECORDS: usize = 4_096;

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

/// Where a running `dev` is reached; its text is the line that the program prints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ready {
    /// Callers' addresses of the proxies.
    pub callers: Vec<SocketAddr>,
    /// Operators' addresses of the control replicas.
    pub operators: Vec<SocketAddr>,
}

impl fmt::Display for Ready {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = |addresses: &[SocketAddr]| {
            let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
            texts.join(" ")
        };
        let (first, others) = self
            .callers
            .split_first()
            .map_or((None, &[][..]), |(first, others)| (Some(first), others));
        let port = first.map_or(0, SocketAddr::port);
        write!(
            formatter,
            "psql -h {} -p {port} -d {DEMO_GROUP} -U {DEMO_USER}   (second proxy {}; operators http://{})",
            Ipv4Addr::LOCALHOST,
            list(others),
            list(&self.operators)
        )
    }
}

/// A running `dev`.
pub struct Dev {
    ready: Ready,
    proxies: Vec<ProxyHandle>,
    control: Vec<ControlProcess>,
    group: Group,
    _temporary: Option<TempDir>,
}

impl Dev {
    /// Starts every role inside an actix system, and returns once the group is served.
    ///
    /// # Errors
    /// [`DevError`].
    pub async fn start(settings: DevSettings) -> Result<Self, DevError> {
        let (folder, temporary) = open_folder(&settings)?;
        let group = roles::start_group(&folder)?;
        let control = roles::start_control(&folder, &settings)?;
        let operators: Vec<SocketAddr> =
            control.iter().map(|replica| replica.addresses().operators).collect();
        apply_manifests(&operators, &group).await?;
        let proxies = roles::start_proxies(&folder, &settings, &control).await?;
        for proxy in &proxies {
            wait_until_served(proxy).await?;
        }
        let callers = proxies.iter().map(|proxy| proxy.addresses().callers).collect();
        let ready = Ready { callers, operators };
        Ok(Self { ready, proxies, control, group, _temporary: temporary })
    }

    /// Where it is reached.
    #[must_use]
    pub const fn ready(&self) -> &Ready {
        &self.ready
    }

    /// The control replicas, for further proxies to join.
    #[must_use]
    pub fn control(&self) -> &[ControlProcess] {
        &self.control
    }

    /// The proxies, to look at and to reach.
    #[must_use]
    pub fn proxies(&self) -> &[ProxyHandle] {
        &self.proxies
    }

    /// The stand-in group, to stop and restart its members.
    pub const fn group(&mut self) -> &mut Group {
        &mut self.group
    }

    /// Stops every role as planned, one after the other.
    pub async fn stop(self) {
        for proxy in self.proxies {
            proxy.stop().await;
        }
        for replica in self.control {
            replica.stop().await;
        }
    }
}

fn open_folder(settings: &DevSettings) -> Result<(PathBuf, Option<TempDir>), DevError> {
    if let Some(folder) = &settings.data_folder {
        return Ok((folder.clone(), None));
    }
    let made = tempfile::Builder::new().prefix("corktack-dev-").tempdir();
    let made = made.map_err(|source| DevError::Folder { folder: std::env::temp_dir(), source })?;
    Ok((made.path().to_owned(), Some(made)))
}

async fn apply_manifests(operators: &[SocketAddr], group: &Group) -> Result<(), DevError> {
    let servers = operators.iter().map(|address| format!("http://{address}")).collect();
    let client = ApiClient::new(ClientSettings { servers, ..ClientSettings::default() })?;
    for request in manifests::requests(group)? {
        let _written: corktack_control::api::WriteBody = client.request(request).await?;
    }
    Ok(())
}

async fn wait_until_served(proxy: &ProxyHandle) -> Result<(), DevError> {
    let group = GroupName::new(DEMO_GROUP)?;
    let served = |view: &std::sync::Arc<View>| {
        view.groups
            .get(&group)
            .is_some_and(|group| group.primary.is_some() && group.owner.is_some())
    };
    let mut views = proxy.views();
    match timeout(READY_LIMIT, views.wait_for(served)).await {
        Ok(Ok(_)) => Ok(()),
        _ => Err(DevError::NotReady),
    }
}

/// Runs `dev` until SIGTERM or SIGINT; `announce` is called once it is ready.
///
/// # Errors
/// [`DevError`] when it cannot start.
pub fn run_until_stopped(
    settings: DevSettings,
    announce: impl FnOnce(&Ready),
) -> Result<(), DevError> {
    let (folder, temporary) = open_folder(&settings)?;
    let events = install(&folder, EVENT_RECORDS)?;
    let settings = DevSettings { data_folder: Some(folder), ..settings };
    actix_rt::System::new().block_on(async {
        write_events_on_signal(events).map_err(DevError::Signals)?;
        let mut stop = StopSignals::listen().map_err(DevError::Signals)?;
        let dev = tokio::select! {
            started = Dev::start(settings) => started?,
            () = stop.received() => return Ok::<(), DevError>(()),
        };
        announce(dev.ready());
        stop.received().await;
        dev.stop().await;
        Ok(())
    })?;
    drop(temporary);
    Ok(())
}
