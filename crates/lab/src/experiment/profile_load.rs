//! Both users' loads through a fleet of processes, beside callers straight to the primary.
//!
//! Owns the course of one run: baseline, fleet, check against the databases, printed report. Relies on the
//! fleet, the load and the links; ends with an error if a rule was broken.

use crate::fleet::plan::FleetPlan;
use crate::fleet::verify::Verification;
use crate::fleet::{Fleet, Programs};
use crate::link::{Link, LinkState};
use crate::load::run::{LoadResult, LoadSettings, run};
use crate::profile::Profile;
use eyre::{WrapErr, bail};
use std::path::PathBuf;
use std::time::Duration;

/// Metric of reads, by who served them.
const READS_METRIC: &str = "corktack_edge_reads_total";
/// Broken rules that are printed.
const VIOLATIONS_PRINTED: usize = 10;
/// Longest answer of a proxy that is asked for its metrics, in bytes.
const METRICS_LIMIT: usize = 64 << 20;

/// What to run.
#[derive(Clone, Debug)]
pub struct ProfileLoadSettings {
    /// The workload.
    pub profile: Profile,
    /// Time of arrivals, for the baseline and for the fleet each.
    pub duration: Duration,
    /// Factor on the profile's arrivals.
    pub rate: f64,
    /// Seed.
    pub seed: u64,
    /// Time between an owner's probes of a member, in milliseconds, other than the default.
    pub probe_interval_ms: Option<u32>,
    /// Folder of the processes.
    pub folder: PathBuf,
}

/// Runs the baseline, then the fleet, checks and prints.
///
/// # Errors
/// A fleet that does not start, or rules that were broken.
pub async fn run_profile(settings: &ProfileLoadSettings) -> eyre::Result<()> {
    let profile = &settings.profile;
    let folder = settings.folder.join(&profile.name);
    let plan =
        FleetPlan::new(profile.clone(), &folder)?.with_probe_interval(settings.probe_interval_ms);
    let fleet = Fleet::start(plan, Programs::beside_this_one()?).await?;
    fleet.create_tables().await?;
    eprintln!("{}: the fleet serves", profile.name);

    let baseline_links = baseline_links(&fleet).await?;
    let addresses = |links: &Vec<Link>| links.iter().map(Link::address).collect();
    let targets = baseline_links.iter();
    let targets = targets.map(|(name, links)| (name.clone(), addresses(links))).collect();
    let baseline = run(load(settings, "straight", targets, false)).await;
    let through = run(load(settings, "fleet", fleet.targets(), true)).await;

    let mut verification = fleet.verify(&through.written).await?;
    verification.violations.extend(through.violations.iter().cloned());
    print_run(settings, &baseline, &through);
    match fleet.replica_read_share().await {
        Some(share) => println!("  reads served by replicas: {:.1} %", share * 100.0),
        None => println!("  reads served by replicas: not known"),
    }
    judge(&verification)
}

/// Prints what the check against the databases found; an error if a rule was broken.
fn judge(verification: &Verification) -> eyre::Result<()> {
    let (broken, mixed) = (verification.violations.len(), verification.mixed_entries);
    let writes = verification.writes;
    println!("  checked {writes} writes: {broken} rules broken, {mixed} mixed entries");
    for violation in verification.violations.iter().take(VIOLATIONS_PRINTED) {
        println!("    {violation:?}");
    }
    if broken > 0 || mixed > 0 {
        bail!("{broken} rules broken, {mixed} mixed entries");
    }
    Ok(())
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

fn print_run(settings: &ProfileLoadSettings, baseline: &LoadResult, through: &LoadResult) {
    let (profile, seconds) = (&settings.profile.name, settings.duration.as_secs());
    println!("{profile} for {seconds} s, rate {}, seed {}", settings.rate, settings.seed);
    print_load("straight", baseline);
    print_load("fleet", through);
}

fn print_load(name: &str, result: &LoadResult) {
    let seconds = result.duration.as_secs_f64().max(f64::MIN_POSITIVE);
    let rate = result.statements as f64 / seconds;
    println!("  {name}: {rate:.0} statements/s, {:?}", result.ended);
    println!("    reads: {}", result.reads);
    println!("    writes: {}", result.writes);
    for (class, times) in &result.by_class {
        println!("    class {class}: {times}");
    }
}

impl Fleet {
    /// Share of reads that replicas served, over all proxies, from their metrics.
    async fn replica_read_share(&self) -> Option<f64> {
        let (mut by_replicas, mut all) = (0.0, 0.0);
        for proxy in &self.proxies {
            let url = format!("http://{}/metrics", proxy.plan.telemetry);
            let text = fetch(&url).await.ok()?;
            for line in text.lines().filter(|line| line.starts_with(READS_METRIC)) {
                let value: f64 = line.rsplit(' ').next()?.parse().ok()?;
                all += value;
                if line.to_lowercase().contains("replica") {
                    by_replicas += value;
                }
            }
        }
        (all > 0.0).then(|| by_replicas / all)
    }
}

async fn fetch(url: &str) -> eyre::Result<String> {
    let client = awc::Client::default();
    let mut response = client.get(url).send().await.map_err(|error| eyre::eyre!("{error}"))?;
    let body = response.body().limit(METRICS_LIMIT).await.wrap_err("body")?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
