//! Measures what control costs at several sizes.

use super::fit::Fit;
use super::node::{self, Counters, NodeHandle};
use super::plan::{self, TARGET_NODES};
use crate::fleet::plan::FleetPlan;
use crate::fleet::{Fleet, Programs};
use crate::profile::Profile;
use crate::report;
use crate::usage::Usage;
use eyre::{WrapErr, bail};
use serde::Serialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait until all nodes have a configuration.
const CONVERGE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time between two looks at the nodes.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);
/// Budget for control: share of a core a node.
const PROCESSOR_BUDGET_PERCENT: f64 = 2.5;
/// Budget for control: bytes a second a node.
const BYTES_BUDGET: f64 = 15_000.0;
/// Budget for a change to be in force everywhere.
const IN_FORCE_BUDGET: Duration = Duration::from_secs(16);

/// A figure of one size, for a fit over the sizes.
type Measure = fn(&SizeResult) -> f64;

/// What a scale run does.
#[derive(Clone, Debug)]
pub struct ScaleSettings {
    /// Numbers of hollow nodes, one measurement each.
    pub sizes: Vec<u32>,
    /// Control replicas, each a process.
    pub controls: u64,
    /// Time measured without changes.
    pub quiet: Duration,
    /// Changes measured one after another.
    pub changes: u32,
    /// Event loops (threads) of the hollow nodes.
    pub threads: usize,
    /// Folder of the processes and of the report.
    pub folder: PathBuf,
    /// Port of the hollow back ends.
    pub back_end_port: u16,
}

/// Cost of one process or node over a window.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// Share of a core, percent.
    pub processor_percent: f64,
    /// Resident memory, bytes.
    pub resident_bytes: f64,
}

/// What one size gave.
#[derive(Clone, Debug, Serialize)]
pub struct SizeResult {
    /// Hollow nodes.
    pub nodes: u32,
    /// Groups.
    pub groups: u32,
    /// Time until all nodes had the whole configuration after the groups were applied.
    pub configured_seconds: f64,
    /// A node without changes.
    pub node: Cost,
    /// Bytes a second of a node, both directions, without changes.
    pub node_bytes_per_second: f64,
    /// Messages a second of a node, both directions, without changes.
    pub node_messages_per_second: f64,
    /// Control replicas without changes, the costliest first (the leader as a rule).
    pub controls: Vec<Cost>,
    /// Bytes that one change costs a node.
    pub node_bytes_per_change: f64,
    /// Times until a change was in force on every node, milliseconds, sorted.
    pub in_force_millis: Vec<f64>,
}

struct Sample {
    at: Instant,
    this: Usage,
    controls: Vec<Usage>,
    bytes: u64,
    messages: u64,
}

/// Runs all sizes and writes the report.
///
/// # Errors
/// The first failure of a process, or a size that did not converge.
pub async fn run(settings: &ScaleSettings) -> eyre::Result<()> {
    let mut results = Vec::new();
    for nodes in &settings.sizes {
        let result = run_size(settings, *nodes).await.wrap_err_with(|| format!("{nodes} nodes"))?;
        print_size(&result);
        results.push(result);
    }
    print_fits(&results);
    let path = settings.folder.join("scale.json");
    report::write_json(&path, &results)?;
    println!("written: {}", path.display());
    Ok(())
}

