//! Measures what a real proxy costs as edge and as owner.
//!
//! Two proxies serve one set of groups whose members stand in the first proxy's region,
//! so that the first owns every group and the second, to which the callers connect, is
//! the edge alone. Links have no latency here: only cost is measured.

use super::fit::Fit;
use crate::fleet::plan::FleetPlan;
use crate::fleet::ready::connect;
use crate::fleet::{Fleet, Programs};
use crate::load::run::{LoadSettings, run as run_load};
use crate::profile::Profile;
use crate::report;
use crate::usage::Usage;
use eyre::{WrapErr, bail};
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;

/// Control replicas beside the proxies.
const CONTROLS: u64 = 1;
/// Proxies: the owner and the edge.
const PROXIES: usize = 2;
/// Callers that send statements.
const CALLERS: u32 = 64;
/// Slots of the group under load, above what the load needs at once.
const SLOTS: u32 = 32;
/// Share of writes of the load.
const WRITE_SHARE: f64 = 0.1;

/// What to measure.
#[derive(Clone, Debug)]
pub struct ProxyCostSettings {
    /// Idle callers' connections, one point each.
    pub connections: Vec<u32>,
    /// Statements a second, one point each.
    pub rates: Vec<u32>,
    /// Groups owned, one point each.
    pub groups: Vec<u32>,
    /// Time of each point.
    pub duration: Duration,
    /// Time between an owner's probes of a member, in milliseconds, other than the default.
    pub probe_interval_ms: Option<u32>,
    /// Folder of the processes and of the report.
    pub folder: PathBuf,
}

/// One point: what the owner and the edge used.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Connections, statements a second as answered, or groups.
    pub size: f64,
    /// Percent of a core of the owner.
    pub owner_percent: f64,
    /// Percent of a core of the edge.
    pub edge_percent: f64,
    /// Resident bytes of the owner.
    pub owner_bytes: f64,
    /// Resident bytes of the edge.
    pub edge_bytes: f64,
    /// Bytes a second between edge and owner.
    pub peer_bytes_per_second: f64,
    /// Bytes a second between the owner and the members.
    pub member_bytes_per_second: f64,
}

/// All points.
#[derive(Debug, Default, Serialize)]
pub struct ProxyCost {
    /// By idle connections.
    pub connections: Vec<Point>,
    /// By statements a second.
    pub rates: Vec<Point>,
    /// By groups owned.
    pub groups: Vec<Point>,
}

struct Sample {
    at: Instant,
    owner: Usage,
    edge: Usage,
    peer_bytes: u64,
    member_bytes: u64,
}

/// Measures all points, prints them with their fits and writes them down.
///
/// # Errors
/// The first fleet that does not start or process that is gone.
pub async fn run(settings: &ProxyCostSettings) -> eyre::Result<()> {
    let mut cost = ProxyCost::default();
    let fleet = start(settings, "load", 1).await?;
    fleet.create_tables().await?;
    for rate in &settings.rates {
        cost.rates.push(under_load(settings, &fleet, *rate).await?);
    }
    let mut held = Vec::new();
    for count in &settings.connections {
        cost.connections.push(with_connections(settings, &fleet, &mut held, *count).await?);
    }
    drop(held);
    drop(fleet);
    for groups in &settings.groups {
        let fleet = start(settings, &format!("groups-{groups}"), *groups).await?;
        let point = idle(settings, &fleet, f64::from(*groups)).await?;
        cost.groups.push(point);
    }
    print_series("statements/s", &cost.rates);
    print_series("idle connections", &cost.connections);
    print_series("groups owned", &cost.groups);
    let path = settings.folder.join("proxy-cost.json");
    report::write_json(&path, &cost)?;
    println!("written: {}", path.display());
    Ok(())
}

async fn start(settings: &ProxyCostSettings, name: &str, groups: u32) -> eyre::Result<Fleet> {
    let huts = Profile::huts();
    let profile = Profile {
        groups,
        slots: SLOTS,
        connections: CALLERS,
        // All groups stand in the first region, where the first proxy is alone.
        regions: huts.regions[..1].to_vec(),
        zone_latency: Duration::ZERO,
        region_latency: Duration::ZERO,
        caller_latency: Duration::ZERO,
        write_share: WRITE_SHARE,
        roaming_share: 0.0,
        ..huts.clone()
    };
    let folder = settings.folder.join(name);
    let mut plan = FleetPlan::new(profile, &folder, CONTROLS, PROXIES)?
        .with_probe_interval(settings.probe_interval_ms);
    plan.proxies[1].zone = format!("{}.1", huts.regions[1]);
    let fleet = Fleet::start(plan, Programs::beside_this_one()?).await?;
    eprintln!("{name}: fleet of {} processes serves", fleet.process_ids().len());
    Ok(fleet)
}

