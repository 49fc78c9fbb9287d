//! A fleet of real processes: control replicas, proxies and stand-in members.
//!
//! Owns the processes, the links between them and the folder of settings, data and logs; all end with it.
//! Relies on the programs beside this one and on [`plan`] for names and addresses.

pub mod manifests;
pub mod plan;
mod ports;
pub mod ready;
pub mod verify;

use crate::link::{Link, LinkError, LinkState};
use crate::process::{Process, ProcessError};
use plan::{ControlPlan, FleetPlan, GroupPlan, MemberPlan, ProxyPlan};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Option that lets a control replica found the cell on an empty folder.
const BOOTSTRAP: &str = "--bootstrap";

/// Why a fleet could not be started or used.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file or folder of the fleet.
    #[error("{path}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The folder holds files already, perhaps those of an earlier fleet.
    #[error("{0} is not empty; give each run a folder of its own")]
    FolderInUse(PathBuf),
    /// A settings file could not be written.
    #[error("settings cannot be encoded")]
    Settings(#[from] toml::ser::Error),
    /// A process.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A link.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// Something did not become ready in time.
    #[error("{what} was not ready within {waited:?}; the last answer was: {last}")]
    NotReady {
        /// What was waited for.
        what: String,
        /// How long.
        waited: Duration,
        /// What the last attempt gave.
        last: String,
    },
    /// A command of the product failed.
    #[error("{command} ended with {status}: {output}")]
    Command {
        /// What was run.
        command: String,
        /// How it ended.
        status: std::process::ExitStatus,
        /// What it printed.
        output: String,
    },
}

/// Programs that a fleet consists of.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `corktack`.
    pub corktack: PathBuf,
    /// `corktack-standin`.
    pub standin: PathBuf,
}

impl Programs {
    /// The programs built beside this one.
    ///
    /// # Errors
    /// [`FleetError::File`] when this program's own path is not known.
    pub fn beside_this_one() -> Result<Self, FleetError> {
        let this = std::env::current_exe()
            .map_err(|source| FleetError::File { path: PathBuf::new(), source })?;
        let folder = this.parent().map(Path::to_owned).unwrap_or_default();
        // Test programs are built one folder further down.
        let folder = if folder.ends_with("deps") {
            folder.parent().map(Path::to_owned).unwrap_or_default()
        } else {
            folder
        };
        Ok(Self { corktack: folder.join("corktack"), standin: folder.join("corktack-standin") })
    }
}

/// A member with the links around it.
#[derive(Debug)]
pub struct RunningMember {
    /// Its plan.
    pub plan: MemberPlan,
    /// Its process.
    pub process: Process,
    /// Between everyone else and its PostgreSQL interface.
    pub sql_link: Link,
    /// Between the other members and its replication interface.
    pub replication_link: Link,
    /// Where a process that was started keeps its files.
    pub data_folder: PathBuf,
}

/// A proxy with the links around it.
#[derive(Debug)]
pub struct RunningProxy {
    /// Its plan.
    pub plan: ProxyPlan,
    /// Its process.
    pub process: Process,
    /// Between callers and it.
    pub caller_link: Link,
    /// Between other proxies and it.
    pub peer_link: Link,
    /// Between it and each control replica; held, since a dropped link closes.
    pub control_links: Vec<Link>,
}

/// A running fleet. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// What was planned.
    pub plan: FleetPlan,
    /// Programs it consists of.
    pub programs: Programs,
    /// Control replicas.
    pub controls: Vec<Process>,
    /// Proxies.
    pub proxies: Vec<RunningProxy>,
    /// Members by group.
    pub groups: Vec<Vec<RunningMember>>,
}

impl Fleet {
    /// Starts every process, applies the manifests and waits until callers are served.
    ///
    /// # Errors
    /// The first [`FleetError`]; what was started is killed.
    pub async fn start(plan: FleetPlan, programs: Programs) -> Result<Self, FleetError> {
        create_empty_folder(&plan.folder)?;
        let controls = start_controls(&plan, &programs)?;
        let mut groups = Vec::new();
        for group in &plan.groups {
            groups.push(start_group(&plan, &programs, group).await?);
        }
        let mut proxies = Vec::new();
        for proxy in &plan.proxies {
            proxies.push(start_proxy(&plan, &programs, proxy).await?);
        }
        let fleet = Self { plan, programs, controls, proxies, groups };
        fleet.wait_for_control().await?;
        fleet.apply_manifests()?;
        fleet.wait_until_served().await?;
        Ok(fleet)
    }

    /// Addresses of the operators' interfaces as options of the command line.
    #[must_use]
    pub fn server_options(&self) -> Vec<String> {
        let addresses = self.plan.controls.iter().map(|control| control.operators);
        addresses.flat_map(|it| ["--server".to_owned(), format!("http://{it}")]).collect()
    }

    /// Runs a client command of the product to its end and returns what it printed.
    ///
    /// # Errors
    /// [`FleetError::Command`] when it fails.
    pub fn corktack(&self, arguments: &[&str]) -> Result<String, FleetError> {
        let command = arguments.join(" ");
        let output = std::process::Command::new(&self.programs.corktack)
            .args(arguments)
            .args(self.server_options())
            .output()
            .map_err(|source| FleetError::File { path: self.programs.corktack.clone(), source })?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(text);
        }
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        Err(FleetError::Command { command, status: output.status, output: text })
    }

    fn apply_manifests(&self) -> Result<(), FleetError> {
        let addresses: Vec<Vec<SocketAddr>> = self
            .groups
            .iter()
            .map(|members| members.iter().map(|member| member.sql_link.address()).collect())
            .collect();
        let path = self.plan.folder.join("manifests.yaml");
        write_file(&path, &manifests::manifests(&self.plan, &addresses))?;
        self.corktack(&["apply", "-f", &path.to_string_lossy()])?;
        Ok(())
    }

    /// Databases with the addresses at which callers reach the proxies.
    #[must_use]
    pub fn targets(&self) -> Vec<(String, Vec<SocketAddr>)> {
        let callers: Vec<SocketAddr> =
            self.proxies.iter().map(|proxy| proxy.caller_link.address()).collect();
        self.plan.groups.iter().map(|group| (group.name.clone(), callers.clone())).collect()
    }
}

