//! Starts the roles of `dev` on loopback addresses.
//!
//! Relies on a file of the data folder for the replicas' ports: the cell knows its members by them.

use super::manifests::{DEFAULT_CLASS, ZONE};
use super::settings::{DEMO_GROUP, DevError, DevSettings};
use crate::control::{Bootstrap, ControlProcess, bind_listeners, start_on};
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

/// Proxies of `dev`.
const PROXIES: usize = 2;
/// Connections that each member of the group takes. Chosen, not measured; more than the group's connections of
/// both proxies together.
const MEMBER_CONNECTIONS: usize = 100;
/// Name of the cell.
const CELL: &str = "dev";
/// File in the data folder that keeps the replicas' ports: the cell knows its members by them.
const PORTS_FILE: &str = "control-ports.json";

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

pub(super) fn start_group(folder: &Path) -> Result<Group, DevError> {
    let mut settings = GroupSettings::new(GroupName::new(DEMO_GROUP)?, folder.join("group"));
    settings.connection_limit = MEMBER_CONNECTIONS;
    Ok(Group::start(settings)?)
}

pub(super) fn start_control(
    folder: &Path,
    settings: &DevSettings,
) -> Result<Vec<ControlProcess>, DevError> {
    let replicas = settings.control_replicas;
    if replicas != 1 && replicas != 3 {
        return Err(DevError::ControlReplicas(replicas));
    }
    let ports = read_ports(folder, replicas)?;
    let mut prepared = Vec::new();
    for (place, port) in ports.into_iter().enumerate() {
        // The first replica has the known port for operators.
        let operators = if place == 0 { settings.operators_port } else { 0 };
        let settings = control_settings(folder, place, port, operators);
        let listeners =
            bind_listeners(&settings).map_err(crate::control::ControlProcessError::from)?;
        prepared.push((settings, listeners));
    }
    let members = members(&prepared, folder)?;
    write_ports(folder, &members)?;
    let start = |(mut settings, listeners): (ControlSettings, ControlListeners)| {
        settings.members.clone_from(&members);
        start_on(settings, listeners, Bootstrap::Allow).map_err(DevError::from)
    };
    prepared.into_iter().map(start).collect()
}

fn members(
    prepared: &[(ControlSettings, ControlListeners)],
    folder: &Path,
) -> Result<Vec<ControlMember>, DevError> {
    let failed = |source| DevError::Folder { folder: folder.to_owned(), source };
    let member = |(settings, listeners): &(ControlSettings, ControlListeners)| {
        let address = listeners.cell.local_addr().map_err(failed)?;
        Ok(ControlMember { id: settings.replica, address })
    };
    prepared.iter().map(member).collect()
}

fn read_ports(folder: &Path, replicas: usize) -> Result<Vec<u16>, DevError> {
    match std::fs::read(folder.join(PORTS_FILE)) {
        Ok(bytes) => Ok(serde_json::from_slice(&bytes)?),
        // A first start takes free ports.
        Err(_) => Ok(vec![0; replicas]),
    }
}

fn write_ports(folder: &Path, members: &[ControlMember]) -> Result<(), DevError> {
    let failed = |source| DevError::Folder { folder: folder.to_owned(), source };
    let ports: Vec<u16> = members.iter().map(|member| member.address.port()).collect();
    std::fs::create_dir_all(folder).map_err(failed)?;
    std::fs::write(folder.join(PORTS_FILE), serde_json::to_vec(&ports)?).map_err(failed)
}

fn control_settings(folder: &Path, place: usize, cell: u16, operators: u16) -> ControlSettings {
    let replica = place as u64 + 1;
    ControlSettings {
        cell: CELL.to_owned(),
        replica,
        data_folder: folder.join(format!("control-{replica}")),
        join: false,
        operator_token: None,
        addresses: ControlAddresses {
            cell: loopback(cell),
            proxies: loopback(0),
            operators: loopback(operators),
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
    for place in 0..PROXIES {
        // The first proxy has the known port for callers.
        let callers = if place == 0 { settings.callers_port } else { 0 };
        let settings = proxy_settings(folder, place, callers, replicas.clone())?;
        proxies.push(start(settings).await?);
    }
    Ok(proxies)
}

fn proxy_settings(
    folder: &Path,
    place: usize,
    callers: u16,
    replicas: Vec<SocketAddr>,
) -> Result<ProxySettings, DevError> {
    let name = format!("proxy-{}", place + 1);
    Ok(ProxySettings {
        data_folder: folder.join(&name),
        name: ProxyName::new(name)?,
        zone: ZoneName::new(ZONE)?,
        default_class: ClassName::new(DEFAULT_CLASS)?,
        back_end_user: "corktack".to_owned(),
        addresses: ProxyAddresses {
            callers: loopback(callers),
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
