//! Plan of a fleet: names, zones and loopback addresses of all processes, and their settings files.
//!
//! The plan takes the sizes and regions from a profile. It reserves no ports and starts no processes.

use super::ports::free_address;
use crate::profile::Profile;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Control replicas of a fleet: the smallest cell that tolerates the loss of a replica.
const CONTROL_REPLICA_COUNT: u64 = 3;
/// Proxies of a fleet: one per region, since each profile has three regions.
const PROXY_COUNT: usize = 3;

/// Plan of a control replica.
#[derive(Clone, Debug)]
pub struct ControlPlan {
    /// Id of the replica in the cell.
    pub id: u64,
    /// Address for the other replicas of the cell.
    pub cell: SocketAddr,
    /// Address for proxies.
    pub proxies: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// Plan of a proxy.
#[derive(Clone, Debug)]
pub struct ProxyPlan {
    /// Name in the fleet.
    pub name: String,
    /// Zone, as `REGION.NUMBER`.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other proxies.
    pub peers: SocketAddr,
    /// Address for metrics and readiness.
    pub telemetry: SocketAddr,
}

/// Plan of a member of a group.
#[derive(Clone, Debug)]
pub struct MemberPlan {
    /// Name in the fleet.
    pub name: String,
    /// Zone, as `REGION.NUMBER`.
    pub zone: String,
    /// Address of the PostgreSQL interface.
    pub sql: SocketAddr,
    /// Address for replication from the other members.
    pub replication: SocketAddr,
}

/// Plan of a database group.
#[derive(Clone, Debug)]
pub struct GroupPlan {
    /// Name of the group and of its database.
    pub name: String,
    /// Members, of which the first starts as primary.
    pub members: Vec<MemberPlan>,
}

/// Plan of a whole fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Workload and topology that the fleet serves.
    pub profile: Profile,
    /// Folder of settings, data and logs.
    pub folder: PathBuf,
    /// Control replicas.
    pub controls: Vec<ControlPlan>,
    /// Proxies, assigned to the regions in turn.
    pub proxies: Vec<ProxyPlan>,
    /// Groups, assigned to the regions in turn.
    pub groups: Vec<GroupPlan>,
    /// Interval between an owner's probes of a member in milliseconds; the default of
    /// `corktack proxy` if absent.
    pub probe_interval_ms: Option<u32>,
}

impl FleetPlan {
    /// Plans a fleet for a profile.
    ///
    /// # Errors
    /// The error of the search for free ports.
    pub fn new(profile: Profile, folder: &Path) -> std::io::Result<Self> {
        let controls = (1..=CONTROL_REPLICA_COUNT).map(plan_control).collect::<Result<_, _>>()?;
        let proxies =
            (0..PROXY_COUNT).map(|index| plan_proxy(&profile, index)).collect::<Result<_, _>>()?;
        let groups = (0..profile.groups as usize).map(|index| plan_group(&profile, index));
        let groups = groups.collect::<Result<_, _>>()?;
        let folder = folder.to_owned();
        Ok(Self { profile, folder, controls, proxies, groups, probe_interval_ms: None })
    }

    /// Replaces the interval between an owner's probes; `None` selects the default of `corktack proxy`.
    #[must_use]
    pub fn with_probe_interval(mut self, probe_interval_ms: Option<u32>) -> Self {
        self.probe_interval_ms = probe_interval_ms;
        self
    }
}

fn plan_control(id: u64) -> std::io::Result<ControlPlan> {
    let (cell, proxies, operators) = (free_address()?, free_address()?, free_address()?);
    Ok(ControlPlan { id, cell, proxies, operators })
}

fn plan_proxy(profile: &Profile, index: usize) -> std::io::Result<ProxyPlan> {
    let region = &profile.regions[index % profile.regions.len()];
    Ok(ProxyPlan {
        name: format!("proxy-{}", index + 1),
        zone: format!("{region}.1"),
        callers: free_address()?,
        peers: free_address()?,
        telemetry: free_address()?,
    })
}

fn plan_group(profile: &Profile, index: usize) -> std::io::Result<GroupPlan> {
    let region = &profile.regions[index % profile.regions.len()];
    let name = format!("{}-{}", profile.name, index + 1);
    let members = (1..=profile.members).map(|member| {
        Ok(MemberPlan {
            name: format!("{name}-m{member}"),
            zone: format!("{region}.{member}"),
            sql: free_address()?,
            replication: free_address()?,
        })
    });
    let members = members.collect::<std::io::Result<_>>()?;
    Ok(GroupPlan { name, members })
}

impl FleetPlan {
    /// Returns the text of a control replica's settings file for `corktack control`.
    ///
    /// # Errors
    /// The encoder's error when a value cannot be represented in TOML.
    pub fn control_file(
        &self,
        control: &ControlPlan,
        data_folder: &Path,
    ) -> Result<String, toml::ser::Error> {
        let member = |replica: &ControlPlan| json!({ "id": replica.id, "address": replica.cell });
        toml::to_string(&json!({
            "replica": control.id,
            "data_folder": data_folder,
            "addresses": {
                "cell": control.cell,
                "proxies": control.proxies,
                "operators": control.operators,
            },
            "members": self.controls.iter().map(member).collect::<Vec<_>>(),
        }))
    }

    /// Returns the text of a proxy's settings file for `corktack proxy`. The proxy announces
    /// `announced` to other proxies and connects to the control replicas at `controls`.
    ///
    /// # Errors
    /// The encoder's error when a value cannot be represented in TOML.
    pub fn proxy_file(
        &self,
        proxy: &ProxyPlan,
        data_folder: &Path,
        announced: SocketAddr,
        controls: &[SocketAddr],
    ) -> Result<String, toml::ser::Error> {
        let mut timeouts = json!({});
        if let Some(interval) = self.probe_interval_ms {
            timeouts["probe_interval_ms"] = json!(interval);
        }
        toml::to_string(&json!({
            "name": proxy.name,
            "zone": proxy.zone,
            "data_folder": data_folder,
            "addresses": {
                "callers": proxy.callers,
                "peers": proxy.peers,
                "peers_announced": announced,
                "telemetry": proxy.telemetry,
            },
            "control": { "replicas": controls },
            "timeouts": timeouts,
        }))
    }
}
