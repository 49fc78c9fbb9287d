//! Records which members answer and which don't, and reports changes to control.
//!
//! The reports follow from connection attempts and statements, and are retracted when this gateway can no
//! longer find out whether the member is back. A connection attempt ([`connect`](super::connect)) finds out
//! whether a silent member is gone.

use super::{Group, LOG_TARGET, MemberReach};
use crate::wire::Wire;
use corktack_core::identity::MemberName;
use std::rc::Rc;
use tokio::time::Instant;

impl<W: Wire> Group<W> {
    /// Records that a member answered; reports it to control if the member counted as unreachable.
    pub(crate) fn record_reached(&self, name: &MemberName) {
        let now = self.clock.now();
        let mut is_changed = false;
        self.with_member(name, |member| {
            member.silence.record_answer(now);
            is_changed = member.pauses.record_reached();
        });
        if is_changed {
            self.report_reach(name, true);
        }
    }

    /// Records that a member gave no answer; reports it to control if the member counted as reachable.
    pub(crate) fn record_unreachable(&self, name: &MemberName) {
        let now = Instant::now();
        let mut is_changed = false;
        self.with_member(name, |member| is_changed = member.record_unreachable(now));
        if is_changed {
            self.report_reach(name, false);
        }
    }

    /// Records one more request that a member did not answer; reports whether the member counts as gone now.
    pub(super) fn record_unanswered(&self, name: &MemberName) -> bool {
        let now = self.clock.now();
        let mut is_gone = false;
        // Without own connections, the request went through another gateway, which may be the slow one.
        self.with_member(name, |member| {
            is_gone = member.holds_connections() && member.silence.record_unanswered(now)
        });
        if is_gone {
            log::warn!(
                target: LOG_TARGET, group:% = self.name, member:% = name;
                "member accepts connections and answers nothing: it counts as unreachable"
            );
        }
        is_gone
    }

    /// Records that a member's answer is overdue. The member is slow or gone: a new connection finds out
    /// which.
    pub(crate) fn record_silence(self: &Rc<Self>, name: &MemberName) {
        let now = Instant::now();
        if self.record_unanswered(name) {
            return self.record_unreachable(name);
        }
        let mut reconnect_to = None;
        self.with_member(name, |member| reconnect_to = member.record_silence(now));
        if let Some(back_end) = reconnect_to {
            self.connect_in_background(name, back_end);
        }
    }

    /// Retracts the report that a member is unreachable, because this gateway can no longer find out whether
    /// the member is back. The message is the same as for a member that was reached.
    pub(super) fn retract_unreachable(&self, name: &MemberName) {
        log::info!(
            target: LOG_TARGET, group:% = self.name, member:% = name;
            "gateway no longer connects to member: report that it was unreachable retracted"
        );
        self.report_reach(name, true);
    }

    fn report_reach(&self, member: &MemberName, reached: bool) {
        let (group, member) = (self.name.clone(), member.clone());
        // The receiver is gone only when the process ends.
        let _ = self.reach.send(MemberReach { group, member, reached });
    }
}
