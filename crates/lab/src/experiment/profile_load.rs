//! Both users' loads through a fleet of processes, beside callers straight to the primary.

use crate::fleet::plan::FleetPlan;
use crate::fleet::{Fleet, Programs};
use crate::link::{Link, LinkState};
use crate::load::history::Violation;
use crate::load::run::{LoadResult, LoadSettings, run};
use crate::profile::Profile;
use crate::report::{self, LoadSummary};
use eyre::{WrapErr, bail};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// Metric of reads, by who served them.
const READS_METRIC: &str = "corktack_edge_reads_total";
/// Broken rules that are printed.
const VIOLATIONS_PRINTED: usize = 10;

/// What to run.
#[derive(Clone, Debug)]
pub struct ProfileLoadSettings {
    /// The workload.
    pub profile: Profile,
    /// Control replicas.
    pub controls: u64,
    /// Proxies.
    pub proxies: usize,
    /// Time of arrivals, for the baseline and for the fleet each.
    pub duration: Duration,
    /// Factor on the profile's arrivals.
    pub rate: f64,
    /// Seed.
    pub seed: u64,
    /// Time between an owner's probes of a member, in milliseconds, other than the default.
    pub probe_interval_ms: Option<u32>,
    /// Folder of the processes and the report.
    pub folder: PathBuf,
}

/// What a run gave.
#[derive(Debug, Serialize)]
struct Report {
    profile: String,
    seconds: u64,
    rate: f64,
    seed: u64,
    /// Callers straight to the primary.
    baseline: LoadSummary,
    /// Callers through the fleet.
    fleet: LoadSummary,
    /// Latency that the fleet adds, reads at p50 and p99, then writes, microseconds.
    added_micros: [i64; 4],
    /// Share of reads that replicas served.
    replica_read_share: Option<f64>,
    /// Writes checked against the databases.
    writes_checked: usize,
    /// Log entries with parts of several transactions.
    mixed_entries: usize,
    /// Broken rules, by callers and databases together.
    violations: Vec<Violation>,
}

/// Runs the baseline, then the fleet, checks, prints and writes the report.
///
/// # Errors
/// A fleet that does not start, or rules that were broken.
pub async fn run_profile(settings: &ProfileLoadSettings) -> eyre::Result<()> {
    let profile = &settings.profile;
    let folder = settings.folder.join(&profile.name);
    let plan = FleetPlan::new(profile.clone(), &folder, settings.controls, settings.proxies)?
        .with_probe_interval(settings.probe_interval_ms);
    let fleet = Fleet::start(plan, Programs::beside_this_one()?).await?;
    fleet.create_tables().await?;
    eprintln!("{}: fleet of {} processes serves", profile.name, fleet.process_ids().len());

    let baseline_links = baseline_links(&fleet).await?;
    let addresses = |links: &Vec<Link>| links.iter().map(Link::address).collect();
    let targets = baseline_links.iter();
    let targets = targets.map(|(name, links)| (name.clone(), addresses(links))).collect();
    let baseline = run(load(settings, "straight", targets, false)).await;
    let through = run(load(settings, "fleet", fleet.targets(), true)).await;

    let mut verification = fleet.verify(&through.written).await?;
    verification.violations.extend(through.violations.iter().cloned());
    let report = Report {
        profile: profile.name.clone(),
        seconds: settings.duration.as_secs(),
        rate: settings.rate,
        seed: settings.seed,
        baseline: LoadSummary::of(&baseline),
        fleet: LoadSummary::of(&through),
        added_micros: added(&baseline, &through),
        replica_read_share: fleet.replica_read_share().await,
        writes_checked: verification.writes,
        mixed_entries: verification.mixed_entries,
        violations: verification.violations,
    };
    print_report(&report);
    fleet.write_metrics().await?;
    write_report(settings, &report, &baseline, &through)?;
    if report.violations.is_empty() && report.mixed_entries == 0 {
        return Ok(());
    }
    bail!("{} rules broken, {} mixed entries", report.violations.len(), report.mixed_entries);
}

fn load(
    settings: &ProfileLoadSettings,
    label: &str,
    targets: Vec<(String, Vec<std::net::SocketAddr>)>,
    proxied: bool,
) -> LoadSettings {
    LoadSettings {
        profile: settings.profile.clone(),
        targets,
        proxied,
        duration: settings.duration,
        rate: settings.rate,
        seed: settings.seed,
        label: format!("{} {label}", settings.profile.name),
        run_name: label.to_owned(),
    }
}

/// Links from callers in each region straight to each group's primary: the callers'
/// latency and that between their region and the primary's, as through the proxies.
async fn baseline_links(fleet: &Fleet) -> eyre::Result<Vec<(String, Vec<Link>)>> {
    let profile = &fleet.plan.profile;
    let mut links = Vec::new();
    for (number, (group, members)) in fleet.plan.groups.iter().zip(&fleet.groups).enumerate() {
        let (_, primary) = fleet.find_primary(&group.name, members).await?;
        let mut by_region = Vec::new();
        for region in 0..profile.regions.len() {
            let near = region == number % profile.regions.len();
            let between = if near { profile.zone_latency } else { profile.region_latency };
            let state = LinkState::delayed(profile.caller_latency + between);
            by_region.push(Link::start(primary.plan.sql, state).await?);
        }
        links.push((group.name.clone(), by_region));
    }
    Ok(links)
}