async fn run_size(settings: &ScaleSettings, nodes: u32) -> eyre::Result<SizeResult> {
    let folder = settings.folder.join(format!("scale-{nodes}"));
    let profile = Profile { groups: 0, ..Profile::huts() };
    let plan = FleetPlan::new(profile, &folder, settings.controls, 0)?;
    let replicas: Vec<SocketAddr> = plan.controls.iter().map(|it| it.proxies).collect();
    let before = Usage::of_this_process()?.resident_bytes;
    let fleet = Fleet::start(plan, Programs::beside_this_one()?).await?;
    let counters = Arc::new(Counters::default());
    let handles = start_nodes(settings, nodes, &replicas, &counters).await?;
    eprintln!("{nodes} nodes: connected to {} control replicas", settings.controls);

    let groups = plan::groups_for(nodes);
    let path = folder.join("groups.yaml");
    std::fs::write(&path, plan::manifests(groups, settings.back_end_port)?)?;
    let start = Instant::now();
    fleet.corktack(&["apply", "-f", &path.to_string_lossy()])?;
    let last = wait_until_equal(&handles).await?;
    let configured_seconds = start.elapsed().as_secs_f64();
    eprintln!("{nodes} nodes: {groups} groups in force at revision {last}");

    let quiet_start = sample(&fleet, &counters)?;
    tokio::time::sleep(settings.quiet).await;
    let quiet_end = sample(&fleet, &counters)?;
    let (in_force_millis, bytes_per_change) =
        measure_changes(settings, &fleet, &handles, &counters, &folder).await?;

    let seconds = (quiet_end.at - quiet_start.at).as_secs_f64();
    let each = |total: f64| total / f64::from(nodes);
    let processor = quiet_end.this.processor - quiet_start.this.processor;
    let mut controls: Vec<Cost> = quiet_start
        .controls
        .iter()
        .zip(&quiet_end.controls)
        .map(|(start, end)| Cost {
            processor_percent: percent(end.processor - start.processor, seconds),
            resident_bytes: end.resident_bytes as f64,
        })
        .collect();
    controls.sort_by(|a, b| b.processor_percent.total_cmp(&a.processor_percent));
    Ok(SizeResult {
        nodes,
        groups,
        configured_seconds,
        node: Cost {
            processor_percent: each(percent(processor, seconds)),
            resident_bytes: each(quiet_end.this.resident_bytes.saturating_sub(before) as f64),
        },
        node_bytes_per_second: each((quiet_end.bytes - quiet_start.bytes) as f64) / seconds,
        node_messages_per_second: each((quiet_end.messages - quiet_start.messages) as f64)
            / seconds,
        controls,
        node_bytes_per_change: each(bytes_per_change),
        in_force_millis,
    })
}

fn percent(processor: Duration, seconds: f64) -> f64 {
    processor.as_secs_f64() / seconds * 100.0
}

async fn start_nodes(
    settings: &ScaleSettings,
    nodes: u32,
    replicas: &[SocketAddr],
    counters: &Arc<Counters>,
) -> eyre::Result<Vec<NodeHandle>> {
    let arbiters: Vec<_> = (0..settings.threads).map(|_| actix_rt::Arbiter::new()).collect();
    let (sender, mut started) = tokio::sync::mpsc::unbounded_channel();
    for number in 0..nodes {
        let settings = plan::node_settings(number, replicas)?;
        let (sender, counters) = (sender.clone(), Arc::clone(counters));
        arbiters[number as usize % arbiters.len()].spawn_fn(move || {
            let _ = sender.send(node::start(settings, counters));
        });
    }
    drop(sender);
    let mut handles = Vec::new();
    while let Some(handle) = started.recv().await {
        handles.push(handle);
    }
    Ok(handles)
}

