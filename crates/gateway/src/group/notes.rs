//! Records the outcome of statements at a member, for the choice of members for later statements.
//!
//! This module decides what each outcome means for the member; the member stores it. Members that may be gone
//! go to [`reach`](super::reach).

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
    /// Returns the time on the gateway's steady clock.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the longest wait for the begin of a transaction.
    pub(crate) fn begin_timeout(&self) -> Duration {
        self.settings.begin_timeout
    }

    /// Records that a member did what only the primary can do, in answer to a request sent at `asked_at`, and
    /// the position that it reported.
    pub(crate) fn record_primary_position(
        &self,
        name: &MemberName,
        asked_at: Timestamp,
        position: Option<Position>,
    ) {
        self.record_primary(name);
        if let Some(position) = position {
            self.freshness.borrow_mut().record_position(asked_at, position);
        }
    }

    /// Returns age and position of the newest answer of the primary that this gateway knows.
    pub(crate) fn newest_position(&self) -> Option<(Duration, Position)> {
        self.freshness.borrow().newest(self.now())
    }

    /// Returns the load of a member, for the gateway whose statement has just taken `spent`.
    pub(crate) fn load_report(&self, name: &MemberName, spent: Duration) -> MemberLoadReport {
        let state = self.state.borrow();
        let waiting = state.waiting.waiting_for(name, state.may_be_primary(name));
        let member = state.members.get(name);
        member.map_or_else(MemberLoadReport::default, |member| member.load_report(spent, waiting))
    }

    /// Records the result at a member of a statement that was started at `begun`.
    pub(crate) fn record_result(
        self: &Rc<Self>,
        name: &MemberName,
        kind: StatementKind,
        result: &Result<Answer, Unanswered>,
        begun: Instant,
    ) {
        match result {
            Ok(answer) => match &answer.outcome {
                Ok(_) => {
                    let elapsed = begun.elapsed();
                    let now = self.now();
                    self.with_member(name, |member| member.record_served(elapsed, now));
                    self.state.borrow_mut().service_times.record(kind, elapsed);
                }
                Err(failure) if failure.code == ErrorCode::Busy => self.record_no_room(name),
                Err(failure) => self.record_failure(name, kind.writes, failure.code),
            },
            Err(Unanswered::Refused(failure)) => self.record_refusal(name, failure.code),
            Err(Unanswered::NotSent(error) | Unanswered::Sent(error)) => {
                self.record_lost_connection(name, error);
            }
        }
    }

    /// Records that a member had no room for a statement on a connection of this gateway.
    fn record_no_room(&self, name: &MemberName) {
        let (steady, now) = (self.now(), Instant::now());
        self.with_member(name, |member| member.record_refused(steady, now));
    }

    /// Records that a member answered a statement with a failure: the statement did not run, or ran and
    /// failed. A failed write doesn't count against the member, as its cause is often the statement itself; a
    /// failed read does, and is retried at another member.
    pub(crate) fn record_failure(&self, name: &MemberName, writes: bool, code: ErrorCode) {
        if code.did_not_run() {
            self.record_refusal(name, code);
        } else if code == ErrorCode::Failed && !writes {
            let now = self.now();
            self.with_member(name, |member| member.record_failed(now));
        }
    }

    /// Records why a member did not run a statement.
    pub(crate) fn record_refusal(&self, name: &MemberName, code: ErrorCode) {
        let (steady, now) = (self.now(), Instant::now());
        log::debug!(
            group:% = self.name, member:% = name, code:? = code; "member did not run a statement"
        );
        match code {
            ErrorCode::Lagging => {
                self.with_member(name, |member| member.record_lagging(steady, now))
            }
            ErrorCode::ReadOnly => self.record_not_primary(name),
            ErrorCode::WrongMember => self.record_unreachable(name),
            _ => self.with_member(name, |member| member.record_unserved(steady, now)),
        }
    }

    /// Records that a connection to a member gave no answer.
    pub(crate) fn record_lost_connection(self: &Rc<Self>, name: &MemberName, error: &LinkError) {
        log::info!(
            group:% = self.name, member:% = name, error:% = error; "connection to a member lost"
        );
        if matches!(error, LinkError::AnswerTooLong) {
            // The member is not at fault.
            return;
        }
        let now = self.now();
        self.with_member(name, |member| member.record_failed(now));
        if matches!(error, LinkError::TimedOut) {
            self.record_silence(name);
        }
    }
}
