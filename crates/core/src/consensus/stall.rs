//! Times in which this replica received nothing, because its driver synced or did not run.
//!
//! The others' messages of that time are still unread, so their silence says nothing about them: it does not
//! count towards this replica's timeouts.

use super::progress::MAX_ALLOWED_SILENCE;
use super::replica::{Replica, RoleState};
use crate::time::{Timestamp, millis};
use std::time::Duration;

/// Time for which a stall is remembered. A shorter time forgets a slow disk between two syncs of an idle cell; a
/// longer one delays elections long after the disk has recovered.
const STALL_MEMORY: Duration = Duration::from_secs(10);
/// Limit on a remembered stall, in election timeouts. With a lower limit, replicas with slow disks replace each
/// other's leaders; with a higher one, one long stall delays elections for longer.
const MAX_REMEMBERED_ELECTION_TIMEOUTS: u32 = 4;

/// The longest stall of the last [`STALL_MEMORY`].
#[derive(Debug, Default)]
pub(super) struct RecentStall {
    duration: Duration,
    expires: Timestamp,
}

impl RecentStall {
    fn record(&mut self, now: Timestamp, duration: Duration) {
        if duration >= self.duration(now) {
            *self = Self { duration, expires: now + STALL_MEMORY };
        }
    }

    pub(super) fn duration(&self, now: Timestamp) -> Duration {
        if now < self.expires { self.duration } else { Duration::ZERO }
    }
}

impl Replica {
    /// Extends the election timeout by the stall, and does not count the stall as silence of the followers.
    /// A stall shorter than the heartbeat interval hides no heartbeat and is ignored.
    ///
    /// A leader steps down after a stall that is longer than any silence it allows. The responses that it
    /// reads next are as old as the stall, so they don't show that it still leads.
    pub(super) fn handle_stalled(&mut self, now: Timestamp, duration: Duration) {
        if duration < self.settings.heartbeat_interval {
            return;
        }
        self.election_deadline = self.election_deadline + duration;
        let election_timeout = self.settings.election_timeout;
        if duration >= election_timeout / 2 {
            let longest = election_timeout.saturating_mul(MAX_REMEMBERED_ELECTION_TIMEOUTS);
            self.recent_stall.record(now, duration.min(longest));
        }
        let RoleState::Leader(leader) = &mut self.role else { return };
        if duration > MAX_ALLOWED_SILENCE {
            ::log::warn!(
                replica = self.settings.id.0, term = self.hard_state.term.0,
                stalled_ms = millis(duration);
                "leader steps down: it received nothing for too long"
            );
            self.become_follower(now, self.hard_state.term, None);
            return;
        }
        for progress in leader.progress.values_mut() {
            progress.record_stall(duration);
        }
    }
}