fn added(baseline: &LoadResult, fleet: &LoadResult) -> [i64; 4] {
    let difference = |fleet: u64, baseline: u64| fleet as i64 - baseline as i64;
    let (fleet_reads, reads) = (fleet.reads.summary(), baseline.reads.summary());
    let (fleet_writes, writes) = (fleet.writes.summary(), baseline.writes.summary());
    [
        difference(fleet_reads.p50, reads.p50),
        difference(fleet_reads.p99, reads.p99),
        difference(fleet_writes.p50, writes.p50),
        difference(fleet_writes.p99, writes.p99),
    ]
}

fn print_report(report: &Report) {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    println!(
        "{} for {} s, rate {}, seed {}",
        report.profile, report.seconds, report.rate, report.seed
    );
    for (name, summary) in [("straight", &report.baseline), ("fleet", &report.fleet)] {
        println!(
            "  {name}: {:.0} statements/s, {:?}",
            summary.statements_per_second, summary.ended
        );
        for (kind, times) in [("reads", &summary.reads), ("writes", &summary.writes)] {
            println!(
                "    {kind}: {} p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
                times.count,
                millis(times.p50),
                millis(times.p99),
                millis(times.max)
            );
        }
        for (class, times) in &summary.by_class {
            println!(
                "    class {class}: {} p50 {:.1} ms, p99 {:.1} ms",
                times.count,
                millis(times.p50),
                millis(times.p99)
            );
        }
    }
    match report.replica_read_share {
        Some(share) => println!("  reads served by replicas: {:.1} %", share * 100.0),
        None => println!("  reads served by replicas: not known"),
    }
    println!(
        "  checked {} writes: {} rules broken, {} mixed entries",
        report.writes_checked,
        report.violations.len(),
        report.mixed_entries
    );
    for violation in report.violations.iter().take(VIOLATIONS_PRINTED) {
        println!("    {violation:?}");
    }
}

fn write_report(
    settings: &ProfileLoadSettings,
    report: &Report,
    baseline: &LoadResult,
    fleet: &LoadResult,
) -> eyre::Result<()> {
    let name = &report.profile;
    let json = settings.folder.join(format!("{name}.json"));
    report::write_json(&json, report)?;
    let curves = [
        ("straight, reads", &baseline.reads),
        ("fleet, reads", &fleet.reads),
        ("straight, writes", &baseline.writes),
        ("fleet, writes", &fleet.writes),
    ];
    let plot = settings.folder.join(format!("{name}.svg"));
    report::draw_latency(&plot, &format!("{name}: latency"), &curves)?;
    println!("  written: {} and {}", json.display(), plot.display());
    Ok(())
}

impl Fleet {
    /// Ids of all processes.
    #[must_use]
    pub fn process_ids(&self) -> Vec<u32> {
        let controls = self.controls.iter();
        let proxies = self.proxies.iter().map(|proxy| &proxy.process);
        let members = self.groups.iter().flatten().map(|member| &member.process);
        controls.chain(proxies).chain(members).map(crate::process::Process::id).collect()
    }

    /// Writes each proxy's metrics to a file beside its log.
    ///
    /// # Errors
    /// A proxy that does not answer, or a file that cannot be written.
    pub async fn write_metrics(&self) -> eyre::Result<()> {
        for proxy in &self.proxies {
            let text = fetch(&format!("http://{}/metrics", proxy.plan.telemetry)).await?;
            let path = self.plan.folder.join(format!("{}.metrics", proxy.plan.name));
            std::fs::write(&path, text).wrap_err_with(|| path.display().to_string())?;
        }
        Ok(())
    }

    /// Share of reads that replicas served, over all proxies, from their metrics.
    pub async fn replica_read_share(&self) -> Option<f64> {
        let mut reads = BTreeMap::<bool, f64>::new();
        for proxy in &self.proxies {
            let url = format!("http://{}/metrics", proxy.plan.telemetry);
            let text = fetch(&url).await.ok()?;
            for line in text.lines().filter(|line| line.starts_with(READS_METRIC)) {
                let value: f64 = line.rsplit(' ').next()?.parse().ok()?;
                *reads.entry(line.to_lowercase().contains("replica")).or_default() += value;
            }
        }
        let replica = reads.get(&true).copied().unwrap_or(0.0);
        let total: f64 = reads.values().sum();
        (total > 0.0).then(|| replica / total)
    }
}

/// Fetches a text over HTTP.
///
/// # Errors
/// What the client library says.
pub async fn fetch(url: &str) -> eyre::Result<String> {
    let client = awc::Client::default();
    let mut response = client.get(url).send().await.map_err(|error| eyre::eyre!("{error}"))?;
    let body = response.body().limit(64 << 20).await.wrap_err("body")?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
