//! Restarts many hollow nodes at once and measures until all have the configuration again.

use super::hollow_fleet::{HollowFleet, HollowNode};
use super::node::Request;
use super::nodes::CONVERGE_TIMEOUT;
use super::samples::{SAMPLE_INTERVAL, Samples, UseOverTime, load_average};
use crate::report;
use eyre::bail;
use serde::Serialize;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Time sampled after all have the configuration, for what the restarts cause later.
const AFTERMATH: Duration = Duration::from_secs(5);

/// What the restarts gave.
#[derive(Clone, Debug, Serialize)]
pub struct RestartResult {
    /// Hollow nodes.
    pub nodes: u32,
    /// Groups.
    pub groups: u32,
    /// Nodes that restarted.
    pub restarted: u32,
    /// Load averages at the restart and at the end.
    pub load_averages: [String; 2],
    /// Milliseconds until every node had a configuration as new as before.
    pub in_force_millis: f64,
    /// Bytes of a restarted node until then, both directions, as a mean.
    pub bytes_until_in_force: f64,
    /// Bytes of a restarted node by the end, both directions, as a mean.
    pub bytes_restarted: f64,
    /// Bytes of another node by the end, both directions, as a mean.
    pub bytes_other: f64,
    /// Snapshots that restarted nodes got, as a mean.
    pub snapshots: f64,
    /// Use from the restart until the end.
    pub usage: UseOverTime,
}

/// What a set of nodes had counted at one time.
#[derive(Clone, Copy, Default)]
struct Counted {
    bytes: u64,
    snapshots: u64,
    nodes: u64,
}

impl Counted {
    fn of<'a>(nodes: impl Iterator<Item = &'a HollowNode>) -> Self {
        nodes.fold(Self::default(), |sum, node| Self {
            bytes: sum.bytes + node.bytes(),
            snapshots: sum.snapshots + node.counters.snapshots.load(Ordering::Relaxed),
            nodes: sum.nodes + 1,
        })
    }

    fn bytes_since(self, before: Self) -> f64 {
        (self.bytes - before.bytes) as f64 / self.nodes.max(1) as f64
    }
}

/// Restarts so many nodes, spread over all, and writes the report.
///
/// # Errors
/// A node or process is gone, or the nodes do not get their configuration.
pub async fn run(fleet: &HollowFleet, count: u32, folder: &Path) -> eyre::Result<()> {
    let nodes = fleet.nodes.len();
    let count = (count as usize).min(nodes);
    let restarts = |place: usize| (place + 1) * count / nodes > place * count / nodes;
    let all = || fleet.nodes.iter().enumerate();
    let restarted = || all().filter(|(place, _)| restarts(*place)).map(|(_, node)| node);
    let others = || all().filter(|(place, _)| !restarts(*place)).map(|(_, node)| node);

    let load_before = load_average();
    let revision = fleet.view().await?.revision.0;
    let (before, before_others) = (Counted::of(restarted()), Counted::of(others()));
    let snapshots: Vec<u64> =
        restarted().map(|node| node.counters.snapshots.load(Ordering::Relaxed)).collect();
    let mut samples = Samples::default();
    samples.take(fleet)?;
    let start = Instant::now();
    for node in restarted() {
        node.handle.requests.send(Request::Restart)?;
    }
    let in_force = |(node, before): (&HollowNode, &u64)| {
        node.counters.snapshots.load(Ordering::Relaxed) > *before
            && node.handle.revision.load(Ordering::Relaxed) >= revision
    };
    while !restarted().zip(&snapshots).all(in_force) {
        if start.elapsed() > CONVERGE_TIMEOUT {
            bail!("not all restarted nodes had a configuration within {CONVERGE_TIMEOUT:?}");
        }
        samples.take(fleet)?;
        tokio::time::sleep(SAMPLE_INTERVAL / 10).await;
    }
    let in_force_millis = start.elapsed().as_secs_f64() * 1_000.0;
    let at_force = Counted::of(restarted());
    let end = Instant::now() + AFTERMATH;
    while Instant::now() < end {
        samples.take(fleet)?;
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    let after = Counted::of(restarted());
    let result = RestartResult {
        nodes: nodes as u32,
        groups: fleet.groups,
        restarted: count as u32,
        load_averages: [load_before, load_average()],
        in_force_millis,
        bytes_until_in_force: at_force.bytes_since(before),
        bytes_restarted: after.bytes_since(before),
        bytes_other: Counted::of(others()).bytes_since(before_others),
        snapshots: (after.snapshots - before.snapshots) as f64 / count.max(1) as f64,
        usage: samples.summary(nodes),
    };
    print(&result);
    let path = folder.join("restarts.json");
    report::write_json(&path, &result)?;
    println!("written: {}", path.display());
    Ok(())
}

fn print(result: &RestartResult) {
    println!(
        "{} nodes, {} groups: {} restarted at once; load {} to {}",
        result.nodes,
        result.groups,
        result.restarted,
        result.load_averages[0],
        result.load_averages[1]
    );
    println!(
        "  in force on all again after {:.0} ms; {:.0} B each until then, {:.0} B each by the \
         end, {:.0} B another node; {:.2} snapshots each",
        result.in_force_millis,
        result.bytes_until_in_force,
        result.bytes_restarted,
        result.bytes_other,
        result.snapshots
    );
    result.usage.print();
}
