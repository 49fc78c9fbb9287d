//! Runs statements outside a transaction: counts them against the tenant's limit and sends them to members,
//! on connections of this gateway or of another.
//!
//! A write is retried only as long as no member may have run it. Retries of reads are in
//! [`read`](super::read).

use super::Session;
use super::response::Response;
use super::statement::access_of;
use crate::answer::{Answer, Unanswered};
use crate::error::{AcquireError, LinkError};
use crate::group::{ConnectionRequest, LocatedConnection, Location, Target};
use crate::limits::OperationPermit;
use crate::lone_statement::{LoneStatement, PassedStatement};
use crate::routes::{Admission, Route};
use crate::wire::Wire;
use corktack_core::gateway::SessionProfile;
use corktack_core::identity::MemberName;
use corktack_core::scheduling::StatementKind;
use corktack_core::statement::{Access, ErrorCode, PreparedShape, Request, TransactionState};
use corktack_core::tenancy::Principal;
use corktack_protocol::tunnel::LoneKind;
use tokio::time::Instant;

/// Fraction of the latency objective that a statement may wait for a connection: a quarter, less the network
/// time to the caller. A lower value refuses statements that would have been served; with a higher one
/// callers get refusals too late to retry.
const WAIT_FRACTION: f64 = 0.22;

/// Deadlines of one statement.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deadlines {
    /// Deadline of the wait for a connection.
    pub(super) wait_deadline: Instant,
    /// Deadline of the wait for an answer.
    pub(super) answer_deadline: Instant,
}

impl Deadlines {
    /// Returns the deadlines of a statement that arrives now on a route.
    pub(super) fn of<W: Wire>(route: &Route<W>) -> Self {
        let now = Instant::now();
        let rule = &route.rule;
        let answer_deadline = now + rule.statement_timeout;
        let wait_deadline =
            (now + rule.latency_objective.mul_f64(WAIT_FRACTION)).min(answer_deadline);
        Self { wait_deadline, answer_deadline }
    }
}

/// Outcome of one attempt to run a statement at a member.
pub(super) enum AttemptOutcome {
    /// Final answer to the caller.
    Done(Response),
    /// The statement ran and failed; answer to the caller if no other attempt succeeds.
    Failed(Response),
    /// The member did not run the statement; another may.
    NotRun(String),
    /// The statement may have run, but no answer came.
    Lost {
        why: String,
        /// Whether the member gave no answer, rather than the gateway that holds the connection.
        by_member: bool,
    },
}

impl AttemptOutcome {
    /// Classifies the result of a statement at a member.
    fn of(member: &MemberName, result: Result<Answer, Unanswered>) -> Self {
        match result {
            Ok(answer) => match &answer.outcome {
                Err(failure) if failure.code.did_not_run() => {
                    Self::NotRun(format!("{:?} at {member}", failure.code))
                }
                Err(failure) if failure.code == ErrorCode::Failed => {
                    Self::Failed(Response::of(answer, TransactionState::Idle))
                }
                _ => Self::Done(Response::of(answer, TransactionState::Idle)),
            },
            Err(Unanswered::NotSent(error)) => Self::NotRun(format!("{error} at {member}")),
            Err(Unanswered::Sent(error)) => Self::Lost {
                why: format!("{error} at {member}"),
                by_member: !matches!(error, LinkError::HolderSilent),
            },
            Err(Unanswered::Refused(failure)) => {
                Self::NotRun(format!("{:?} at {member}", failure.code))
            }
        }
    }
}

/// A statement of the caller that is to be run, with its route, permit and deadlines.
pub(super) struct PendingStatement<'s, W: Wire> {
    route: &'s Route<W>,
    /// Priority class in which the statement waits; 0 is served first.
    priority: u32,
    principal: &'s Principal,
    permit: &'s OperationPermit,
    request: &'s Request,
    shape: Option<&'s PreparedShape>,
    deadlines: Deadlines,
}

impl<W: Wire> Session<W> {
    /// Counts a statement outside a transaction against its tenant's limit and runs it. Undoes the count if
    /// the statement did not run.
    pub(super) async fn run_outside_transaction(
        &mut self,
        Admission { route, principal }: &Admission<W>,
        request: &Request,
        shape: Option<&PreparedShape>,
    ) -> Response {
        let deadlines = Deadlines::of(route);
        let rule = &route.rule;
        let group = route.group.name.as_str();
        self.decision.borrow_mut().record_route(rule, principal, group);
        let permit =
            match self.shared.limits.admit(principal, rule.priority, deadlines.wait_deadline).await
            {
                Ok(permit) => permit,
                Err(over) => return Response::over_limit(&over, TransactionState::Idle),
            };
        let priority = self.priority(route);
        let pending = PendingStatement {
            route,
            priority,
            principal,
            permit: &permit,
            request,
            shape,
            deadlines,
        };
        let response = self.run_counted(&pending).await;
        if response.did_not_run() {
            permit.return_operations();
        }
        response
    }

