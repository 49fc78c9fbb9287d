//! Measures the failover gap: the time during which no write completes after a primary is lost.
//!
//! Each run starts its own fleet, injects one fault, computes the gap from the times of acknowledged writes,
//! and checks the callers' writes against the databases.

use crate::fleet::plan::FleetPlan;
use crate::fleet::{Fleet, Programs, RunningMember};
use crate::load::run::{LoadSettings, run_load};
use crate::profile::Profile;
use eyre::{bail, eyre};
use rustix::process::Signal;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;

/// Writes per second that the callers of the group start.
const WRITES_PER_SECOND: f64 = 20.0;
/// Duration of the load before the fault.
const LOAD_BEFORE_FAULT: Duration = Duration::from_secs(3);
/// Duration of the load after the fault.
const LOAD_AFTER_FAULT: Duration = Duration::from_secs(12);
/// Limit on the violations printed per run.
const MAX_PRINTED_VIOLATIONS: usize = 5;
/// Target for the longest failover gap; printed for comparison.
const FAILOVER_GAP_TARGET: Duration = Duration::from_secs(8);

/// Fault that makes the primary unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed with SIGKILL and restarted after the run.
    Kill,
    /// The process is suspended with SIGSTOP and continued after the run.
    Freeze,
    /// The links to the member are cut in both directions and restored after the run.
    Cut,
}

impl std::str::FromStr for Fault {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        match text {
            "kill" => Ok(Self::Kill),
            "freeze" => Ok(Self::Freeze),
            "cut" => Ok(Self::Cut),
            _ => Err(eyre!("unknown fault {text:?}: expected kill, freeze or cut")),
        }
    }
}

/// Settings of the failover experiment.
#[derive(Clone, Debug)]
pub struct FailoverSettings {
    /// Profile that supplies the topology and classes of the fleet.
    pub profile: Profile,
    /// Fault injected into the primary.
    pub fault: Fault,
    /// Whether the leader of the control cell is killed at the same time.
    pub with_control_leader: bool,
    /// Number of runs, each on a new fleet.
    pub runs: u32,
    /// Interval between an owner's probes of a member in milliseconds; the default of
    /// `corktack proxy` if absent.
    pub probe_interval_ms: Option<u32>,
    /// Folder of the settings, data and logs of the fleets.
    pub folder: PathBuf,
}

/// Result of one run.
#[derive(Clone, Debug)]
pub struct FailoverRun {
    /// Longest gap between acknowledged writes, in milliseconds.
    pub gap_millis: f64,
    /// Number of writes that were checked against the databases.
    pub writes_checked: usize,
    /// Number of violations, including log entries with several transactions.
    pub violations: usize,
}

/// Runs the experiment and prints the gap of each run, and the minimum, median and maximum.
///
/// # Errors
/// The error of a fleet that does not start or stops responding, or an error if a run has violations.
pub async fn run_failovers(settings: &FailoverSettings) -> eyre::Result<()> {
    let mut runs = Vec::new();
    for run_index in 0..settings.runs {
        let run_result = run_once(settings, run_index).await?;
        println!("run {run_index}: {run_result:?}");
        runs.push(run_result);
    }
    let mut gaps: Vec<f64> = runs.iter().map(|run| run.gap_millis).collect();
    gaps.sort_by(f64::total_cmp);
    let violations: usize = runs.iter().map(|run| run.violations).sum();
    println!(
        "{:?}{}: {} runs, gap min {:.0}, median {:.0}, max {:.0} ms (budget {} ms), {violations} rules broken",
        settings.fault,
        if settings.with_control_leader { " with the control leader" } else { "" },
        gaps.len(),
        gaps.first().copied().unwrap_or(0.0),
        gaps.get(gaps.len() / 2).copied().unwrap_or(0.0),
        gaps.last().copied().unwrap_or(0.0),
        FAILOVER_GAP_TARGET.as_millis(),
    );
    if violations > 0 {
        bail!("{violations} rules broken");
    }
    Ok(())
}

