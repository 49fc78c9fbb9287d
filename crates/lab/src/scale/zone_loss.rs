//! Loses a zone of a hollow fleet and measures until its parts are replaced everywhere.

use super::group::Life;
use super::hollow_fleet::{HollowFleet, HollowSize, nodes_that_fit};
use super::loss::{Loss, Part};
use super::node::Request;
use super::plan;
use super::restarts;
use super::samples::{SAMPLE_INTERVAL, Samples, Spread, UseOverTime, load_average};
use crate::report;
use crate::usage::Usage;
use corktack_core::routing::second_observer;
use corktack_core::view::View;
use serde::Serialize;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Budget for a change of primary.
const BUDGET: Duration = Duration::from_secs(8);
/// Longest wait until all is replaced.
const LONGEST: Duration = Duration::from_secs(60);
/// Time sampled before the loss.
const QUIET: Duration = Duration::from_secs(5);

/// What a run does.
#[derive(Clone, Debug)]
pub struct ZoneLossSettings {
    /// Sizes of the fleet.
    pub size: HollowSize,
    /// Number of the zone that is lost.
    pub zone: u32,
    /// How its members are dead.
    pub death: Life,
    /// Instead of the loss, restarts so many nodes at once.
    pub restarts: Option<u32>,
    /// Folder of the processes and of the report.
    pub folder: PathBuf,
}

/// What a loss gave.
#[derive(Clone, Debug, Serialize)]
pub struct ZoneLossResult {
    /// Hollow nodes before the loss.
    pub nodes: u32,
    /// Groups.
    pub groups: u32,
    /// Control replicas.
    pub controls: u64,
    /// How the members died.
    pub death: String,
    /// Load averages at the loss and at the end.
    pub load_averages: [String; 2],
    /// Nodes lost.
    pub nodes_lost: usize,
    /// Members lost.
    pub members_lost: usize,
    /// Groups that lost their primary.
    pub primaries_lost: usize,
    /// Groups that lost their owner.
    pub owners_lost: usize,
    /// Milliseconds until all survivors had a live primary, of the groups that lost theirs.
    pub primary_millis: Spread,
    /// Milliseconds until the first survivor knew that the primary is being replaced.
    pub begun_millis: Spread,
    /// Milliseconds until the first survivor had a live primary.
    pub first_millis: Spread,
    /// Milliseconds until all survivors had a live owner, of the groups that lost theirs.
    pub owner_millis: Spread,
    /// Milliseconds for one core to choose the second observers of all groups, as every
    /// real proxy does at every change of its configuration.
    pub second_observers_millis: f64,
    /// Revisions that the loss caused.
    pub revisions: u64,
    /// Processor time of this process, the nodes and back ends, as percent of a core.
    pub own_processor_percent: f64,
    /// Use before the loss.
    pub quiet: UseOverTime,
    /// Use from the loss until the end.
    pub loss: UseOverTime,
}

/// Runs it and writes the report.
///
/// # Errors
/// The first failure of a process, or a fleet that does not become whole.
pub async fn run(settings: &ZoneLossSettings) -> eyre::Result<()> {
    let wanted = settings.size.nodes;
    let nodes = nodes_that_fit(wanted);
    if nodes < wanted {
        println!("descriptors (ulimit -n) are short for {wanted} nodes: {nodes} are used");
    }
    let size = HollowSize { nodes, ..settings.size };
    let fleet = HollowFleet::start(size, &settings.folder.join("fleet")).await?;
    eprintln!("{nodes} nodes: {} groups whole, load {}", fleet.groups, load_average());
    if let Some(count) = settings.restarts {
        return restarts::run(&fleet, count, &settings.folder).await;
    }
    let result = lose_zone(fleet, settings).await?;
    print(&result);
    let path = settings.folder.join("zone-loss.json");
    report::write_json(&path, &result)?;
    println!("written: {}", path.display());
    Ok(())
}

