//! Names, addresses and files of a fleet before it is started.
//!
//! Owns the names, zones and loopback addresses of all processes and the text of their settings files. Relies
//! on the profile for numbers and regions; starts nothing.

use super::ports::free_address;
use crate::profile::Profile;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Control replicas of a fleet, the fewest that bear a loss.
const CONTROLS: u64 = 3;
/// Proxies of a fleet, one a region of both profiles.
const PROXIES: usize = 3;

/// A control replica.
#[derive(Clone, Debug)]
pub struct ControlPlan {
    /// Identity.
    pub id: u64,
    /// Interface for other replicas.
    pub cell: SocketAddr,
    /// Interface for proxies.
    pub proxies: SocketAddr,
    /// Interface for operators.
    pub operators: SocketAddr,
}

/// A proxy.
#[derive(Clone, Debug)]
pub struct ProxyPlan {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Interface for callers.
    pub callers: SocketAddr,
    /// Interface for other proxies.
    pub peers: SocketAddr,
    /// Metrics and readiness.
    pub telemetry: SocketAddr,
}

/// A member of a group.
#[derive(Clone, Debug)]
pub struct MemberPlan {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// PostgreSQL interface.
    pub sql: SocketAddr,
    /// Replication interface.
    pub replication: SocketAddr,
}

/// A database group.
#[derive(Clone, Debug)]
pub struct GroupPlan {
    /// Name, and name of its database.
    pub name: String,
    /// Members; the first starts as primary.
    pub members: Vec<MemberPlan>,
}

/// A whole fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The workload it serves.
    pub profile: Profile,
    /// Folder of settings, data and logs.
    pub folder: PathBuf,
    /// Control replicas.
    pub controls: Vec<ControlPlan>,
    /// Proxies, one a region in turn.
    pub proxies: Vec<ProxyPlan>,
    /// Groups, one a region in turn.
    pub groups: Vec<GroupPlan>,
    /// Time between an owner's probes of a member, in milliseconds; the default of
    /// `corktack proxy` when absent.
    pub probe_interval_ms: Option<u32>,
}

impl FleetPlan {
    /// Plans a fleet for a profile.
    ///
    /// # Errors
    /// The system's error when ports cannot be had.
    pub fn new(profile: Profile, folder: &Path) -> std::io::Result<Self> {
        let controls = (1..=CONTROLS).map(plan_control).collect::<Result<_, _>>()?;
        let proxies = (0..PROXIES).map(|n| plan_proxy(&profile, n)).collect::<Result<_, _>>()?;
        let groups = (0..profile.groups as usize).map(|n| plan_group(&profile, n));
        let groups = groups.collect::<Result<_, _>>()?;
        let folder = folder.to_owned();
        Ok(Self { profile, folder, controls, proxies, groups, probe_interval_ms: None })
    }

    /// The same fleet with another time between an owner's probes, if one is given.
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

fn plan_proxy(profile: &Profile, number: usize) -> std::io::Result<ProxyPlan> {
    let region = &profile.regions[number % profile.regions.len()];
    Ok(ProxyPlan {
        name: format!("proxy-{}", number + 1),
        zone: format!("{region}.1"),
        callers: free_address()?,
        peers: free_address()?,
        telemetry: free_address()?,
    })
}

fn plan_group(profile: &Profile, number: usize) -> std::io::Result<GroupPlan> {
    let region = &profile.regions[number % profile.regions.len()];
    let name = format!("{}-{}", profile.name, number + 1);
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
    /// Text of a control replica's settings file, as `corktack control` reads it.
    ///
    /// # Errors
    /// The library's error when a value has no TOML form.
    pub fn control_file(
        &self,
        control: &ControlPlan,
        data_folder: &Path,
    ) -> Result<String, toml::ser::Error> {
        let member = |it: &ControlPlan| json!({ "id": it.id, "address": it.cell });
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

    /// Text of a proxy's settings file, as `corktack proxy` reads it. Other proxies reach it at
    /// `announced`, and it reaches the control replicas at `controls`.
    ///
    /// # Errors
    /// The library's error when a value has no TOML form.
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
