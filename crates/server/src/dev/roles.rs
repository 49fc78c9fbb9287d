//! Starts the roles of `dev` on loopback addresses.
//!
//! A file in the data folder keeps the control replicas' ports over restarts, because the stored cell
//! configuration identifies its members by their addresses.

use super::manifests::{DEFAULT_CLASS, ZONE};
use super::settings::{DEMO_GROUP, DevError, DevSettings};
use crate::control::{Bootstrap, ControlProcess, bind_listeners, start_with_listeners};
use crate::proxy::{ProxyHandle, start};
use crate::settings::control::{ControlAddresses, ControlLimits, ControlMember, ControlTimeouts};
use crate::settings::proxy::{
    Authentication, ControlConnection, ProxyAddresses, ProxyLimits, ProxyTimeouts,
};
use crate::settings::{ControlSettings, FailoverTimes, ProxySettings};
use corktack_control::ControlListeners;
use corktack_core::identity::{ClassName, GroupName, ProxyName, ZoneName};
use corktack_standin::{Group, GroupSettings};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// Number of proxies.
const PROXY_COUNT: usize = 2;
/// Most connections that each member of the group accepts; above the number of the group's connections over
/// both proxies together.
const MEMBER_CONNECTION_LIMIT: usize = 100;
/// Name of the cell.
const CELL_NAME: &str = "dev";
/// File in the data folder that keeps the control replicas' ports over restarts.
const PORTS_FILE: &str = "control-ports.json";

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

pub(super) fn start_group(folder: &Path) -> Result<Group, DevError> {
    let mut settings = GroupSettings::new(GroupName::new(DEMO_GROUP)?, folder.join("group"));
    settings.connection_limit = MEMBER_CONNECTION_LIMIT;
    Ok(Group::start(settings)?)
}

pub(super) fn start_control(
    folder: &Path,
    settings: &DevSettings,
) -> Result<Vec<ControlProcess>, DevError> {
    let replica_count = settings.control_replicas;
    if replica_count != 1 && replica_count != 3 {
        return Err(DevError::ControlReplicas(replica_count));
    }
    let ports = read_ports(folder, replica_count)?;
    let mut prepared_replicas = Vec::new();
    for (index, port) in ports.into_iter().enumerate() {
        // The first replica listens for operators on the port of the settings.
        let operators_port = if index == 0 { settings.operators_port } else { 0 };
        let settings = control_settings(folder, index, port, operators_port);
        let listeners =
            bind_listeners(&settings).map_err(crate::control::ControlProcessError::from)?;
        prepared_replicas.push((settings, listeners));
    }
    let members = cell_members(&prepared_replicas, folder)?;
    write_ports(folder, &members)?;
    let start = |(mut settings, listeners): (ControlSettings, ControlListeners)| {
        settings.members.clone_from(&members);
        start_with_listeners(settings, listeners, Bootstrap::Allow).map_err(DevError::from)
    };
    prepared_replicas.into_iter().map(start).collect()
}

fn cell_members(
    prepared_replicas: &[(ControlSettings, ControlListeners)],
    folder: &Path,
) -> Result<Vec<ControlMember>, DevError> {
    let folder_error = |source| DevError::Folder { folder: folder.to_owned(), source };
    let member = |(settings, listeners): &(ControlSettings, ControlListeners)| {
        let address = listeners.cell.local_addr().map_err(folder_error)?;
        Ok(ControlMember { id: settings.replica, address })
    };
    prepared_replicas.iter().map(member).collect()
}

fn read_ports(folder: &Path, replica_count: usize) -> Result<Vec<u16>, DevError> {
    match std::fs::read(folder.join(PORTS_FILE)) {
        Ok(bytes) => Ok(serde_json::from_slice(&bytes)?),
        // Port 0 makes a first start use free ports.
        Err(_) => Ok(vec![0; replica_count]),
    }
}

fn write_ports(folder: &Path, members: &[ControlMember]) -> Result<(), DevError> {
    let folder_error = |source| DevError::Folder { folder: folder.to_owned(), source };
    let ports: Vec<u16> = members.iter().map(|member| member.address.port()).collect();
    std::fs::create_dir_all(folder).map_err(folder_error)?;
    std::fs::write(folder.join(PORTS_FILE), serde_json::to_vec(&ports)?).map_err(folder_error)
}

fn control_settings(
    folder: &Path,
    index: usize,
    cell_port: u16,
    operators_port: u16,
) -> ControlSettings {
    let replica = index as u64 + 1;
    ControlSettings {
        cell: CELL_NAME.to_owned(),
        replica,
        data_folder: folder.join(format!("control-{replica}")),
        join: false,
        operator_token: None,
        addresses: ControlAddresses {
            cell: loopback(cell_port),
            proxies: loopback(0),
            operators: loopback(operators_port),
        },
        members: Vec::new(),
        platform: None,
        limits: ControlLimits::default(),
        timeouts: ControlTimeouts::default(),
        failover: FailoverTimes::default(),
    }
}

pub(super) async fn start_proxies(
    folder: &Path,
    settings: &DevSettings,
    control: &[ControlProcess],
) -> Result<Vec<ProxyHandle>, DevError> {
    let replicas: Vec<SocketAddr> =
        control.iter().map(|replica| replica.addresses().proxies).collect();
    let mut proxies = Vec::new();
    for index in 0..PROXY_COUNT {
        // The first proxy listens for callers on the port of the settings.
        let callers_port = if index == 0 { settings.callers_port } else { 0 };
        let settings = proxy_settings(folder, index, callers_port, replicas.clone())?;
        proxies.push(start(settings).await?);
    }
    Ok(proxies)
}

fn proxy_settings(
    folder: &Path,
    index: usize,
    callers_port: u16,
    replicas: Vec<SocketAddr>,
) -> Result<ProxySettings, DevError> {
    let name = format!("proxy-{}", index + 1);
    Ok(ProxySettings {
        data_folder: folder.join(&name),
        name: ProxyName::new(name)?,
        zone: ZoneName::new(ZONE)?,
        default_class: ClassName::new(DEFAULT_CLASS)?,
        back_end_user: "corktack".to_owned(),
        addresses: ProxyAddresses {
            callers: loopback(callers_port),
            peers: loopback(0),
            peers_announced: None,
            peers_own: None,
            telemetry: loopback(0),
        },
        control: ControlConnection::new(replicas),
        authentication: Authentication::default(),
        limits: ProxyLimits::default(),
        timeouts: ProxyTimeouts::default(),
    })
}