async fn lose_zone(
    mut fleet: HollowFleet,
    settings: &ZoneLossSettings,
) -> eyre::Result<ZoneLossResult> {
    let nodes = fleet.nodes.len();
    let quiet = sample_quiet(&fleet).await?.summary(nodes);
    let load_before = load_average();
    let view = fleet.view().await?;
    let zone = plan::zone(settings.zone)?;
    let members = fleet.members.iter().filter(|member| member.zone == zone);
    let lost_members = members.map(|member| member.name.clone()).collect();
    let lost = |node: &super::hollow_fleet::HollowNode| node.zone == zone;
    let lost_nodes = fleet.nodes.iter().filter(|node| lost(node));
    let lost_nodes = lost_nodes.map(|node| node.name.clone()).collect();
    let members_lost = fleet.members.iter().filter(|member| member.zone == zone).count();

    // A node that is dropped closes its connection and is gone.
    fleet.nodes.retain(|node| !lost(node));
    for member in fleet.members.iter().filter(|member| member.zone == zone) {
        member.group.kill(member.place, settings.death);
    }
    let survivors = fleet.nodes.len();
    let loss = Arc::new(Loss::new(&view, survivors, lost_members, lost_nodes));
    for node in &fleet.nodes {
        node.handle.requests.send(Request::Follow(Arc::clone(&loss)))?;
    }
    let before = Usage::of_this_process()?.processor;
    let samples = sample_loss(&fleet, &loss).await?;
    let own = (Usage::of_this_process()?.processor - before).as_secs_f64();
    Ok(ZoneLossResult {
        nodes: nodes as u32,
        groups: fleet.groups,
        controls: settings.size.controls,
        death: format!("{:?}", settings.death),
        load_averages: [load_before, load_average()],
        nodes_lost: nodes - survivors,
        members_lost,
        primaries_lost: loss.count(Part::Primary),
        owners_lost: loss.count(Part::Owner),
        primary_millis: Spread::of(&loss.millis(Part::Primary)),
        begun_millis: Spread::of(&loss.begun_millis(Part::Primary)),
        first_millis: Spread::of(&loss.first_millis(Part::Primary)),
        owner_millis: Spread::of(&loss.millis(Part::Owner)),
        second_observers_millis: second_observers_millis(&view),
        revisions: fleet.view().await?.revision.0 - view.revision.0,
        own_processor_percent: own / loss.elapsed().as_secs_f64() * 100.0,
        quiet,
        loss: samples.summary(survivors),
    })
}

fn second_observers_millis(view: &View) -> f64 {
    let start = Instant::now();
    for (name, group) in &view.groups {
        std::hint::black_box(second_observer(view, name, group));
    }
    start.elapsed().as_secs_f64() * 1_000.0
}

async fn sample_quiet(fleet: &HollowFleet) -> eyre::Result<Samples> {
    let mut samples = Samples::default();
    let end = Instant::now() + QUIET;
    while Instant::now() < end {
        samples.take(fleet)?;
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    Ok(samples)
}

/// Samples until all is replaced, at least a budget's time.
async fn sample_loss(fleet: &HollowFleet, loss: &Loss) -> eyre::Result<Samples> {
    let mut samples = Samples::default();
    loop {
        samples.take(fleet)?;
        let elapsed = loss.elapsed();
        if elapsed > LONGEST || (loss.is_repaired() && elapsed > BUDGET) {
            return Ok(samples);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

fn print(result: &ZoneLossResult) {
    println!(
        "{} nodes, {} groups, {} control replicas: lost {} nodes and {} members ({}); load {} \
         to {}",
        result.nodes,
        result.groups,
        result.controls,
        result.nodes_lost,
        result.members_lost,
        result.death,
        result.load_averages[0],
        result.load_averages[1],
    );
    let parts = [
        ("primary", result.primaries_lost, result.primary_millis),
        ("owner", result.owners_lost, result.owner_millis),
    ];
    for (part, lost, spread) in parts {
        let Spread { count, min, median, p99, max } = spread;
        println!(
            "  {part}: {lost} groups lost theirs, {count} have a new one on all survivors after \
             {min:.0} / {median:.0} / {p99:.0} / {max:.0} ms (min / median / p99 / max)"
        );
    }
    for (what, spread) in [("begun", result.begun_millis), ("first", result.first_millis)] {
        let Spread { min, median, p99, max, .. } = spread;
        println!(
            "  primary, {what} on the first survivor after {min:.0} / {median:.0} / {p99:.0} / \
             {max:.0} ms"
        );
    }
    let missed = result.primaries_lost - result.primary_millis.count;
    let within = missed == 0 && result.primary_millis.max <= BUDGET.as_secs_f64() * 1_000.0;
    let verdict = if within { "kept" } else { "missed" };
    println!("  budget of {} ms for a change of primary: {verdict}", BUDGET.as_millis());
    println!(
        "  second observers of all groups chosen once: {:.1} ms of a core",
        result.second_observers_millis
    );
    println!(" before the loss:");
    result.quiet.print();
    println!(
        " from the loss, {} revisions, this process {:.0} % of a core:",
        result.revisions, result.own_processor_percent
    );
    result.loss.print();
}
