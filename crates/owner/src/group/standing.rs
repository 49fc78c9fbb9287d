//! Retirement of a group that another proxy owns now, and reactions to members that leave probes unanswered.

use super::Group;
use corktack_core::identity::MemberName;
use std::time::Instant;

impl Group {
    /// Closes the idle connections and refuses waiting requests, since another proxy owns the group now and
    /// needs the connections that the back end allows.
    pub fn retire(&self) {
        let closed = self.with_state(|state| {
            state.retired = true;
            std::mem::take(&mut state.idle)
        });
        drop(closed);
        self.retirement.send_replace(true);
    }

    /// Marks the group as owned again after [`Group::retire`].
    pub fn resume(&self) {
        self.with_state(|state| state.retired = false);
        self.retirement.send_replace(false);
    }

    /// Waits until the group is retired.
    pub async fn retired(&self) {
        let mut retirement = self.retirement.subscribe();
        // The wait cannot fail: the group keeps the sender alive.
        let _ = retirement.wait_for(|retired| *retired).await;
    }

    /// Records whether a probe of a member was answered. Closes the idle connections to a member that has
    /// been unresponsive for `silence_timeout`.
    pub fn record_probe(&self, member: &MemberName, answered: bool) {
        let timeout = self.settings.silence_timeout;
        let (changed, closed) = self.with_state(|state| {
            let was_silent = state.silent_since.contains_key(member);
            if answered {
                state.silent_since.remove(member);
                return (was_silent, None);
            }
            let since = *state.silent_since.entry(member.clone()).or_insert_with(Instant::now);
            if since.elapsed() < timeout {
                return (!was_silent, None);
            }
            // The member may never answer on these connections, so they must not be reused.
            (!was_silent, state.idle.remove(member))
        });
        drop(closed);
        if changed {
            self.notify_member_changed();
        }
    }
}
