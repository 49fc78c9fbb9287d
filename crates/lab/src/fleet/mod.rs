//! A fleet of real processes: control replicas, proxies and stand-in members.
//!
//! The fleet owns its processes and the links between them, which end when it is dropped, and writes the folder
//! of settings, data and logs. It starts the programs in the folder of the current executable, with the names
//! and addresses of [`plan`].

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

/// Option that lets a control replica with an empty folder create the cell.
const BOOTSTRAP_OPTION: &str = "--bootstrap";

/// Error of starting or using a fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file, folder or program of the fleet could not be used.
    #[error("cannot access {path}")]
    File {
        /// Path of the file, folder or program.
        path: PathBuf,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The folder holds files already, possibly those of an earlier fleet.
    #[error("folder {0} is not empty; use a separate folder for each run")]
    FolderInUse(PathBuf),
    /// The settings of a process could not be encoded as TOML.
    #[error("settings cannot be encoded")]
    Settings(#[from] toml::ser::Error),
    /// A process could not be started or signalled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A link could not be started.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// A part of the fleet did not become ready in time.
    #[error("{awaited} was not ready within {waited:?}; the last answer was: {last_answer}")]
    NotReady {
        /// Name of the awaited part.
        awaited: String,
        /// Time waited.
        waited: Duration,
        /// Answer or error of the last attempt.
        last_answer: String,
    },
    /// A client command of the product failed.
    #[error("{command} ended with {status}: {output}")]
    Command {
        /// Arguments of the command.
        command: String,
        /// Exit status of the command.
        status: std::process::ExitStatus,
        /// Output of the command.
        output: String,
    },
}

/// Paths of the programs that a fleet runs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of `corktack`.
    pub corktack: PathBuf,
    /// Path of `corktack-standin`.
    pub standin: PathBuf,
}

impl Programs {
    /// Returns the paths of the programs in the folder of the current executable.
    ///
    /// # Errors
    /// [`FleetError::File`] when the path of the current executable is not available.
    pub fn beside_current_executable() -> Result<Self, FleetError> {
        let executable = std::env::current_exe()
            .map_err(|source| FleetError::File { path: PathBuf::new(), source })?;
        let folder = executable.parent().map(Path::to_owned).unwrap_or_default();
        // Cargo builds test programs in the subfolder `deps`.
        let folder = if folder.ends_with("deps") {
            folder.parent().map(Path::to_owned).unwrap_or_default()
        } else {
            folder
        };
        Ok(Self { corktack: folder.join("corktack"), standin: folder.join("corktack-standin") })
    }
}

/// A running member with the links to it.
#[derive(Debug)]
pub struct RunningMember {
    /// Names and addresses.
    pub plan: MemberPlan,
    /// Child process.
    pub process: Process,
    /// Link to the PostgreSQL interface of the member.
    pub sql_link: Link,
    /// Link from the other members to the replication interface of the member.
    pub replication_link: Link,
    /// Folder of the files of the member.
    pub data_folder: PathBuf,
}

/// A running proxy with the links to and from it.
#[derive(Debug)]
pub struct RunningProxy {
    /// Names and addresses.
    pub plan: ProxyPlan,
    /// Child process.
    pub process: Process,
    /// Link from callers to the proxy.
    pub caller_link: Link,
    /// Link from other proxies to the proxy.
    pub peer_link: Link,
    /// Links from the proxy to each control replica; kept because a dropped link closes its connections.
    pub control_links: Vec<Link>,
}

/// A running fleet. Dropping the fleet kills its processes.
#[derive(Debug)]
pub struct Fleet {
    /// Names, addresses and settings of the fleet.
    pub plan: FleetPlan,
    /// Programs that the fleet runs.
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
    /// The first [`FleetError`]; the processes started before it are killed.
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

    /// Returns the command-line options that name the operator addresses of the control replicas.
    #[must_use]
    pub fn server_options(&self) -> Vec<String> {
        let addresses = self.plan.controls.iter().map(|control| control.operators);
        addresses.flat_map(|address| ["--server".to_owned(), format!("http://{address}")]).collect()
    }

    /// Runs a client command of the product to completion and returns its standard output.
    ///
    /// # Errors
    /// [`FleetError::Command`] when the command fails, [`FleetError::File`] when it cannot be started.
    pub fn run_corktack(&self, arguments: &[&str]) -> Result<String, FleetError> {
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
        write_file(&path, &manifests::render_manifests(&self.plan, &addresses))?;
        self.run_corktack(&["apply", "-f", &path.to_string_lossy()])?;
        Ok(())
    }

    /// Returns each database with the addresses at which callers reach the proxies.
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
        ["control", "--settings", &settings.to_string_lossy(), BOOTSTRAP_OPTION].map(str::to_owned);
    let mut process = Process::start(&name, &programs.corktack, arguments.to_vec(), &plan.folder)?;
    // Only the first start may create the cell: a replica that restarts with a wiped folder must not.
    process.remove_argument(BOOTSTRAP_OPTION);
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
        let is_primary = running.is_empty();
        let arguments = member_arguments(plan, member, &data_folder, &peers, is_primary);
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
    is_primary: bool,
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
    if is_primary {
        arguments.push("--initial-primary".to_owned());
    }
    arguments
}

/// Creates the folder of a fleet. Refuses a folder that holds an earlier fleet, since the control replicas
/// would continue with members that no longer exist.
fn create_empty_folder(path: &Path) -> Result<(), FleetError> {
    let file_error = |source| FleetError::File { path: path.to_owned(), source };
    std::fs::create_dir_all(path).map_err(file_error)?;
    if std::fs::read_dir(path).map_err(file_error)?.next().is_some() {
        return Err(FleetError::FolderInUse(path.to_owned()));
    }
    Ok(())
}

fn write_file(path: &Path, text: &str) -> Result<(), FleetError> {
    std::fs::write(path, text).map_err(|source| FleetError::File { path: path.to_owned(), source })
}
