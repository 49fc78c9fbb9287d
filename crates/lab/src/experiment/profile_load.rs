//! Runs the load of a profile through a fleet, and as a baseline directly against the primaries.
//!
//! A run measures the baseline and then the fleet, checks the fleet's writes against the databases, prints a
//! report and ends with an error if it found a violation.

use crate::fleet::plan::FleetPlan;
use crate::fleet::verify::Verification;
use crate::fleet::{Fleet, Programs};
use crate::link::{Link, LinkState};
use crate::load::run::{LoadResult, LoadSettings, run_load};
use crate::profile::Profile;
use eyre::{WrapErr, bail};
use std::path::PathBuf;
use std::time::Duration;

/// Metric that counts reads, labelled with the server that answered.
const READS_METRIC: &str = "corktack_edge_reads_total";
/// Limit on the violations printed.
const MAX_PRINTED_VIOLATIONS: usize = 10;
/// Limit on the size of a proxy's metrics response.
const MAX_METRICS_BYTES: usize = 64 << 20;

/// Settings of the load experiment.
#[derive(Clone, Debug)]
pub struct ProfileLoadSettings {
    /// Workload and topology.
    pub profile: Profile,
    /// Period of arrivals, applied to the baseline and to the fleet alike.
    pub duration: Duration,
    /// Factor on the profile's arrival rate.
    pub rate: f64,
    /// Seed of the arrival times and of the random choices.
    pub seed: u64,
    /// Interval between an owner's probes of a member in milliseconds; the default of
    /// `corktack proxy` if absent.
    pub probe_interval_ms: Option<u32>,
    /// Folder of the settings, data and logs of the fleet.
    pub folder: PathBuf,
}

/// Runs the baseline and then the fleet, checks the writes and prints the report.
///
/// # Errors
/// The error of a fleet that does not start or stops responding, or an error if the run has violations.
pub async fn run_profile(settings: &ProfileLoadSettings) -> eyre::Result<()> {
    let profile = &settings.profile;
    let folder = settings.folder.join(&profile.name);
    let plan =
        FleetPlan::new(profile.clone(), &folder)?.with_probe_interval(settings.probe_interval_ms);
    let fleet = Fleet::start(plan, Programs::beside_current_executable()?).await?;
    fleet.create_tables().await?;
    eprintln!("{}: the fleet serves", profile.name);

    let baseline_links = start_baseline_links(&fleet).await?;
    let addresses = |links: &Vec<Link>| links.iter().map(Link::address).collect();
    let targets = baseline_links.iter();
    let targets = targets.map(|(name, links)| (name.clone(), addresses(links))).collect();
    let baseline = run_load(load_settings(settings, "straight", targets, false)).await;
    let fleet_result = run_load(load_settings(settings, "fleet", fleet.targets(), true)).await;

    let mut verification = fleet.verify(&fleet_result.writes_by_database).await?;
    verification.violations.extend(fleet_result.violations.iter().cloned());
    print_run(settings, &baseline, &fleet_result);
    match fleet.replica_read_fraction().await {
        Some(fraction) => println!("  reads served by replicas: {:.1} %", fraction * 100.0),
        None => println!("  reads served by replicas: not known"),
    }
    report_verification(&verification)
}

/// Prints the result of the check against the databases; returns an error if it found a violation.
fn report_verification(verification: &Verification) -> eyre::Result<()> {
    let (violations, mixed) = (verification.violations.len(), verification.mixed_entries);
    let writes = verification.writes;
    println!("  checked {writes} writes: {violations} rules broken, {mixed} mixed entries");
    for violation in verification.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("    {violation:?}");
    }
    if violations > 0 || mixed > 0 {
        bail!("{violations} rules broken, {mixed} mixed entries");
    }
    Ok(())
}

fn load_settings(
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

/// Starts links from the callers in each region directly to the primary of each group. The latency of a
/// link is that of the path through a proxy: caller to proxy plus proxy to primary.
async fn start_baseline_links(fleet: &Fleet) -> eyre::Result<Vec<(String, Vec<Link>)>> {
    let profile = &fleet.plan.profile;
    let mut links = Vec::new();
    for (group_index, (group, members)) in fleet.plan.groups.iter().zip(&fleet.groups).enumerate() {
        let (_, primary) = fleet.find_primary(&group.name, members).await?;
        let mut by_region = Vec::new();
        for region in 0..profile.regions.len() {
            let is_local = region == group_index % profile.regions.len();
            let latency_to_primary =
                if is_local { profile.zone_latency } else { profile.region_latency };
            let state = LinkState::delayed(profile.caller_latency + latency_to_primary);
            by_region.push(Link::start(primary.plan.sql, state).await?);
        }
        links.push((group.name.clone(), by_region));
    }
    Ok(links)
}

fn print_run(settings: &ProfileLoadSettings, baseline: &LoadResult, fleet_result: &LoadResult) {
    let (profile, seconds) = (&settings.profile.name, settings.duration.as_secs());
    println!("{profile} for {seconds} s, rate {}, seed {}", settings.rate, settings.seed);
    print_load("straight", baseline);
    print_load("fleet", fleet_result);
}

fn print_load(name: &str, result: &LoadResult) {
    let seconds = result.duration.as_secs_f64().max(f64::MIN_POSITIVE);
    let rate = result.statements as f64 / seconds;
    println!("  {name}: {rate:.0} statements/s, {:?}", result.outcomes);
    println!("    reads: {}", result.read_latencies);
    println!("    writes: {}", result.write_latencies);
    for (class, latencies) in &result.latencies_by_class {
        println!("    class {class}: {latencies}");
    }
}

impl Fleet {
    /// Returns the fraction of reads that replicas served, from the metrics of all proxies.
    async fn replica_read_fraction(&self) -> Option<f64> {
        let (mut by_replicas, mut all) = (0.0, 0.0);
        for proxy in &self.proxies {
            let url = format!("http://{}/metrics", proxy.plan.telemetry);
            let text = fetch_text(&url).await.ok()?;
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

async fn fetch_text(url: &str) -> eyre::Result<String> {
    let client = awc::Client::default();
    let mut response = client.get(url).send().await.map_err(|error| eyre::eyre!("{error}"))?;
    let body =
        response.body().limit(MAX_METRICS_BYTES).await.wrap_err("cannot read response body")?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
