//! State of a session's transaction, its statements and its end.
//!
//! A transaction begins at a member with its first statement ([`opening`](super::opening)). Dropping the
//! lease of an open transaction closes its connection, upon which the member rolls back.

use super::Session;
use super::open_transaction::OpenTransaction;
use super::opening::{FirstStatement, Opened};
use super::response::Response;
use super::statement::access_of;
use crate::answer::{Answer, Unanswered};
use crate::routes::{Admission, Route};
use crate::run::{align, forward};
use crate::wire::Wire;
use corktack_core::position::Position;
use corktack_core::statement::{Access, ErrorCode, PreparedShape, Request, TransactionState};
use corktack_core::time::Timestamp;
use std::time::Duration;
use tokio::time::Instant;

/// State of a session's transaction.
pub(super) enum Transaction<W: Wire> {
    /// No transaction is open.
    None,
    /// The caller began a transaction; no member has been asked for anything yet.
    Begun { access: Access, admission: Admission<W> },
    /// The transaction is open at a member.
    Open(Box<OpenTransaction<W>>),
    /// The transaction failed and was rolled back; the caller has yet to send its commit or rollback.
    Failed,
    /// The gateway rolled the transaction back between two statements; the caller doesn't know yet.
    RolledBack,
}

impl<W: Wire> Transaction<W> {
    pub(super) const fn is_none(&self) -> bool {
        matches!(self, Self::None)
    }

    /// Reports whether the caller may go on in a transaction: it has begun, and did not fail.
    pub(super) const fn is_open(&self) -> bool {
        matches!(self, Self::Begun { .. } | Self::Open(_))
    }

    pub(super) const fn is_failed(&self) -> bool {
        matches!(self, Self::Failed | Self::RolledBack)
    }

    pub(super) const fn state(&self) -> TransactionState {
        match self {
            Self::None => TransactionState::Idle,
            Self::Begun { .. } | Self::Open(_) => TransactionState::Open,
            Self::Failed | Self::RolledBack => TransactionState::Failed,
        }
    }

    /// Returns the longest time that the transaction may be idle between two statements; none if there is no
    /// transaction or no limit.
    pub(super) fn idle_limit(&self) -> Option<Duration> {
        let route = match self {
            Self::Begun { admission, .. } => &admission.route,
            Self::Open(open) => &open.route,
            Self::None | Self::Failed | Self::RolledBack => return None,
        };
        Some(route.transaction_idle_limit).filter(|limit| !limit.is_zero())
    }

    /// Rolls back an open transaction in the background; the caller gets the error with its next statement.
    pub(super) fn fail(&mut self) {
        if let Self::Open(open) = std::mem::replace(self, Self::RolledBack) {
            open.abandon();
        }
    }
}

impl<W: Wire> Session<W> {
    /// Begins a transaction in the session; a member is asked with the first statement.
    pub(super) fn begin(&mut self, access: Access) -> Response {
        if !self.transaction.is_none() {
            self.transaction.fail();
            return self.own_failure(ErrorCode::Malformed, "a transaction is open already");
        }
        let admission = match self.admit() {
            Ok(admission) => admission,
            Err(response) => return response,
        };
        self.transaction = Transaction::Begun { access, admission };
        self.own_success()
    }

    /// Ends the transaction, if there is one, with a rollback in the background.
    pub(super) fn rollback(&mut self) -> Response {
        if let Transaction::Open(open) = std::mem::replace(&mut self.transaction, Transaction::None)
        {
            open.abandon();
        }
        self.own_success()
    }

    /// Answers a statement in a failed transaction: only commit and rollback, which end it, are accepted.
    pub(super) fn handle_after_failure(&mut self, request: &Request) -> Response {
        use corktack_core::statement::Statement;
        match request.statement {
            Statement::Rollback => {
                self.transaction = Transaction::None;
                self.own_success()
            }
            Statement::Commit => {
                self.transaction = Transaction::None;
                self.own_failure(
                    ErrorCode::Aborted,
                    "the transaction had failed and is rolled back",
                )
            }
            _ if matches!(self.transaction, Transaction::RolledBack) => {
                self.own_failure(ErrorCode::Aborted, "the transaction rested and is rolled back")
            }
            _ => self.own_failure(ErrorCode::Malformed, "the transaction has failed"),
        }
    }

    /// Runs a statement inside the transaction.
    pub(super) async fn run_in_transaction(
        &mut self,
        request: &Request,
        shape: Option<&PreparedShape>,
    ) -> Response {
        let (mut open, ran) = match std::mem::replace(&mut self.transaction, Transaction::Failed) {
            Transaction::Open(open) => (open, None),
            Transaction::Begun { access, admission } => {
                let first = FirstStatement { request, shape };
                match self.open_transaction(access, admission, Some(first)).await {
                    Ok(Opened::Begun(open)) => (open, None),
                    Ok(Opened::Ran(open, answer)) => (open, Some(answer)),
                    Ok(Opened::Lost(response)) | Err(response) => return response,
                }
            }
            Transaction::None | Transaction::Failed | Transaction::RolledBack => {
                return self.own_failure(ErrorCode::Malformed, "no transaction is open");
            }
        };
        self.record_route(&mut open);
        let answer = match ran {
            Some(answer) => answer,
            None => self.run_on_open(&mut open, request, shape).await,
        };
        self.apply_answer(open, access_of(request, shape) == Access::Write, answer)
    }

