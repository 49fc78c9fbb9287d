//! Applies committed entries to the engine, after the adjustable lag.
//!
//! Owns when a commit index was learned; relies on the replication for what is committed and on the writing
//! connection for applying it.

use crate::replication::Role;
use crate::shared::Shared;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Most entries applied in one transaction of the engine.
const APPLY_BATCH: usize = 128;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const IDLE_PAUSE: Duration = Duration::from_secs(3600);

/// Commit indexes in the order they were learned.
#[derive(Default)]
struct Learned {
    marks: VecDeque<(u64, Instant)>,
    highest: u64,
}

impl Learned {
    fn note(&mut self, commit_index: u64) {
        if commit_index > self.highest {
            self.highest = commit_index;
            self.marks.push_back((commit_index, Instant::now()));
        }
    }

    /// Highest index that was learned at least `lag` ago.
    fn due(&self, lag: Duration) -> Option<u64> {
        let now = Instant::now();
        let ripe = self.marks.iter().take_while(|(_, learned)| *learned + lag <= now);
        ripe.last().map(|(index, _)| *index)
    }

    fn forget_up_to(&mut self, applied: u64) {
        while self.marks.front().is_some_and(|(index, _)| *index <= applied) {
            self.marks.pop_front();
        }
    }

    fn next_due(&self, lag: Duration) -> Instant {
        let first = self.marks.front().map(|(_, learned)| *learned + lag);
        first.unwrap_or_else(|| Instant::now() + IDLE_PAUSE)
    }
}

/// Applies committed entries for ever. A serving primary applies its own.
pub async fn apply_committed(shared: Arc<Shared>) {
    let mut status = shared.replication.subscribe();
    let mut lag = shared.lag.subscribe();
    let mut learned = Learned::default();
    loop {
        let (role, commit_index) = {
            let now = status.borrow_and_update();
            (now.role, now.commit_index)
        };
        learned.note(commit_index);
        let applied = *shared.applied.borrow();
        learned.forget_up_to(applied);
        let delay = if role == Role::Replica { *lag.borrow_and_update() } else { Duration::ZERO };
        let due = learned.due(delay).unwrap_or(0);
        if role != Role::Primary && due > applied {
            apply_up_to(&shared, applied, due).await;
            continue;
        }
        tokio::select! {
            changed = status.changed() => if changed.is_err() { return },
            _ = lag.changed() => {}
            () = sleep_until(learned.next_due(delay)), if role != Role::Primary => {}
        }
    }
}

async fn apply_up_to(shared: &Arc<Shared>, applied: u64, due: u64) {
    let engine = shared.writer.clone().lock_owned().await;
    let limit = usize::try_from(due - applied).unwrap_or(APPLY_BATCH).min(APPLY_BATCH);
    let entries = shared.replication.committed_after(applied, limit);
    let applying = actix_rt::task::spawn_blocking(move || engine.apply(&entries)).await;
    match applying {
        Ok(Ok(index)) => shared.note_applied(index),
        Ok(Err(error)) => {
            log::error!(error:%; "committed entries cannot be applied");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(error) => log::error!(error:%; "the worker that applies entries ended"),
    }
}