async fn under_load(settings: &ProxyCostSettings, fleet: &Fleet, rate: u32) -> eyre::Result<Point> {
    let group = fleet.plan.groups[0].name.clone();
    let profile = Profile { arrivals_per_second: f64::from(rate), ..fleet.plan.profile.clone() };
    let start = sample(fleet)?;
    let result = run_load(LoadSettings {
        profile,
        targets: vec![(group, vec![fleet.proxies[1].plan.callers])],
        proxied: true,
        duration: settings.duration,
        rate: 1.0,
        seed: u64::from(rate),
        label: format!("{rate} a second"),
        run_name: format!("rate{rate}"),
    })
    .await;
    let end = sample(fleet)?;
    if !result.violations.is_empty() {
        bail!("rules broken under {rate} a second: {:?}", result.violations);
    }
    let seconds = (end.at - start.at).as_secs_f64();
    let statements = result.statements as f64 / seconds;
    eprintln!("{rate} a second: {statements:.0} statements/s answered, {:?}", result.ended);
    Ok(point(statements, &start, &end))
}

async fn with_connections(
    settings: &ProxyCostSettings,
    fleet: &Fleet,
    held: &mut Vec<tokio_postgres::Client>,
    count: u32,
) -> eyre::Result<Point> {
    let group = &fleet.plan.groups[0].name;
    while held.len() < count as usize {
        let connecting = connect(fleet.proxies[1].plan.callers, group, "members");
        held.push(connecting.await.wrap_err_with(|| format!("connection {}", held.len()))?);
    }
    idle(settings, fleet, f64::from(count)).await
}

async fn idle(settings: &ProxyCostSettings, fleet: &Fleet, size: f64) -> eyre::Result<Point> {
    let start = sample(fleet)?;
    tokio::time::sleep(settings.duration).await;
    Ok(point(size, &start, &sample(fleet)?))
}

fn sample(fleet: &Fleet) -> eyre::Result<Sample> {
    let members = fleet.groups.iter().flatten();
    Ok(Sample {
        at: Instant::now(),
        owner: Usage::of(fleet.proxies[0].process.id())?,
        edge: Usage::of(fleet.proxies[1].process.id())?,
        peer_bytes: fleet.proxies.iter().map(|proxy| proxy.peer_link.passed_bytes()).sum(),
        member_bytes: members.map(|member| member.sql_link.passed_bytes()).sum(),
    })
}

fn point(size: f64, start: &Sample, end: &Sample) -> Point {
    let seconds = (end.at - start.at).as_secs_f64();
    let percent = |start: Usage, end: Usage| {
        (end.processor.saturating_sub(start.processor)).as_secs_f64() / seconds * 100.0
    };
    Point {
        size,
        owner_percent: percent(start.owner, end.owner),
        edge_percent: percent(start.edge, end.edge),
        owner_bytes: end.owner.resident_bytes as f64,
        edge_bytes: end.edge.resident_bytes as f64,
        peer_bytes_per_second: (end.peer_bytes - start.peer_bytes) as f64 / seconds,
        member_bytes_per_second: (end.member_bytes - start.member_bytes) as f64 / seconds,
    }
}

/// A figure of one point, for a fit over the sizes.
type Measure = fn(&Point) -> f64;

fn print_series(name: &str, points: &[Point]) {
    for point in points {
        println!(
            "{:.0} {name}: owner {:.2} % {:.1} MB, edge {:.2} % {:.1} MB, peers {:.0} B/s, \
             members {:.0} B/s",
            point.size,
            point.owner_percent,
            point.owner_bytes / 1e6,
            point.edge_percent,
            point.edge_bytes / 1e6,
            point.peer_bytes_per_second,
            point.member_bytes_per_second,
        );
    }
    let series: [(&str, Measure); 6] = [
        ("owner, percent of a core", |it| it.owner_percent),
        ("edge, percent of a core", |it| it.edge_percent),
        ("owner, resident bytes", |it| it.owner_bytes),
        ("edge, resident bytes", |it| it.edge_bytes),
        ("between edge and owner, bytes/s", |it| it.peer_bytes_per_second),
        ("between owner and members, bytes/s", |it| it.member_bytes_per_second),
    ];
    for (figure, measure) in series {
        let values: Vec<(f64, f64)> = points.iter().map(|it| (it.size, measure(it))).collect();
        let Some(fit) = Fit::of(&values) else { continue };
        println!(
            "  fit {figure}: {:.4} + {:.6} each, worst residual {:.0} %",
            fit.base,
            fit.slope,
            fit.worst_residual * 100.0
        );
    }
}
