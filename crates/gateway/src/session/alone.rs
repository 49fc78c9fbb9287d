//! Statements outside a transaction.

use super::response::Response;
use super::statement::access_of;
use super::{OwnCommit, Session};
use crate::answer::Answer;
use crate::error::AcquireError;
use crate::group::{Place, Target, Wish};
use crate::routes::Route;
use crate::run::{LoneStatement, PassedStatement, Unanswered};
use crate::wire::Wire;
use corktack_core::identity::MemberName;
use corktack_core::position::Position;
use corktack_core::registry::Consistency;
use corktack_core::statement::{Access, ErrorCode, PreparedShape, Request, TransactionState};
use corktack_core::time::Timestamp;
use corktack_protocol::tunnel::LoneKind;
use std::collections::BTreeSet;
use tokio::time::{Instant, timeout};

/// Part of the latency objective that a statement may wait without being offered to a member: a
/// quarter, less what the way to the caller takes.
const WAIT_PART: f64 = 0.22;
/// Part of the time left for waiting that a read waits for the primary's position.
const POSITION_PART: f64 = 0.6;
/// Members that a statement is offered to in all, those that refused without running it included.
const OFFER_LIMIT: u32 = 6;

/// The bounds of one statement.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// When it came.
    pub(super) began: Timestamp,
    /// When waiting for a connection ends.
    pub(super) give_up: Instant,
    /// When waiting for an answer ends.
    pub(super) deadline: Instant,
}

impl Bounds {
    pub(super) fn of<W: Wire>(route: &Route<W>, began: Timestamp) -> Self {
        let now = Instant::now();
        let rule = &route.rule;
        let deadline = now + rule.statement_timeout;
        let give_up = (now + rule.latency_objective.mul_f64(WAIT_PART)).min(deadline);
        Self { began, give_up, deadline }
    }
}

/// What became of one offer of a statement to a member.
enum Offer {
    /// The caller has its answer.
    Done(Response),
    /// The member did not run it; another may.
    NotRun(String),
    /// It may have run there, without an answer.
    Lost(String),
}

impl Offer {
    /// Sorts what came of a statement at a member.
    fn of(member: &MemberName, result: Result<Answer, Unanswered>) -> Self {
        match result {
            Ok(answer) => match &answer.outcome {
                Err(failure) if failure.code.did_not_run() => {
                    Self::NotRun(format!("{:?} at {member}", failure.code))
                }
                _ => Self::Done(Response::of(answer, TransactionState::Idle)),
            },
            Err(Unanswered::NotSent(error)) => Self::NotRun(format!("{error} at {member}")),
            Err(Unanswered::Sent(error)) => Self::Lost(format!("{error} at {member}")),
            Err(Unanswered::Refused(failure)) => {
                Self::NotRun(format!("{:?} at {member}", failure.code))
            }
        }
    }
}

/// A statement on its way to a member.
struct Lone<'s, W: Wire> {
    route: &'s Route<W>,
    request: &'s Request,
    shape: Option<&'s PreparedShape>,
    bounds: Bounds,
}

impl<W: Wire> Session<W> {
    /// Runs a statement outside a transaction.
    pub(super) async fn run_alone(
        &mut self,
        route: &Route<W>,
        request: &Request,
        shape: Option<&PreparedShape>,
    ) -> Response {
        let bounds = Bounds::of(route, self.shared.now());
        let rule = &route.rule;
        let group = route.group.name.as_str();
        self.decision.borrow_mut().routed(&rule.name, rule.consistency, group);
        let lone = Lone { route, request, shape, bounds };
        if access_of(request, shape) == Access::Write {
            return self.write(&lone).await;
        }
        match self.needed_position(route, bounds).await {
            Some(needed) => self.read_anywhere(&lone, needed).await,
            None => self.read_at_primary(&lone).await,
        }
    }

    /// The position that a read must see; none where only the primary may serve it. A gateway that
    /// knows no position yet is asking for one: its first reads wait for that, where all of them
    /// at the primary would be too many for it.
    pub(super) async fn needed_position(
        &self,
        route: &Route<W>,
        bounds: Bounds,
    ) -> Option<Position> {
        let known = self.known_position(route, bounds.began);
        if known.is_some() || self.reads_primary_only(route) {
            return known;
        }
        let left = bounds.give_up.saturating_duration_since(Instant::now());
        let asked = route.group.position_asked.notified();
        // In vain or in time: what is known then decides.
        drop(timeout(left.mul_f64(POSITION_PART), asked).await);
        self.known_position(route, bounds.began)
    }

    /// Whether no position of the primary could let another member serve a read.
    fn reads_primary_only(&self, route: &Route<W>) -> bool {
        match route.rule.consistency {
            Consistency::Linearizable => true,
            Consistency::BoundedStaleness(_) => false,
            Consistency::ReadYourWrites(_) => self.own_commit(route) == Some(OwnCommit::Untold),
        }
    }

    fn own_commit(&self, route: &Route<W>) -> Option<OwnCommit> {
        self.own_commits.get(&route.group.name).copied()
    }

    fn known_position(&self, route: &Route<W>, began: Timestamp) -> Option<Position> {
        let rule = &route.rule;
        let group = route.group.name.as_str();
        self.decision.borrow_mut().routed(&rule.name, rule.consistency, group);
        let (staleness, own) = match rule.consistency {
            Consistency::Linearizable => return None,
            Consistency::BoundedStaleness(staleness) => (staleness, None),
            Consistency::ReadYourWrites(staleness) => (staleness, self.own_commit(route)),
        };
        let own = match own {
            Some(OwnCommit::Untold) => return None,
            Some(OwnCommit::At(own)) => Some(own),
            None => None,
        };
        self.shared.refresh_if_due(&route.group, staleness);
        let freshness = route.group.freshness.borrow();
        let needed = freshness.needed(began, staleness, own);
        let basis = freshness.floor_basis(began, staleness);
        self.decision.borrow_mut().needs(needed, freshness.age(self.shared.now()), basis);
        needed
    }

