//! Whether a group is still owned here, and whether its members answer.
//!
//! The module owns what follows from either: which idle connections are closed, and who is woken.

use super::Group;
use corktack_core::identity::MemberName;
use std::time::Instant;

impl Group {
    /// Gives up the connections that no transaction uses: another proxy owns the
    /// group now, and the back end's limit is for its connections.
    pub fn retire(&self) {
        let closed = self.with_state(|state| {
            state.retired = true;
            std::mem::take(&mut state.idle)
        });
        drop(closed);
        self.retirement.send_replace(true);
    }

    /// Takes the group up again after [`Group::retire`].
    pub fn resume(&self) {
        self.with_state(|state| state.retired = false);
        self.retirement.send_replace(false);
    }

    /// Waits until the group is retired.
    pub async fn retired(&self) {
        let mut retirement = self.retirement.subscribe();
        // The sender lives in the group.
        let _ = retirement.wait_for(|retired| *retired).await;
    }

    /// Records whether a probe of a member was answered.
    pub fn note_probe(&self, member: &MemberName, answered: bool) {
        let bound = self.settings.silence_timeout;
        let (changed, closed) = self.with_state(|state| {
            let known = state.silent_since.contains_key(member);
            if answered {
                state.silent_since.remove(member);
                return (known, None);
            }
            let since = *state.silent_since.entry(member.clone()).or_insert_with(Instant::now);
            if since.elapsed() < bound {
                return (!known, None);
            }
            // What the member may never answer must not be handed out again.
            (!known, state.idle.remove(member))
        });
        drop(closed);
        if changed {
            self.knowledge_changed();
        }
    }
}
