//! What statements say of a member, remembered for those that come.
//!
//! It is for the outcome of statements at a member. It owns what each outcome means for the member. It
//! relies on the member to keep it and on [`reach`](super::reach) where it may be gone.

use super::Group;
use crate::answer::{Answer, Unanswered};
use crate::error::LinkError;
use crate::wire::Wire;
use corktack_core::identity::MemberName;
use corktack_core::position::Position;
use corktack_core::scheduling::StatementKind;
use corktack_core::statement::ErrorCode;
use corktack_core::time::Timestamp;
use corktack_protocol::tunnel::MemberLoadReport;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl<W: Wire> Group<W> {
    /// The steady time.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Longest wait for the begin of a transaction.
    pub(crate) fn begin_timeout(&self) -> Duration {
        self.settings.begin_timeout
    }

    /// A member acted as only the primary can, in answer to a question asked at this time, and reported
    /// its position.
    pub(crate) fn note_lead(
        &self,
        name: &MemberName,
        asked_at: Timestamp,
        position: Option<Position>,
    ) {
        self.note_primary(name);
        if let Some(position) = position {
            self.freshness.borrow_mut().note(asked_at, position);
        }
    }

    /// Age and position of the newest answer of the primary that is known here.
    pub(crate) fn newest_position(&self) -> Option<(Duration, Position)> {
        self.freshness.borrow().newest(self.now())
    }

    /// How busy a member is, for the gateway whose statement has just taken this long.
    pub(crate) fn load_report(&self, name: &MemberName, spent: Duration) -> MemberLoadReport {
        let state = self.state.borrow();
        let waiting = state.waiting.len_at(name, state.may_lead(name));
        let member = state.members.get(name);
        member.map_or_else(MemberLoadReport::default, |it| it.load_report(spent, waiting))
    }

    /// Remembers what a statement that was begun then says of a member.
    pub(crate) fn note_result(
        self: &Rc<Self>,
        name: &MemberName,
        kind: StatementKind,
        result: &Result<Answer, Unanswered>,
        begun: Instant,
    ) {
        match result {
            Ok(answer) => match &answer.outcome {
                Ok(_) => {
                    let taken = begun.elapsed();
                    let now = self.now();
                    self.with_member(name, |it| it.note_served(taken, now));
                    self.state.borrow_mut().service_times.note(kind, taken);
                }
                Err(failure) if failure.code == ErrorCode::Busy => self.note_no_room(name),
                Err(failure) => self.note_unsuccessful(name, kind.writes, failure.code),
            },
            Err(Unanswered::Refused(failure)) => self.note_refusal(name, failure.code),
            Err(Unanswered::NotSent(error) | Unanswered::Sent(error)) => {
                self.note_lost(name, error);
            }
        }
    }

    /// A member had no room for a statement on a connection of this gateway.
    fn note_no_room(&self, name: &MemberName) {
        let (steady, now) = (self.now(), Instant::now());
        self.with_member(name, |it| it.note_refused(steady, now));
    }

    /// A member answered a statement with a failure: it did not run it, or ran it in vain. What becomes of
    /// a write is often the caller's doing; a read that fails is offered to another member as well.
    pub(crate) fn note_unsuccessful(&self, name: &MemberName, writes: bool, code: ErrorCode) {
        if code.did_not_run() {
            self.note_refusal(name, code);
        } else if code == ErrorCode::Failed && !writes {
            let now = self.now();
            self.with_member(name, |it| it.note_failed(now));
        }
    }

    /// Remembers of a member why it did not run a statement.
    pub(crate) fn note_refusal(&self, name: &MemberName, code: ErrorCode) {
        let (steady, now) = (self.now(), Instant::now());
        log::debug!(
            group:% = self.name, member:% = name, code:? = code; "member did not run a statement"
        );
        match code {
            ErrorCode::Lagging => self.with_member(name, |it| it.note_lagging(steady, now)),
            ErrorCode::ReadOnly => self.note_not_primary(name),
            ErrorCode::WrongMember => self.note_unreachable(name),
            _ => self.with_member(name, |it| it.note_unserved(steady, now)),
        }
    }

    /// Remembers of a member that a connection to it gave no answer.
    pub(crate) fn note_lost(self: &Rc<Self>, name: &MemberName, error: &LinkError) {
        log::info!(
            group:% = self.name, member:% = name, error:% = error; "connection to a member lost"
        );
        let now = self.now();
        self.with_member(name, |it| it.note_failed(now));
        if matches!(error, LinkError::TimedOut) {
            self.note_silent(name);
        }
    }
}
