//! All hollow nodes of a run together.

use super::node::NodeHandle;
use actix_rt::Arbiter;
use eyre::bail;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait until all nodes have a configuration.
pub const CONVERGE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time between two looks at the nodes.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Starts event loops, a thread each.
#[must_use]
pub fn start_arbiters(threads: usize) -> Vec<Arbiter> {
    (0..threads).map(|_| Arbiter::new()).collect()
}

/// Starts nodes on these event loops in turn. `prepare` gives what starts the node of a number.
///
/// # Errors
/// The first error of `prepare`.
pub async fn start_nodes<Start>(
    arbiters: &[Arbiter],
    nodes: u32,
    prepare: impl Fn(u32) -> eyre::Result<Start>,
) -> eyre::Result<Vec<NodeHandle>>
where
    Start: FnOnce() -> NodeHandle + Send + 'static,
{
    let (sender, mut started) = tokio::sync::mpsc::unbounded_channel();
    for number in 0..nodes {
        let sender = sender.clone();
        let start = prepare(number)?;
        arbiters[number as usize % arbiters.len()].spawn_fn(move || {
            // The receiver lives until all have started.
            let _ = sender.send((number, start()));
        });
    }
    drop(sender);
    let mut handles = Vec::new();
    while let Some(handle) = started.recv().await {
        handles.push(handle);
    }
    handles.sort_by_key(|(number, _)| *number);
    Ok(handles.into_iter().map(|(_, handle)| handle).collect())
}

/// Waits until all nodes have the same revision, above zero, for a while.
///
/// # Errors
/// They did not within [`CONVERGE_TIMEOUT`].
pub async fn wait_until_equal(handles: &[NodeHandle]) -> eyre::Result<u64> {
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

/// Waits until all nodes have a revision above this one.
///
/// # Errors
/// They did not within [`CONVERGE_TIMEOUT`].
pub async fn wait_above(handles: &[NodeHandle], revision: u64) -> eyre::Result<()> {
    let deadline = Instant::now() + CONVERGE_TIMEOUT;
    while Instant::now() < deadline {
        if revisions(handles).0 > revision {
            return Ok(());
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    bail!("a change was not in force everywhere within {CONVERGE_TIMEOUT:?}");
}

/// Lowest and highest revision in force.
#[must_use]
pub fn revisions<'a>(handles: impl IntoIterator<Item = &'a NodeHandle>) -> (u64, u64) {
    let all = handles.into_iter().map(|handle| handle.revision.load(Ordering::Relaxed));
    let all: Vec<u64> = all.collect();
    (all.iter().copied().min().unwrap_or(0), all.iter().copied().max().unwrap_or(0))
}
