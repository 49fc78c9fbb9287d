//! Transactions: begun at a member with their first statement, ended there.
//!
//! It is for [`session`](super). It owns the state of a transaction and what its failure means for the caller.
//! It relies on [`opening`](super::opening) to begin it and on the lease to roll back what is dropped.

use super::Session;
use super::open_transaction::OpenTransaction;
use super::opening::{First, Opened};
use super::response::Response;
use super::statement::access_of;
use crate::answer::{Answer, Unanswered};
use crate::routes::{Admission, Route};
use crate::run::{align, pass_on};
use crate::wire::Wire;
use corktack_core::position::Position;
use corktack_core::statement::{Access, ErrorCode, PreparedShape, Request, TransactionState};
use corktack_core::time::Timestamp;
use std::time::Duration;
use tokio::time::Instant;

/// A session's transaction.
pub(super) enum Transaction<W: Wire> {
    /// None is open.
    None,
    /// The caller began one; no member has been asked for anything yet.
    Begun { access: Access, admitted: Admission<W> },
    /// One is open at a member.
    Open(Box<OpenTransaction<W>>),
    /// It failed and was rolled back; its end is still to come.
    Failed,
    /// It was rolled back between two statements; the caller does not know yet.
    RolledBack,
}

impl<W: Wire> Transaction<W> {
    pub(super) const fn is_none(&self) -> bool {
        matches!(self, Self::None)
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

    /// How long it may be idle between two statements; none outside a transaction.
    pub(super) fn idle_limit(&self) -> Option<Duration> {
        let route = match self {
            Self::Begun { admitted, .. } => &admitted.route,
            Self::Open(open) => &open.route,
            Self::None | Self::Failed | Self::RolledBack => return None,
        };
        Some(route.transaction_idle_limit).filter(|limit| !limit.is_zero())
    }

    /// Rolls back what is open; the caller is told with its next statement.
    pub(super) fn fail(&mut self) {
        if let Self::Open(open) = std::mem::replace(self, Self::RolledBack) {
            open.abandon();
        }
    }
}

impl<W: Wire> Session<W> {
    pub(super) fn begin(&mut self, access: Access) -> Response {
        if !self.transaction.is_none() {
            self.transaction.fail();
            return self.own_failure(ErrorCode::Malformed, "a transaction is open already");
        }
        let admitted = match self.admitted() {
            Ok(admitted) => admitted,
            Err(response) => return response,
        };
        self.transaction = Transaction::Begun { access, admitted };
        self.own_success()
    }

    pub(super) fn rollback(&mut self) -> Response {
        if let Transaction::Open(open) = std::mem::replace(&mut self.transaction, Transaction::None)
        {
            open.abandon();
        }
        self.own_success()
    }

    /// Only the end is taken after a failure.
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
    pub(super) async fn run_inside(
        &mut self,
        request: &Request,
        shape: Option<&PreparedShape>,
    ) -> Response {
        let (mut open, ran) = match std::mem::replace(&mut self.transaction, Transaction::Failed) {
            Transaction::Open(open) => (open, None),
            Transaction::Begun { access, admitted } => {
                let first = First { request, shape };
                match self.open_transaction(access, admitted, Some(first)).await {
                    Ok(Opened::Begun(open)) => (open, None),
                    Ok(Opened::Ran(open, answer)) => (open, Some(answer)),
                    Ok(Opened::Lost(response)) | Err(response) => return response,
                }
            }
            Transaction::None | Transaction::Failed | Transaction::RolledBack => {
                return self.own_failure(ErrorCode::Malformed, "no transaction is open");
            }
        };
        self.note_route(&mut open);
        let answer = match ran {
            Some(answer) => answer,
            None => self.run_open(&mut open, request, shape).await,
        };
        self.take_answer(open, access_of(request, shape) == Access::Write, answer)
    }

    /// Takes the outcome of a statement inside the transaction, which goes on where it succeeded.
    fn take_answer(
        &mut self,
        mut open: Box<OpenTransaction<W>>,
        wrote: bool,
        answer: Result<Answer, Unanswered>,
    ) -> Response {
        match answer {
            Ok(answer) if answer.outcome.is_ok() => {
                open.wrote |= wrote;
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
            Err(unanswered) => Self::fail_open(*open, unanswered),
        }
    }

    /// Has the line that explains a statement name the route and the tenant of its transaction.
    fn note_route(&self, open: &mut OpenTransaction<W>) {
        let principal = open.lease.connection().principal().clone();
        let Route { rule, group, .. } = &open.route;
        self.decision.borrow_mut().routed(rule, &principal, group.name.as_str());
    }

    async fn run_open(
        &self,
        open: &mut OpenTransaction<W>,
        request: &Request,
        shape: Option<&PreparedShape>,
    ) -> Result<Answer, Unanswered> {
        open.lease.set_idle_in_transaction(false);
        let deadline = Instant::now() + open.route.rule.statement_timeout;
        let before = open.lease.connection().profile.clone();
        let prepared = align(&mut open.lease, &self.profile, shape, deadline).await?;
        open.aligned_inside |= open.lease.connection().profile != before;
        pass_on(&mut open.lease, request.into(), prepared.as_deref(), None, deadline).await
    }

    /// Nothing of a transaction whose commit was not sent is kept: the connection is closed, or
    /// the transaction is rolled back on it.
    fn fail_open(open: OpenTransaction<W>, unanswered: Unanswered) -> Response {
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

    /// Passes the commit on. Without an answer nobody knows what became of it.
    pub(super) async fn commit(&mut self, request: &Request) -> Response {
        let mut open = match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::Open(open) => open,
            Transaction::Begun { access, admitted } => {
                match self.open_transaction(access, admitted, None).await {
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
        self.note_route(&mut open);
        open.lease.set_idle_in_transaction(false);
        let asked_at = self.shared.now();
        let deadline = Instant::now() + open.route.rule.statement_timeout;
        let answer = pass_on(&mut open.lease, request.into(), None, None, deadline).await;
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
        self.take_commit(open, asked_at, answer)
    }

    /// Takes a member's answer to the commit.
    fn take_commit(
        &mut self,
        mut open: Box<OpenTransaction<W>>,
        asked_at: Timestamp,
        answer: Answer,
    ) -> Response {
        if answer.outcome.is_ok() {
            open.lease.in_transaction = false;
            if open.wrote {
                self.note_commit(&open, asked_at, answer.ready.position);
            }
            return Response::of(answer, TransactionState::Idle);
        }
        let state = answer.ready.state;
        if state == TransactionState::Idle {
            open.lease.in_transaction = false;
            open.lease.connection().profile.mark_unknown();
        } else {
            self.transaction = Transaction::Failed;
            open.abandon();
        }
        Response::of(answer, self.transaction.state())
    }

    fn note_commit(
        &mut self,
        open: &OpenTransaction<W>,
        asked_at: Timestamp,
        position: Option<Position>,
    ) {
        if position.is_some() {
            open.route.group.record_primary_position(&open.lease.member, asked_at, position);
        }
        self.note_own_commit(&open.route.group.name, position);
    }
}