/// Waits until all nodes have the same revision, above zero, for a while.
async fn wait_until_equal(handles: &[NodeHandle]) -> eyre::Result<u64> {
    const STABLE: Duration = Duration::from_secs(2);
    let deadline = Instant::now() + CONVERGE_TIMEOUT;
    let mut since = Instant::now();
    let mut last = 0;
    while Instant::now() < deadline {
        let (lowest, highest) = revisions(handles);
        if lowest != highest || lowest != last || lowest == 0 {
            since = Instant::now();
            last = highest;
        }
        if since.elapsed() >= STABLE {
            return Ok(lowest);
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    let (lowest, highest) = revisions(handles);
    bail!("nodes did not converge: revisions {lowest} to {highest}");
}

fn revisions(handles: &[NodeHandle]) -> (u64, u64) {
    let all = || handles.iter().map(|handle| handle.revision.load(Ordering::Relaxed));
    (all().min().unwrap_or(0), all().max().unwrap_or(0))
}

async fn measure_changes(
    settings: &ScaleSettings,
    fleet: &Fleet,
    handles: &[NodeHandle],
    counters: &Counters,
    folder: &std::path::Path,
) -> eyre::Result<(Vec<f64>, f64)> {
    let path = folder.join("change.yaml");
    let mut times = Vec::new();
    let mut bytes = 0;
    for change in 0..settings.changes {
        let text = plan::group_manifest(0, settings.back_end_port, 11 + change)?;
        std::fs::write(&path, text)?;
        let (_, before) = revisions(handles);
        let bytes_before = counters.bytes_in.load(Ordering::Relaxed);
        let start = Instant::now();
        fleet.corktack(&["apply", "-f", &path.to_string_lossy()])?;
        wait_above(handles, before).await?;
        times.push(start.elapsed().as_secs_f64() * 1_000.0);
        bytes += counters.bytes_in.load(Ordering::Relaxed) - bytes_before;
    }
    times.sort_by(f64::total_cmp);
    Ok((times, bytes as f64 / f64::from(settings.changes.max(1))))
}

async fn wait_above(handles: &[NodeHandle], revision: u64) -> eyre::Result<()> {
    let deadline = Instant::now() + CONVERGE_TIMEOUT;
    while Instant::now() < deadline {
        if revisions(handles).0 > revision {
            return Ok(());
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    bail!("a change was not in force everywhere within {CONVERGE_TIMEOUT:?}");
}

fn sample(fleet: &Fleet, counters: &Counters) -> eyre::Result<Sample> {
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let controls: Result<Vec<Usage>, _> =
        fleet.controls.iter().map(|control| Usage::of(control.id())).collect();
    Ok(Sample {
        at: Instant::now(),
        this: Usage::of_this_process()?,
        controls: controls?,
        bytes: count(&counters.bytes_in) + count(&counters.bytes_out),
        messages: count(&counters.messages_in) + count(&counters.messages_out),
    })
}

fn print_size(result: &SizeResult) {
    let slowest = result.in_force_millis.last().copied().unwrap_or(0.0);
    println!(
        "{} nodes, {} groups: configured in {:.1} s",
        result.nodes, result.groups, result.configured_seconds
    );
    println!(
        "  node: {:.3} % of a core (budget {PROCESSOR_BUDGET_PERCENT}), {:.2} MB, {:.0} B/s \
         (budget {BYTES_BUDGET:.0}), {:.2} messages/s, {:.0} B a change",
        result.node.processor_percent,
        result.node.resident_bytes / 1e6,
        result.node_bytes_per_second,
        result.node_messages_per_second,
        result.node_bytes_per_change,
    );
    for control in &result.controls {
        println!(
            "  control replica: {:.2} % of a core, {:.1} MB",
            control.processor_percent,
            control.resident_bytes / 1e6
        );
    }
    println!(
        "  in force on all: slowest of {} changes {slowest:.0} ms (budget {} ms)",
        result.in_force_millis.len(),
        IN_FORCE_BUDGET.as_millis()
    );
}

fn print_fits(results: &[SizeResult]) {
    let series: [(&str, Measure); 5] = [
        ("leader, percent of a core", |it| {
            it.controls.first().map_or(0.0, |c| c.processor_percent)
        }),
        ("follower, percent of a core", |it| {
            it.controls.last().map_or(0.0, |c| c.processor_percent)
        }),
        ("costliest control replica, bytes", |it| {
            it.controls.iter().map(|control| control.resident_bytes).fold(0.0, f64::max)
        }),
        ("node, resident bytes", |it| it.node.resident_bytes),
        ("in force on all, slowest, ms", |it| it.in_force_millis.last().copied().unwrap_or(0.0)),
    ];
    for (name, value) in series {
        let points: Vec<(f64, f64)> =
            results.iter().map(|result| (f64::from(result.nodes), value(result))).collect();
        let Some(fit) = Fit::of(&points) else { continue };
        println!(
            "fit {name}: {:.4} + {:.6} a node, worst residual {:.0} %, at {TARGET_NODES}: {:.3}",
            fit.base,
            fit.slope,
            fit.worst_residual * 100.0,
            fit.at(f64::from(TARGET_NODES)),
        );
    }
}
