//! Statements outside a transaction.
//!
//! It is for [`session`](super). It owns the bounds of one statement and the offer of it to one member, on a
//! connection of this gateway's or another's. A write is offered until a member has got it; reads are in
//! [`read`](super::read). It relies on the limits to count and on the group to find a member.

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

/// Part of the latency objective that a statement may wait without being offered to a member: a
/// quarter, less what the way to the caller takes. Chosen by that, not measured: lower refuses statements that
/// would have been served, higher answers refused ones so late that their callers have no time for another try.
const WAIT_PART: f64 = 0.22;

/// The bounds of one statement.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// When waiting for a connection ends.
    pub(super) wait_deadline: Instant,
    /// When waiting for an answer ends.
    pub(super) deadline: Instant,
}

impl Bounds {
    pub(super) fn of<W: Wire>(route: &Route<W>) -> Self {
        let now = Instant::now();
        let rule = &route.rule;
        let deadline = now + rule.statement_timeout;
        let wait_deadline = (now + rule.latency_objective.mul_f64(WAIT_PART)).min(deadline);
        Self { wait_deadline, deadline }
    }
}

/// The outcome of one offer of a statement to a member.
pub(super) enum Offer {
    /// The caller has its answer.
    Done(Response),
    /// It ran there and failed; what the caller is told where nothing better is found.
    Failed(Response),
    /// The member did not run it; another may.
    NotRun(String),
    /// It may have run there, without an answer.
    Lost {
        why: String,
        /// Whether that says something of the member, and not only of the way there.
        by_member: bool,
    },
}

impl Offer {
    /// Sorts the result of a statement at a member.
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

/// A statement on its way to a member.
pub(super) struct Lone<'s, W: Wire> {
    route: &'s Route<W>,
    principal: &'s Principal,
    permit: &'s OperationPermit,
    request: &'s Request,
    shape: Option<&'s PreparedShape>,
    bounds: Bounds,
}

impl<W: Wire> Session<W> {
    /// Runs a statement outside a transaction.
    pub(super) async fn run_alone(
        &mut self,
        Admission { route, principal }: &Admission<W>,
        request: &Request,
        shape: Option<&PreparedShape>,
    ) -> Response {
        let bounds = Bounds::of(route);
        let rule = &route.rule;
        let group = route.group.name.as_str();
        self.decision.borrow_mut().routed(rule, principal, group);
        let permit =
            match self.shared.limits.admit(principal, rule.priority, bounds.wait_deadline).await {
                Ok(permit) => permit,
                Err(over) => return Response::over_limit(&over, TransactionState::Idle),
            };
        let lone = Lone { route, principal, permit: &permit, request, shape, bounds };
        let response = self.run_counted(&lone).await;
        if response.did_not_run() {
            permit.return_operations();
        }
        response
    }

    async fn run_counted(&mut self, lone: &Lone<'_, W>) -> Response {
        let Lone { route, request, shape, .. } = *lone;
        if access_of(request, shape) == Access::Write {
            return self.write(lone).await;
        }
        match self.read_bound(route) {
            Some(bound) => self.read_anywhere(lone, bound).await,
            None => self.read_at_primary(lone).await,
        }
    }

    /// Offers a statement to one member: on a connection of this gateway's, or through another.
    pub(super) async fn offer(
        &self,
        lone: &Lone<'_, W>,
        target: Target,
        kind: LoneKind,
    ) -> Result<(MemberName, Offer), AcquireError> {
        let connection_request = lone.connection_request(&self.profile, target, kind);
        let statement = lone.statement(&self.profile, kind);
        let deadline = lone.bounds.deadline;
        let group = &lone.route.group;
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
        self.decision.borrow_mut().needs(position);
        let offer = Offer::of(&member, result);
        if let Offer::NotRun(why) | Offer::Lost { why, .. } = &offer {
            self.attempted(why);
        }
        Ok((member, offer))
    }

    /// A write is sent once: without an answer nobody knows what became of it.
    async fn write(&mut self, lone: &Lone<'_, W>) -> Response {
        let mut why = String::new();
        loop {
            match self.offer(lone, Target::Primary, LoneKind::Write).await {
                Err(error) if error.is_transient() && !lone.may_wait_no_more() => {}
                Err(error) => return Response::refused(&error, &why, TransactionState::Idle),
                Ok((_, Offer::Done(response) | Offer::Failed(response))) => {
                    if response.code().is_none() {
                        self.note_own_commit(&lone.route.group.name, response.position());
                    }
                    return response;
                }
                Ok((_, Offer::NotRun(reason))) => why = reason,
                Ok((_, Offer::Lost { why, .. })) => {
                    let text = format!("the write may have taken effect: {why}");
                    return Response::failure(ErrorCode::InDoubt, &text, TransactionState::Idle);
                }
            }
            if lone.may_wait_no_more() {
                return Response::refused(&AcquireError::NoMember, &why, TransactionState::Idle);
            }
        }
    }
}

impl<W: Wire> Lone<'_, W> {
    /// What it needs of the group to run at a member.
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
            kind: StatementKind { priority: self.route.rule.priority, writes: !kind.is_read() },
            bound: kind.bound(),
            needs_slot: true,
            wait_deadline: self.bounds.wait_deadline,
        }
    }

    /// What is run at the member.
    fn statement<'r>(&'r self, session: &'r SessionProfile, kind: LoneKind) -> LoneStatement<'r> {
        LoneStatement {
            passed: PassedStatement::from(self.request),
            shape: self.shape,
            session,
            priority: self.route.rule.priority,
            kind,
        }
    }

    /// Whether waiting for a connection has ended.
    pub(super) fn may_wait_no_more(&self) -> bool {
        Instant::now() >= self.bounds.wait_deadline
    }

    /// Whether a read that was sent so often without an answer is given up. Where it is not, it counts
    /// once more against its tenant's limit.
    pub(super) async fn is_over(&self, sent: u32) -> bool {
        sent >= self.route.rule.attempts
            || Instant::now() >= self.bounds.deadline
            || !self.permit.count_again().await
    }
}