async fn run_once(settings: &FailoverSettings, run_index: u32) -> eyre::Result<FailoverRun> {
    let mut fleet = start_fleet(settings, run_index).await?;
    let group = fleet.plan.groups[0].name.clone();
    let (_, primary) = fleet.find_primary(&group, &fleet.groups[0]).await?;
    let primary_name = primary.plan.name.clone();
    let leader =
        if settings.with_control_leader { Some(fleet.control_leader().await?) } else { None };

    let load = tokio::spawn(run_load(LoadSettings {
        profile: fleet.plan.profile.clone(),
        targets: fleet.targets(),
        proxied: true,
        duration: LOAD_BEFORE_FAULT + LOAD_AFTER_FAULT,
        rate: 1.0,
        seed: u64::from(run_index),
        run_name: "failover".to_owned(),
    }));
    let start = Instant::now();
    tokio::time::sleep(LOAD_BEFORE_FAULT).await;
    let fault_micros = start.elapsed().as_micros() as u64;
    if let Some(leader) = leader {
        fleet.controls[leader].kill()?;
    }
    inject_fault(find_member(&mut fleet, &primary_name)?, settings.fault)?;
    let result = load.await?;
    clear_fault(find_member(&mut fleet, &primary_name)?, settings.fault)?;

    let verification = fleet.verify(&result.writes_by_database).await?;
    let violations = verification.violations.iter().chain(&result.violations);
    violations
        .clone()
        .take(MAX_PRINTED_VIOLATIONS)
        .for_each(|violation| println!("  {violation:?}"));
    let times = result.acknowledged_micros.get(&group).map_or(&[][..], Vec::as_slice);
    Ok(FailoverRun {
        gap_millis: longest_gap_millis(times, fault_micros),
        writes_checked: verification.writes,
        violations: violations.count() + verification.mixed_entries,
    })
}

/// Starts a fleet of one group whose callers only write and never switch to another proxy.
async fn start_fleet(settings: &FailoverSettings, run_index: u32) -> eyre::Result<Fleet> {
    let profile = Profile {
        groups: 1,
        write_fraction: 1.0,
        arrivals_per_second: WRITES_PER_SECOND,
        endpoint_switch_fraction: 0.0,
        ..settings.profile.clone()
    };
    let folder = settings.folder.join(format!("failover-{run_index}"));
    let plan = FleetPlan::new(profile, &folder)?.with_probe_interval(settings.probe_interval_ms);
    let fleet = Fleet::start(plan, Programs::beside_current_executable()?).await?;
    fleet.create_tables().await?;
    Ok(fleet)
}

fn find_member<'a>(fleet: &'a mut Fleet, name: &str) -> eyre::Result<&'a mut RunningMember> {
    let member = fleet.groups[0].iter_mut().find(|member| member.plan.name == name);
    member.ok_or_else(|| eyre!("member {name} does not exist in the first group"))
}

fn inject_fault(member: &mut RunningMember, fault: Fault) -> eyre::Result<()> {
    match fault {
        Fault::Kill => drop(member.process.kill()?),
        Fault::Freeze => member.process.signal(Signal::STOP)?,
        Fault::Cut => {
            member.sql_link.set_cut(true, true);
            member.replication_link.set_cut(true, true);
        }
    }
    Ok(())
}

fn clear_fault(member: &mut RunningMember, fault: Fault) -> eyre::Result<()> {
    match fault {
        Fault::Kill => member.process.restart()?,
        Fault::Freeze => member.process.signal(Signal::CONT)?,
        Fault::Cut => {
            member.sql_link.set_cut(false, false);
            member.replication_link.set_cut(false, false);
        }
    }
    Ok(())
}

/// Returns the longest time in milliseconds between two consecutive acknowledged writes of which the
/// later came after the fault, or the rest of the run when no write came after the fault.
fn longest_gap_millis(times: &[u64], fault_micros: u64) -> f64 {
    let end = fault_micros + LOAD_AFTER_FAULT.as_micros() as u64;
    let first = times.partition_point(|time| *time < fault_micros).saturating_sub(1);
    let mut after: Vec<u64> = times[first.min(times.len())..].to_vec();
    if after.last().is_none_or(|last| *last < end) {
        after.push(end);
    }
    let longest = after.windows(2).map(|pair| pair[1] - pair[0]).max();
    longest.unwrap_or(end - fault_micros) as f64 / 1_000.0
}