fn start_controls(plan: &FleetPlan, programs: &Programs) -> Result<Vec<Process>, FleetError> {
    plan.controls.iter().map(|control| start_control(plan, programs, control)).collect()
}

fn start_control(
    plan: &FleetPlan,
    programs: &Programs,
    control: &ControlPlan,
) -> Result<Process, FleetError> {
    let name = format!("control-{}", control.id);
    let settings = plan.folder.join(format!("{name}.toml"));
    write_file(&settings, &plan.control_file(control, &plan.folder.join(&name))?)?;
    let arguments =
        ["control", "--settings", &settings.to_string_lossy(), BOOTSTRAP].map(str::to_owned);
    let mut process = Process::start(&name, &programs.corktack, arguments.to_vec(), &plan.folder)?;
    // Only an empty folder of the first start may found the cell: a wiped one must not.
    process.drop_argument(BOOTSTRAP);
    Ok(process)
}

async fn start_proxy(
    plan: &FleetPlan,
    programs: &Programs,
    proxy: &ProxyPlan,
) -> Result<RunningProxy, FleetError> {
    let latency = LinkState::delayed(plan.profile.caller_latency);
    let caller_link = Link::start(proxy.callers, latency).await?;
    let peer_link =
        Link::start(proxy.peers, LinkState::delayed(plan.profile.region_latency)).await?;
    let mut control_links = Vec::new();
    for control in &plan.controls {
        let latency = LinkState::delayed(plan.profile.zone_latency);
        control_links.push(Link::start(control.proxies, latency).await?);
    }
    let controls: Vec<SocketAddr> = control_links.iter().map(Link::address).collect();
    let settings = plan.folder.join(format!("{}.toml", proxy.name));
    let data_folder = plan.folder.join(&proxy.name);
    let text = plan.proxy_file(proxy, &data_folder, peer_link.address(), &controls)?;
    write_file(&settings, &text)?;
    let arguments = ["proxy", "--settings", &settings.to_string_lossy()].map(str::to_owned);
    let process =
        Process::start(&proxy.name, &programs.corktack, arguments.to_vec(), &plan.folder)?;
    Ok(RunningProxy { plan: proxy.clone(), process, caller_link, peer_link, control_links })
}

async fn start_group(
    plan: &FleetPlan,
    programs: &Programs,
    group: &GroupPlan,
) -> Result<Vec<RunningMember>, FleetError> {
    let latency = LinkState::delayed(plan.profile.zone_latency);
    let mut links = Vec::new();
    for member in &group.members {
        let sql = Link::start(member.sql, latency).await?;
        let replication = Link::start(member.replication, latency).await?;
        links.push((sql, replication));
    }
    let peers: Vec<(String, SocketAddr)> = group
        .members
        .iter()
        .zip(&links)
        .map(|(member, (_, replication))| (member.name.clone(), replication.address()))
        .collect();
    let mut running = Vec::new();
    for (member, (sql_link, replication_link)) in group.members.iter().zip(links) {
        let data_folder = plan.folder.join(&member.name);
        let primary = running.is_empty();
        let arguments = member_arguments(plan, member, &data_folder, &peers, primary);
        let process = Process::start(&member.name, &programs.standin, arguments, &plan.folder)?;
        let plan = member.clone();
        running.push(RunningMember { plan, process, sql_link, replication_link, data_folder });
    }
    Ok(running)
}

fn member_arguments(
    plan: &FleetPlan,
    member: &MemberPlan,
    data_folder: &Path,
    peers: &[(String, SocketAddr)],
    primary: bool,
) -> Vec<String> {
    let mut arguments = vec![
        "--name".to_owned(),
        member.name.clone(),
        "--data-folder".to_owned(),
        data_folder.to_string_lossy().into_owned(),
        "--listen".to_owned(),
        member.sql.to_string(),
        "--replication".to_owned(),
        member.replication.to_string(),
        "--connection-limit".to_owned(),
        (plan.profile.connections * 2).to_string(),
    ];
    for (name, address) in peers.iter().filter(|(name, _)| *name != member.name) {
        arguments.push("--peer".to_owned());
        arguments.push(format!("{name}={address}"));
    }
    if primary {
        arguments.push("--initial-primary".to_owned());
    }
    arguments
}

/// Makes the folder of a fleet. One that holds an earlier fleet is refused: its control
/// replicas would go on with members that are no longer there.
fn create_empty_folder(path: &Path) -> Result<(), FleetError> {
    let failed = |source| FleetError::File { path: path.to_owned(), source };
    std::fs::create_dir_all(path).map_err(failed)?;
    if std::fs::read_dir(path).map_err(failed)?.next().is_some() {
        return Err(FleetError::FolderInUse(path.to_owned()));
    }
    Ok(())
}

fn write_file(path: &Path, text: &str) -> Result<(), FleetError> {
    std::fs::write(path, text).map_err(|source| FleetError::File { path: path.to_owned(), source })
}