    /// Applies the outcome of a statement inside the transaction, which stays open if the statement
    /// succeeded.
    fn apply_answer(
        &mut self,
        mut open: Box<OpenTransaction<W>>,
        wrote: bool,
        answer: Result<Answer, Unanswered>,
    ) -> Response {
        match answer {
            Ok(answer) if answer.outcome.is_ok() => {
                open.has_written |= wrote;
                open.lease.set_idle_in_transaction(true);
                self.transaction = Transaction::Open(open);
                Response::of(answer, TransactionState::Open)
            }
            Ok(answer) => {
                if let Err(failure) = &answer.outcome {
                    let group = open.lease.group();
                    group.record_failure(&open.lease.member, wrote, failure.code);
                }
                open.abandon();
                Response::of(answer, TransactionState::Failed)
            }
            Err(unanswered) => Self::fail_transaction(*open, unanswered),
        }
    }

    /// Records the transaction's route and principal for the log line of the current statement.
    fn record_route(&self, open: &mut OpenTransaction<W>) {
        let principal = open.lease.connection().principal().clone();
        let Route { rule, group, .. } = &open.route;
        self.decision.borrow_mut().record_route(rule, &principal, group.name.as_str());
    }

    /// Runs a statement on the transaction's connection.
    async fn run_on_open(
        &self,
        open: &mut OpenTransaction<W>,
        request: &Request,
        shape: Option<&PreparedShape>,
    ) -> Result<Answer, Unanswered> {
        open.lease.set_idle_in_transaction(false);
        let deadline = Instant::now() + open.route.rule.statement_timeout;
        let before = open.lease.connection().profile().clone();
        let prepared = align(&mut open.lease, &self.profile, shape, deadline).await?;
        open.has_changed_profile |= *open.lease.connection().profile() != before;
        forward(&mut open.lease, request.into(), prepared.as_deref(), None, deadline).await
    }

    /// Fails a transaction whose commit was not sent: closes the connection, or rolls the transaction back on
    /// it. Either way none of its writes take effect.
    fn fail_transaction(open: OpenTransaction<W>, unanswered: Unanswered) -> Response {
        match unanswered {
            Unanswered::NotSent(error) | Unanswered::Sent(error) => {
                open.lease.group().record_lost_connection(&open.lease.member, &error);
                let text = format!("rolled back: {error} at {}", open.lease.member);
                Response::failure(ErrorCode::Aborted, &text, TransactionState::Failed)
            }
            Unanswered::Refused(failure) => {
                open.abandon();
                Response::member_failure(failure, TransactionState::Failed)
            }
        }
    }

    /// Forwards the commit to the member. If its answer is lost, the caller is told that the outcome is in
    /// doubt.
    pub(super) async fn commit(&mut self, request: &Request) -> Response {
        let mut open = match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::Open(open) => open,
            Transaction::Begun { access, admission } => {
                match self.open_transaction(access, admission, None).await {
                    Ok(Opened::Begun(open) | Opened::Ran(open, _)) => open,
                    Ok(Opened::Lost(response)) | Err(response) => {
                        self.transaction = Transaction::Failed;
                        return response;
                    }
                }
            }
            Transaction::None | Transaction::Failed | Transaction::RolledBack => {
                return self.own_failure(ErrorCode::Malformed, "no transaction is open");
            }
        };
        self.record_route(&mut open);
        open.lease.set_idle_in_transaction(false);
        let asked_at = self.shared.now();
        let deadline = Instant::now() + open.route.rule.statement_timeout;
        let answer = forward(&mut open.lease, request.into(), None, None, deadline).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(Unanswered::Sent(error) | Unanswered::NotSent(error)) => {
                open.lease.group().record_lost_connection(&open.lease.member, &error);
                let text =
                    format!("the commit may have taken effect: {error} at {}", open.lease.member);
                return Response::failure(ErrorCode::InDoubt, &text, TransactionState::Idle);
            }
            Err(Unanswered::Refused(failure)) => {
                return Response::member_failure(failure, TransactionState::Idle);
            }
        };
        self.apply_commit_answer(open, asked_at, answer)
    }

    /// Applies a member's answer to the commit.
    fn apply_commit_answer(
        &mut self,
        mut open: Box<OpenTransaction<W>>,
        asked_at: Timestamp,
        answer: Answer,
    ) -> Response {
        if answer.outcome.is_ok() {
            open.lease.in_transaction = false;
            if open.has_written {
                self.record_commit(&open, asked_at, answer.ready.position);
            }
            return Response::of(answer, TransactionState::Idle);
        }
        let state = answer.ready.state;
        if state == TransactionState::Idle {
            open.lease.in_transaction = false;
            open.lease.connection().mark_unknown();
        } else {
            self.transaction = Transaction::Failed;
            open.abandon();
        }
        Response::of(answer, self.transaction.state())
    }

    /// Records the commit's position for the group and for the session's later reads.
    fn record_commit(
        &mut self,
        open: &OpenTransaction<W>,
        asked_at: Timestamp,
        position: Option<Position>,
    ) {
        if position.is_some() {
            open.route.group.record_primary_position(&open.lease.member, asked_at, position);
        }
        self.record_own_commit(&open.route.group.name, position);
    }
}
