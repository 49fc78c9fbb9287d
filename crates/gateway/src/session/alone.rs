//! Statements outside a transaction.

use super::Session;
use super::response::Response;
use super::statement::{Unanswered, access_of, roll_back_later};
use crate::answer::{Answer, Failure};
use crate::error::{AcquireError, LinkError};
use crate::group::{Target, Wish};
use crate::lease::Lease;
use crate::routes::Route;
use crate::wire::Wire;
use corktack_core::position::Position;
use corktack_core::registry::Consistency;
use corktack_core::statement::{Access, ErrorCode, PreparedShape, Request, TransactionState};
use corktack_core::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Part of the latency objective that a statement may wait without being offered to a member: a
/// quarter, less what the way to the caller takes.
const WAIT_PART: f64 = 0.22;
/// Longest time that the end of the product's own transaction may take.
pub(super) const ROLLBACK_LIMIT: Duration = Duration::from_secs(2);
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
        if access_of(request, shape) == Access::Write {
            return self.write(route, request, shape, bounds).await;
        }
        match self.needed_position(route, bounds.began) {
            Some(needed) => self.read_anywhere(route, request, shape, needed, bounds).await,
            None => self.read_at_primary(route, request, shape, bounds).await,
        }
    }

    /// The position that a read must see; none where only the primary may serve it.
    pub(super) fn needed_position(&self, route: &Route<W>, began: Timestamp) -> Option<Position> {
        let rule = &route.rule;
        let group = route.group.name.as_str();
        self.decision.borrow_mut().routed(&rule.name, rule.consistency, group);
        let (staleness, own) = match rule.consistency {
            Consistency::Linearizable => return None,
            Consistency::BoundedStaleness(staleness) => (staleness, None),
            Consistency::ReadYourWrites(staleness) => (staleness, self.own_commit),
        };
        self.shared.refresh_if_due(&route.group, staleness);
        let freshness = route.group.freshness.borrow();
        let needed = freshness.needed(began, staleness, own);
        self.decision.borrow_mut().needs(needed, freshness.age(self.shared.now()));
        needed
    }

    fn wish(&self, route: &Route<W>, target: Target, give_up: Instant) -> Wish<'_> {
        Wish { target, session: &self.profile, priority: route.rule.priority, give_up }
    }

    /// A read that any member holding the position may serve.
    async fn read_anywhere(
        &mut self,
        route: &Route<W>,
        request: &Request,
        shape: Option<&PreparedShape>,
        needed: Position,
        bounds: Bounds,
    ) -> Response {
        let mut refused = BTreeSet::new();
        let mut why = String::new();
        let mut sent = 0;
        for _ in 0..OFFER_LIMIT {
            let target = Target::Reader { refused: refused.clone() };
            let lease = route.group.acquire(&self.wish(route, target, bounds.give_up)).await;
            let lease = match lease {
                Ok(lease) => lease,
                Err(AcquireError::Unreachable(member)) => {
                    self.attempted(&format!("unreachable: {member}"));
                    refused.insert(member);
                    continue;
                }
                Err(AcquireError::NoMember) if !refused.is_empty() => {
                    return self.read_at_primary(route, request, shape, bounds).await;
                }
                Err(error) => return Self::refuse(&error, &why),
            };
            let member = lease.member.clone();
            match self.offer_read(lease, request, shape, needed, bounds).await {
                Offer::Done(response) => return response,
                Offer::NotRun(reason) => {
                    self.attempted(&reason);
                    why = reason;
                }
                Offer::Lost(error) => {
                    self.attempted(&error);
                    sent += 1;
                    if sent >= route.rule.attempts || Instant::now() >= bounds.deadline {
                        return Self::timed_out(&error);
                    }
                }
            }
            refused.insert(member);
        }
        self.read_at_primary(route, request, shape, bounds).await
    }

    async fn offer_read(
        &self,
        mut lease: Lease<W>,
        request: &Request,
        shape: Option<&PreparedShape>,
        needed: Position,
        bounds: Bounds,
    ) -> Offer {
        let prepared = match self.align(&mut lease, shape, bounds.deadline).await {
            Ok(prepared) => prepared,
            Err(unanswered) => return Self::unanswered(&lease, unanswered),
        };
        let begun = Instant::now();
        let after = Some(needed);
        let answer =
            Self::pass_on(&mut lease, request, prepared.as_deref(), after, bounds.deadline).await;
        match answer {
            Ok(answer) => Self::answered(&lease, answer, begun),
            Err(unanswered) => Self::unanswered(&lease, unanswered),
        }
    }

    /// Sorts a whole answer: done, or refused without being run.
    fn answered(lease: &Lease<W>, answer: Answer, begun: Instant) -> Offer {
        let group = lease.group();
        let now = Instant::now();
        match &answer.outcome {
            Ok(_) => {
                group.with_member(&lease.member, |member| member.note_latency(now - begun));
                Offer::Done(Response::of(answer, TransactionState::Idle))
            }
            Err(failure) if failure.code.did_not_run() => {
                Self::note_refusal(lease, failure, now);
                Offer::NotRun(format!("{:?} at {}", failure.code, lease.member))
            }
            Err(_) => Offer::Done(Response::of(answer, TransactionState::Idle)),
        }
    }

    /// Remembers of a member why it did not run a statement.
    pub(super) fn note_refusal(lease: &Lease<W>, failure: &Failure, now: Instant) {
        let group = lease.group();
        log::debug!(
            group:% = group.name, member:% = lease.member, code:? = failure.code;
            "member did not run a statement"
        );
        match failure.code {
            ErrorCode::Lagging => group.with_member(&lease.member, |it| it.note_lagging(now)),
            ErrorCode::ReadOnly => group.note_not_primary(&lease.member),
            ErrorCode::WrongMember => {
                group.note_unreachable(&lease.member);
            }
            _ => group.with_member(&lease.member, |it| it.note_busy(now)),
        }
    }

    fn unanswered(lease: &Lease<W>, unanswered: Unanswered) -> Offer {
        let now = Instant::now();
        match unanswered {
            Unanswered::NotSent(error) => {
                Self::note_lost(lease, &error);
                Offer::NotRun(format!("{error} at {}", lease.member))
            }
            Unanswered::Sent(error) => {
                Self::note_lost(lease, &error);
                Offer::Lost(format!("{error} at {}", lease.member))
            }
            Unanswered::Refused(failure) => {
                Self::note_refusal(lease, &failure, now);
                Offer::NotRun(format!("{:?} at {}", failure.code, lease.member))
            }
        }
    }

    /// Remembers of a member that a connection to it gave no answer.
    pub(super) fn note_lost(lease: &Lease<W>, error: &LinkError) {
        log::info!(
            group:% = lease.group().name, member:% = lease.member, error:% = error;
            "connection to a member lost"
        );
        if !matches!(error, LinkError::TimedOut) {
            return;
        }
        lease.group().note_silent(&lease.member);
    }

    /// A read inside a transaction of the product's own: a member that lost the lead refuses it,
    /// so that what is read is as new as every commit acknowledged before.
    async fn read_at_primary(
        &mut self,
        route: &Route<W>,
        request: &Request,
        shape: Option<&PreparedShape>,
        bounds: Bounds,
    ) -> Response {
        let mut why = String::new();
        let mut sent = 0;
        loop {
            let wish = self.wish(route, Target::Primary, bounds.give_up);
            let lease = match route.group.acquire(&wish).await {
                Ok(lease) => lease,
                Err(AcquireError::Unreachable(_)) if Instant::now() < bounds.give_up => continue,
                Err(error) => return Self::refuse(&error, &why),
            };
            match self.offer_primary_read(lease, request, shape, bounds).await {
                Offer::Done(response) => return response,
                Offer::NotRun(reason) => {
                    self.attempted(&reason);
                    why = reason;
                }
                Offer::Lost(error) => {
                    self.attempted(&error);
                    sent += 1;
                    if sent >= route.rule.attempts || Instant::now() >= bounds.deadline {
                        return Self::timed_out(&error);
                    }
                }
            }
            if Instant::now() >= bounds.give_up {
                return Self::refuse(&AcquireError::NoMember, &why);
            }
        }
    }

    async fn offer_primary_read(
        &self,
        mut lease: Lease<W>,
        request: &Request,
        shape: Option<&PreparedShape>,
        bounds: Bounds,
    ) -> Offer {
        let prepared = match self.align(&mut lease, shape, bounds.deadline).await {
            Ok(prepared) => prepared,
            Err(unanswered) => return Self::unanswered(&lease, unanswered),
        };
        if let Err(unanswered) = self.begin_as_primary(&mut lease, bounds.deadline).await {
            return Self::unanswered(&lease, unanswered);
        }
        let begun = Instant::now();
        let prepared = prepared.as_deref();
        let answer = Self::pass_on(&mut lease, request, prepared, None, bounds.deadline).await;
        match answer {
            Ok(answer) => {
                let offer = Self::answered(&lease, answer, begun);
                roll_back_later(lease, ROLLBACK_LIMIT);
                offer
            }
            Err(unanswered) => Self::unanswered(&lease, unanswered),
        }
    }

    /// Begins a writable transaction, which only the primary does, and learns its position.
    pub(super) async fn begin_as_primary(
        &self,
        lease: &mut Lease<W>,
        deadline: Instant,
    ) -> Result<(), Unanswered> {
        let asked_at = self.shared.now();
        // A begin takes no slot: it is answered soon, or the member is out of reach.
        let deadline = deadline.min(Instant::now() + self.shared.settings.begin_timeout);
        let answer = Self::begin_at(lease, Access::Write, None, deadline).await?;
        if let Err(failure) = answer.outcome {
            return Err(Unanswered::Refused(failure));
        }
        lease.group().note_primary(&lease.member);
        if let Some(position) = answer.ready.position {
            lease.group().freshness.borrow_mut().note(asked_at, position);
        }
        Ok(())
    }

    async fn write(
        &mut self,
        route: &Route<W>,
        request: &Request,
        shape: Option<&PreparedShape>,
        bounds: Bounds,
    ) -> Response {
        let mut why = String::new();
        loop {
            let wish = self.wish(route, Target::Primary, bounds.give_up);
            let lease = match route.group.acquire(&wish).await {
                Ok(lease) => lease,
                Err(AcquireError::Unreachable(_)) if Instant::now() < bounds.give_up => continue,
                Err(error) => return Self::refuse(&error, &why),
            };
            match self.offer_write(lease, request, shape, bounds).await {
                Offer::Done(response) => {
                    if response.code().is_none() {
                        self.note_own_commit(response.position());
                    }
                    return response;
                }
                Offer::NotRun(reason) => {
                    self.attempted(&reason);
                    why = reason;
                }
                Offer::Lost(error) => {
                    self.attempted(&error);
                    let text = format!("the write may have taken effect: {error}");
                    return Response::failure(ErrorCode::InDoubt, &text, TransactionState::Idle);
                }
            }
            if Instant::now() >= bounds.give_up {
                return Self::refuse(&AcquireError::NoMember, &why);
            }
        }
    }

    async fn offer_write(
        &self,
        mut lease: Lease<W>,
        request: &Request,
        shape: Option<&PreparedShape>,
        bounds: Bounds,
    ) -> Offer {
        let prepared = match self.align(&mut lease, shape, bounds.deadline).await {
            Ok(prepared) => prepared,
            Err(unanswered) => return Self::unanswered(&lease, unanswered),
        };
        let asked_at = self.shared.now();
        let begun = Instant::now();
        let prepared = prepared.as_deref();
        let answer = Self::pass_on(&mut lease, request, prepared, None, bounds.deadline).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(unanswered) => return Self::unanswered(&lease, unanswered),
        };
        if answer.outcome.is_ok() {
            lease.group().note_primary(&lease.member);
            if let Some(position) = answer.ready.position {
                lease.group().freshness.borrow_mut().note(asked_at, position);
            }
        }
        Self::answered(&lease, answer, begun)
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