    async fn run_counted(&mut self, pending: &PendingStatement<'_, W>) -> Response {
        let PendingStatement { route, request, shape, .. } = *pending;
        if access_of(request, shape) == Access::Write {
            return self.write(pending).await;
        }
        let has_room = self.shared.wire.has_room_for_position(request);
        match self.read_bound(route).filter(|_| has_room) {
            Some(bound) => self.read_anywhere(pending, bound).await,
            None => self.read_at_primary(pending).await,
        }
    }

    /// Tries to run a statement at one member, on a connection of this gateway or through another gateway.
    pub(super) async fn attempt(
        &self,
        pending: &PendingStatement<'_, W>,
        target: Target,
        kind: LoneKind,
    ) -> Result<(MemberName, AttemptOutcome), AcquireError> {
        let connection_request = pending.connection_request(&self.profile, target, kind);
        let statement = pending.statement(&self.profile, kind);
        let deadline = pending.deadlines.answer_deadline;
        let group = &pending.route.group;
        let (member, result, position) = match group.locate(&connection_request).await? {
            Location::Local(located) => {
                let LocatedConnection { lease, position } = *located;
                let member = lease.member.clone();
                (member, statement.run(lease, position, deadline).await, position)
            }
            Location::Remote(member) => {
                let ran = group.run_remote(&member, &connection_request, statement, deadline);
                let (result, position) = ran.await?;
                (member.name, result, position)
            }
        };
        self.decision.borrow_mut().record_position(position);
        let outcome = AttemptOutcome::of(&member, result);
        if let AttemptOutcome::NotRun(why) | AttemptOutcome::Lost { why, .. } = &outcome {
            self.record_attempt(why);
        }
        Ok((member, outcome))
    }

    /// Runs a write. A write that may have run is never sent again; if its answer is lost, the caller is told
    /// that the outcome is in doubt.
    async fn write(&mut self, pending: &PendingStatement<'_, W>) -> Response {
        let mut last_refusal = String::new();
        loop {
            match self.attempt(pending, Target::Primary, LoneKind::Write).await {
                Err(error) if error.is_transient() && !pending.is_wait_over() => {}
                Err(error) => {
                    return Response::refused(&error, &last_refusal, TransactionState::Idle);
                }
                Ok((_, AttemptOutcome::Done(response) | AttemptOutcome::Failed(response))) => {
                    if response.code().is_none() {
                        self.record_own_commit(&pending.route.group.name, response.position());
                    }
                    return response;
                }
                Ok((_, AttemptOutcome::NotRun(reason))) => last_refusal = reason,
                Ok((_, AttemptOutcome::Lost { why, .. })) => {
                    let text = format!("the write may have taken effect: {why}");
                    return Response::failure(ErrorCode::InDoubt, &text, TransactionState::Idle);
                }
            }
            if pending.is_wait_over() {
                return Response::refused(
                    &AcquireError::NoMember,
                    &last_refusal,
                    TransactionState::Idle,
                );
            }
        }
    }
}

impl<W: Wire> PendingStatement<'_, W> {
    /// Returns the request to the group for a connection to a member.
    fn connection_request<'r>(
        &'r self,
        session: &'r SessionProfile,
        target: Target,
        kind: LoneKind,
    ) -> ConnectionRequest<'r> {
        ConnectionRequest {
            target,
            session,
            principal: Some(self.principal),
            kind: StatementKind { priority: self.priority, writes: !kind.is_read() },
            bound: kind.bound(),
            needs_slot: true,
            wait_deadline: self.deadlines.wait_deadline,
        }
    }

    /// Returns the statement in the form in which it is run at a member.
    fn statement<'r>(&'r self, session: &'r SessionProfile, kind: LoneKind) -> LoneStatement<'r> {
        LoneStatement {
            passed: PassedStatement::from(self.request),
            shape: self.shape,
            session,
            priority: self.priority,
            kind,
        }
    }

    /// Reports whether the deadline of the wait for a connection has passed.
    pub(super) fn is_wait_over(&self) -> bool {
        Instant::now() >= self.deadlines.wait_deadline
    }

    /// Reports whether a read may not be sent again after `runs` runs without a result. Before the read is sent
    /// again, it is counted once more against its tenant's limit, which must allow it.
    pub(super) async fn is_exhausted(&self, runs: u32) -> bool {
        runs >= self.route.rule.attempts
            || Instant::now() >= self.deadlines.answer_deadline
            || !self.permit.count_again().await
    }
}
