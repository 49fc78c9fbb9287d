//! The failover gap: how long writes cannot complete after a primary is lost.
//!
//! Owns the fault and the figure; each run has a fleet of its own. Relies on the load for the times of
//! acknowledged writes, and on the check of callers' writes against the databases.

use crate::fleet::plan::FleetPlan;
use crate::fleet::{Fleet, Programs, RunningMember};
use crate::load::run::{LoadSettings, run};
use crate::profile::Profile;
use eyre::{bail, eyre};
use rustix::process::Signal;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;

/// Writes a second that callers of the group start.
const WRITES_PER_SECOND: f64 = 20.0;
/// Time of load before the fault.
const BEFORE_FAULT: Duration = Duration::from_secs(3);
/// Time of load after the fault.
const AFTER_FAULT: Duration = Duration::from_secs(12);
/// Broken rules that are printed.
const VIOLATIONS_PRINTED: usize = 5;
/// The target's budget for a change of primary.
const GAP_BUDGET: Duration = Duration::from_secs(8);

/// How a process is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Killed without warning.
    Kill,
    /// Stopped, and let go on after the run.
    Freeze,
    /// Cut off from everyone, and healed after the run.
    Cut,
}

impl std::str::FromStr for Fault {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        match text {
            "kill" => Ok(Self::Kill),
            "freeze" => Ok(Self::Freeze),
            "cut" => Ok(Self::Cut),
            _ => Err(eyre!("{text:?} is not kill, freeze or cut")),
        }
    }
}

/// What to run.
#[derive(Clone, Debug)]
pub struct FailoverSettings {
    /// The workload's places.
    pub profile: Profile,
    /// How the primary is lost.
    pub fault: Fault,
    /// Whether the leading control replica is killed in the same moment.
    pub with_control_leader: bool,
    /// Runs, each on a fresh fleet.
    pub runs: u32,
    /// Time between an owner's probes of a member, in milliseconds, other than the default.
    pub probe_interval_ms: Option<u32>,
    /// Folder of the processes.
    pub folder: PathBuf,
}

/// What one run gave.
#[derive(Clone, Debug)]
pub struct FailoverRun {
    /// Gap in acknowledged writes, milliseconds.
    pub gap_millis: f64,
    /// Writes that were checked.
    pub writes_checked: usize,
    /// Rules that were broken.
    pub violations: usize,
}

/// Runs the experiment and prints the distribution.
///
/// # Errors
/// A fleet that does not start, or rules that were broken.
pub async fn run_failovers(settings: &FailoverSettings) -> eyre::Result<()> {
    let mut runs = Vec::new();
    for number in 0..settings.runs {
        let run = run_once(settings, number).await?;
        println!("run {number}: {run:?}");
        runs.push(run);
    }
    let mut gaps: Vec<f64> = runs.iter().map(|run| run.gap_millis).collect();
    gaps.sort_by(f64::total_cmp);
    let broken: usize = runs.iter().map(|run| run.violations).sum();
    println!(
        "{:?}{}: {} runs, gap min {:.0}, median {:.0}, max {:.0} ms (budget {} ms), {broken} rules broken",
        settings.fault,
        if settings.with_control_leader { " with the control leader" } else { "" },
        gaps.len(),
        gaps.first().copied().unwrap_or(0.0),
        gaps.get(gaps.len() / 2).copied().unwrap_or(0.0),
        gaps.last().copied().unwrap_or(0.0),
        GAP_BUDGET.as_millis(),
    );
    if broken > 0 {
        bail!("{broken} rules broken");
    }
    Ok(())
}

async fn run_once(settings: &FailoverSettings, number: u32) -> eyre::Result<FailoverRun> {
    let mut fleet = start_fleet(settings, number).await?;
    let group = fleet.plan.groups[0].name.clone();
    let (_, primary) = fleet.find_primary(&group, &fleet.groups[0]).await?;
    let primary = primary.plan.name.clone();
    let leader =
        if settings.with_control_leader { Some(fleet.control_leader().await?) } else { None };

    let load = tokio::spawn(run(LoadSettings {
        profile: fleet.plan.profile.clone(),
        targets: fleet.targets(),
        proxied: true,
        duration: BEFORE_FAULT + AFTER_FAULT,
        rate: 1.0,
        seed: u64::from(number),
        run_name: "failover".to_owned(),
    }));
    let start = Instant::now();
    tokio::time::sleep(BEFORE_FAULT).await;
    let fault_micros = start.elapsed().as_micros() as u64;
    if let Some(leader) = leader {
        fleet.controls[leader].kill()?;
    }
    strike(member_named(&mut fleet, &primary)?, settings.fault)?;
    let result = load.await?;
    heal(member_named(&mut fleet, &primary)?, settings.fault)?;

    let verification = fleet.verify(&result.written).await?;
    let violations = verification.violations.iter().chain(&result.violations);
    violations.clone().take(VIOLATIONS_PRINTED).for_each(|it| println!("  {it:?}"));
    let times = result.acknowledged_micros.get(&group).map_or(&[][..], Vec::as_slice);
    Ok(FailoverRun {
        gap_millis: gap_after(times, fault_micros),
        writes_checked: verification.writes,
        violations: violations.count() + verification.mixed_entries,
    })
}

/// Starts a fleet of one group whose callers only write and stay at their proxy.
async fn start_fleet(settings: &FailoverSettings, number: u32) -> eyre::Result<Fleet> {
    let profile = Profile {
        groups: 1,
        write_share: 1.0,
        arrivals_per_second: WRITES_PER_SECOND,
        roaming_share: 0.0,
        ..settings.profile.clone()
    };
    let folder = settings.folder.join(format!("failover-{number}"));
    let plan = FleetPlan::new(profile, &folder)?.with_probe_interval(settings.probe_interval_ms);
    let fleet = Fleet::start(plan, Programs::beside_this_one()?).await?;
    fleet.create_tables().await?;
    Ok(fleet)
}

fn member_named<'a>(fleet: &'a mut Fleet, name: &str) -> eyre::Result<&'a mut RunningMember> {
    let found = fleet.groups[0].iter_mut().find(|member| member.plan.name == name);
    found.ok_or_else(|| eyre!("{name} is not a member"))
}

fn strike(member: &mut RunningMember, fault: Fault) -> eyre::Result<()> {
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

fn heal(member: &mut RunningMember, fault: Fault) -> eyre::Result<()> {
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

/// The longest time between two acknowledged writes of which the later came after the
/// fault, in milliseconds; the whole rest of the run when none came.
fn gap_after(times: &[u64], fault: u64) -> f64 {
    let end = fault + AFTER_FAULT.as_micros() as u64;
    let first = times.partition_point(|time| *time < fault).saturating_sub(1);
    let mut after: Vec<u64> = times[first.min(times.len())..].to_vec();
    if after.last().is_none_or(|last| *last < end) {
        after.push(end);
    }
    let longest = after.windows(2).map(|pair| pair[1] - pair[0]).max();
    longest.unwrap_or(end - fault) as f64 / 1_000.0
}
