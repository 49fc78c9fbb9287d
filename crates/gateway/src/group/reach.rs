//! Notes which members answer and which do not, and reports changes to control.
//!
//! It is for the outcome of attempts to connect and of statements. It owns the change from reached to
//! unreached and back, also where this gateway cannot know any longer. It relies on
//! [`connect`](super::connect) to find out whether a silent member is gone.

use super::{Group, LOG_TARGET, MemberReach};
use crate::wire::Wire;
use corktack_core::identity::MemberName;
use std::rc::Rc;
use tokio::time::Instant;

impl<W: Wire> Group<W> {
    /// A member answered; that is reported to control if it counted as unreachable.
    pub(crate) fn note_reached(&self, name: &MemberName) {
        let now = self.clock.now();
        let mut news = false;
        self.with_member(name, |member| {
            member.silence.answered(now);
            news = member.pauses.note_reached();
        });
        if news {
            self.report(name, true);
        }
    }

    /// A member gave no answer; that is reported to control if it counted as reachable.
    pub(crate) fn note_unreachable(&self, name: &MemberName) {
        let now = Instant::now();
        let mut news = false;
        self.with_member(name, |member| news = member.note_unreachable(now));
        if news {
            self.report(name, false);
        }
    }

    /// Whether a member that has just left one more question without an answer counts as gone.
    pub(super) fn is_gone(&self, name: &MemberName) -> bool {
        let now = self.clock.now();
        let mut gone = false;
        // Through another gateway, it is that one that may be slow.
        self.with_member(name, |it| gone = it.holds_connections() && it.silence.unanswered(now));
        if gone {
            log::warn!(
                target: LOG_TARGET, group:% = self.name, member:% = name;
                "member accepts connections and answers nothing: it counts as unreachable"
            );
        }
        gone
    }

    /// A member owes an answer that should have come. Slow or gone: a new connection will tell.
    pub(crate) fn note_silent(self: &Rc<Self>, name: &MemberName) {
        let now = Instant::now();
        if self.is_gone(name) {
            return self.note_unreachable(name);
        }
        let mut checked = None;
        self.with_member(name, |member| checked = member.note_silent(now));
        if let Some(back_end) = checked {
            self.check(name, back_end);
        }
    }

    /// This gateway can no longer find out whether a member is back: control is not to count on its word.
    /// There is one message for that and for a member that was reached.
    pub(super) fn take_back(&self, name: &MemberName) {
        log::info!(
            target: LOG_TARGET, group:% = self.name, member:% = name;
            "member is no longer connected to: that it was not reached is taken back"
        );
        self.report(name, true);
    }

    fn report(&self, member: &MemberName, reached: bool) {
        let (group, member) = (self.name.clone(), member.clone());
        // Nobody listens at the end of the process only.
        let _ = self.reach.send(MemberReach { group, member, reached });
    }
}
