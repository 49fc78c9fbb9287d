//! Every role in one process: control replicas, two proxies and a stand-in group of three.
//!
//! Owns the parts and their folder. Relies on the same starts as the programs of one role, so that what works
//! here works there.

mod manifests;
mod roles;
mod settings;

pub use settings::{DEMO_GROUP, DevError, DevSettings};

use crate::client::{ApiClient, ClientSettings};
use crate::control::ControlProcess;
use crate::proxy::ProxyHandle;
use crate::signals::{StopSignals, write_events_on_signal};
use crate::telemetry::install;
use corktack_core::identity::GroupName;
use corktack_core::view::View;
use corktack_standin::Group;
use settings::{DEMO_USER, EVENT_RECORDS, READY_LIMIT};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use tempfile::TempDir;
use tokio::time::timeout;

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
