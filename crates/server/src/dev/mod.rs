//! Runs every role in one process: control replicas, two proxies and a stand-in group of three members.
//!
//! Holds the running roles and their temporary folder. Each role starts through the same functions as in a
//! program of that role alone, so that both behave alike.

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
use settings::{DEMO_USER, EVENT_RECORDS, READY_TIMEOUT};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use tempfile::TempDir;
use tokio::time::timeout;

/// Addresses of a running `dev`; the program prints their `Display` text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DevAddresses {
    /// Address for callers of each proxy.
    pub callers: Vec<SocketAddr>,
    /// Address for operators of each control replica.
    pub operators: Vec<SocketAddr>,
}

impl fmt::Display for DevAddresses {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let join = |addresses: &[SocketAddr]| {
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
            join(others),
            join(&self.operators)
        )
    }
}

/// Roles of a running `dev`.
pub struct Dev {
    ready: DevAddresses,
    proxies: Vec<ProxyHandle>,
    control: Vec<ControlProcess>,
    group: Group,
    _temporary: Option<TempDir>,
}

impl Dev {
    /// Starts every role and returns once both proxies serve the group; must be called inside an
    /// actix system.
    ///
    /// # Errors
    /// Returns [`DevError`] if a role cannot start or the group is not served in time.
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
        let ready = DevAddresses { callers, operators };
        Ok(Self { ready, proxies, control, group, _temporary: temporary })
    }

    /// Returns the addresses of the roles.
    #[must_use]
    pub const fn ready(&self) -> &DevAddresses {
        &self.ready
    }

    /// Returns the control replicas, to which further proxies can connect.
    #[must_use]
    pub fn control(&self) -> &[ControlProcess] {
        &self.control
    }

    /// Returns the proxies.
    #[must_use]
    pub fn proxies(&self) -> &[ProxyHandle] {
        &self.proxies
    }

    /// Returns the stand-in group, whose members can be stopped and restarted.
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
    let temporary = tempfile::Builder::new().prefix("corktack-dev-").tempdir();
    let temporary =
        temporary.map_err(|source| DevError::Folder { folder: std::env::temp_dir(), source })?;
    Ok((temporary.path().to_owned(), Some(temporary)))
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
    let is_served = |view: &std::sync::Arc<View>| {
        view.groups
            .get(&group)
            .is_some_and(|group| group.primary.is_some() && group.owner.is_some())
    };
    let mut views = proxy.views();
    match timeout(READY_TIMEOUT, views.wait_for(is_served)).await {
        Ok(Ok(_)) => Ok(()),
        _ => Err(DevError::NotReady),
    }
}

/// Runs `dev` until SIGTERM or SIGINT; calls `announce` with its addresses once the group is served.
///
/// # Errors
/// Returns [`DevError`] if a role cannot start.
pub fn run_until_stopped(
    settings: DevSettings,
    announce: impl FnOnce(&DevAddresses),
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