    /// Offers a statement to one member: on a connection of this gateway's, or through another.
    async fn offer(
        &self,
        lone: &Lone<'_, W>,
        target: Target,
        kind: LoneKind,
    ) -> Result<(MemberName, Offer), AcquireError> {
        let wish = Wish {
            target,
            session: &self.profile,
            priority: lone.route.rule.priority,
            give_up: lone.bounds.give_up,
        };
        let statement = LoneStatement {
            passed: PassedStatement::from(lone.request),
            shape: lone.shape,
            session: &self.profile,
            kind,
        };
        let (member, result) = match lone.route.group.place(&wish).await? {
            Place::Here(lease) => {
                let member = lease.member.clone();
                (member, statement.run(lease, lone.bounds.deadline).await)
            }
            Place::Elsewhere(member, holders) => {
                let ran = lone.route.group.run_elsewhere(
                    &member,
                    &holders,
                    &wish,
                    statement,
                    lone.bounds.deadline,
                );
                let result = ran.await?;
                (member, result)
            }
        };
        let offer = Offer::of(&member, result);
        if let Offer::NotRun(why) | Offer::Lost(why) = &offer {
            self.attempted(why);
        }
        Ok((member, offer))
    }

    /// A read that any member holding the position may serve.
    async fn read_anywhere(&mut self, lone: &Lone<'_, W>, needed: Position) -> Response {
        let mut refused = BTreeSet::new();
        let mut why = String::new();
        let mut sent = 0;
        for _ in 0..OFFER_LIMIT {
            let target = Target::Reader { refused: refused.clone() };
            let offered = self.offer(lone, target, LoneKind::Read { after: needed }).await;
            let (member, offer) = match offered {
                Ok(offered) => offered,
                Err(AcquireError::Unreachable(member)) => {
                    self.attempted(&format!("unreachable: {member}"));
                    refused.insert(member);
                    continue;
                }
                Err(AcquireError::NoMember) if !refused.is_empty() => {
                    return self.read_at_primary(lone).await;
                }
                Err(error) => return Self::refuse(&error, &why),
            };
            match offer {
                Offer::Done(response) => return response,
                Offer::NotRun(reason) => why = reason,
                Offer::Lost(error) => {
                    sent += 1;
                    if lone.is_over(sent) {
                        return Self::timed_out(&error);
                    }
                }
            }
            refused.insert(member);
        }
        self.read_at_primary(lone).await
    }

    /// A read that only the primary may serve.
    async fn read_at_primary(&mut self, lone: &Lone<'_, W>) -> Response {
        let mut why = String::new();
        let mut sent = 0;
        loop {
            match self.offer(lone, Target::Primary, LoneKind::ReadAtPrimary).await {
                Err(AcquireError::Unreachable(_)) if !lone.may_wait_no_more() => continue,
                Err(error) => return Self::refuse(&error, &why),
                Ok((_, Offer::Done(response))) => return response,
                Ok((_, Offer::NotRun(reason))) => why = reason,
                Ok((_, Offer::Lost(error))) => {
                    sent += 1;
                    if lone.is_over(sent) {
                        return Self::timed_out(&error);
                    }
                }
            }
            if lone.may_wait_no_more() {
                return Self::refuse(&AcquireError::NoMember, &why);
            }
        }
    }

    /// A write is sent once: without an answer nobody knows what became of it.
    async fn write(&mut self, lone: &Lone<'_, W>) -> Response {
        let mut why = String::new();
        loop {
            match self.offer(lone, Target::Primary, LoneKind::Write).await {
                Err(AcquireError::Unreachable(_)) if !lone.may_wait_no_more() => continue,
                Err(error) => return Self::refuse(&error, &why),
                Ok((_, Offer::Done(response))) => {
                    if response.code().is_none() {
                        self.note_own_commit(&lone.route.group.name, response.position());
                    }
                    return response;
                }
                Ok((_, Offer::NotRun(reason))) => why = reason,
                Ok((_, Offer::Lost(error))) => {
                    let text = format!("the write may have taken effect: {error}");
                    return Response::failure(ErrorCode::InDoubt, &text, TransactionState::Idle);
                }
            }
            if lone.may_wait_no_more() {
                return Self::refuse(&AcquireError::NoMember, &why);
            }
        }
    }

    pub(super) fn refuse(error: &AcquireError, why: &str) -> Response {
        let text = if why.is_empty() { error.to_string() } else { format!("{error} ({why})") };
        Response::refusal(&text, TransactionState::Idle)
    }

    fn timed_out(error: &str) -> Response {
        let text = format!("the read has no answer: {error}");
        Response::failure(ErrorCode::TimedOut, &text, TransactionState::Idle)
    }
}

impl<W: Wire> Lone<'_, W> {
    /// Whether waiting for a connection has ended.
    fn may_wait_no_more(&self) -> bool {
        Instant::now() >= self.bounds.give_up
    }

    /// Whether a read that was sent so often without an answer is given up.
    fn is_over(&self, sent: u32) -> bool {
        sent >= self.route.rule.attempts || Instant::now() >= self.bounds.deadline
    }
}
