//! How a transaction is begun at a member, with its first statement where another gateway holds the
//! connection: beginning and statement are one round trip to it, which may be one between regions.
//!
//! It is for [`transaction`](super::transaction). It owns which members were tried. It relies on the limits to
//! count the transaction as one operation and on the group to find a member.

use super::Session;
use super::alone::Bounds;
use super::open_transaction::OpenTransaction;
use super::response::Response;
use crate::answer::{Answer, Failure, Unanswered};
use crate::error::{AcquireError, LinkError};
use crate::group::{
    ConnectionRequest, LocatedConnection, Location, RemoteMember, RemoteOpening, Target,
};
use crate::lone_statement::{LoneStatement, PassedStatement};
use crate::routes::{Admission, Route};
use crate::run::{align, begin_as_primary, begin_reading};
use crate::wire::Wire;
use corktack_core::gateway::ReadBound;
use corktack_core::identity::MemberName;
use corktack_core::scheduling::StatementKind;
use corktack_core::statement::{Access, ErrorCode, PreparedShape, Request, TransactionState};
use corktack_core::tenancy::Principal;
use corktack_protocol::tunnel::LoneKind;
use std::collections::BTreeSet;
use tokio::time::Instant;

/// The first statement of a transaction.
#[derive(Clone, Copy)]
pub(super) struct First<'s> {
    pub(super) request: &'s Request,
    pub(super) shape: Option<&'s PreparedShape>,
}

/// The outcome of beginning a transaction.
pub(super) enum Opened<W: Wire> {
    /// It is open; its first statement is still to be run.
    Begun(Box<OpenTransaction<W>>),
    /// Its first statement was run with the begin.
    Ran(Box<OpenTransaction<W>>, Result<Answer, Unanswered>),
    /// A gateway was asked for both and gave no answer; nothing of it is kept.
    Lost(Response),
}

/// One try at one member.
enum Tried<W: Wire> {
    Opened(Opened<W>),
    /// The member did not begin it.
    NotBegun(MemberName, Unanswered),
}

/// Where a transaction is tried next, and what was said so far.
struct Tries {
    /// What a transaction that only reads must see; none where only the primary may serve it.
    bound: Option<ReadBound>,
    refused: BTreeSet<MemberName>,
    /// What the last member said that did not begin it.
    why: String,
}

impl Tries {
    fn kind(&self, priority: u32) -> StatementKind {
        StatementKind { priority, writes: self.bound.is_none() }
    }

    fn target(&self) -> Target {
        match self.bound {
            Some(_) => Target::Reader { refused: self.refused.clone() },
            None => Target::Primary,
        }
    }

    /// Whether there is another way after an error, before waiting ends.
    fn go_on(&mut self, error: &AcquireError, wait_deadline: Instant) -> bool {
        if let AcquireError::NoPosition = error {
            self.bound = None;
            return true;
        }
        if Instant::now() >= wait_deadline {
            return false;
        }
        match error {
            AcquireError::Unreachable(member) | AcquireError::Full(member) => {
                self.refused.insert(member.clone());
                true
            }
            AcquireError::NoHolder(_) => true,
            AcquireError::NoMember if !self.refused.is_empty() => {
                self.refused.clear();
                true
            }
            AcquireError::NoMember | AcquireError::NoPosition | AcquireError::NoneFree { .. } => {
                false
            }
        }
    }
}

impl<W: Wire> Session<W> {
    /// Begins the transaction at a member that may serve it. How fresh it must be counts from now: the
    /// caller may have been idle since its begin.
    pub(super) async fn open_transaction(
        &self,
        access: Access,
        Admission { route, principal }: Admission<W>,
        first: Option<First<'_>>,
    ) -> Result<Opened<W>, Response> {
        let bounds = Bounds::of(&route);
        let group = route.group.name.as_str();
        let rule = &route.rule;
        self.decision.borrow_mut().routed(rule, &principal, group);
        let permit =
            match self.shared.limits.admit(&principal, rule.priority, bounds.wait_deadline).await {
                Ok(permit) => permit,
                Err(over) => return Err(Response::over_limit(&over, TransactionState::Failed)),
            };
        let opened = self.open_counted(access, (&route, &principal), bounds, first).await;
        if opened.is_err() {
            // No statement of the caller's was sent.
            permit.return_operations();
        }
        opened
    }

    async fn open_counted(
        &self,
        access: Access,
        (route, principal): (&Route<W>, &Principal),
        bounds: Bounds,
        first: Option<First<'_>>,
    ) -> Result<Opened<W>, Response> {
        let bound = match access {
            Access::Read => self.read_bound(route),
            Access::Write => None,
        };
        let mut tries = Tries { bound, refused: BTreeSet::new(), why: String::new() };
        loop {
            let connection_request = ConnectionRequest {
                target: tries.target(),
                session: &self.profile,
                principal: Some(principal),
                kind: tries.kind(route.rule.priority),
                bound: tries.bound,
                needs_slot: true,
                wait_deadline: bounds.wait_deadline,
            };
            let error = match self.try_open(route, &connection_request, bounds, first).await {
                Ok(Tried::Opened(opened)) => return Ok(opened),
                Ok(Tried::NotBegun(member, why)) => {
                    tries.why = Self::note_unanswered(route, &member, &why);
                    self.attempted(&tries.why);
                    tries.refused.insert(member);
                    if Instant::now() < bounds.wait_deadline {
                        continue;
                    }
                    AcquireError::NoMember
                }
                Err(error) if tries.go_on(&error, bounds.wait_deadline) => continue,
                Err(error) => error,
            };
            return Err(Response::refused(&error, &tries.why, TransactionState::Failed));
        }
    }

    async fn try_open(
        &self,
        route: &Route<W>,
        connection_request: &ConnectionRequest<'_>,
        bounds: Bounds,
        first: Option<First<'_>>,
    ) -> Result<Tried<W>, AcquireError> {
        let located = match (route.group.locate(connection_request).await?, first) {
            (Location::Local(located), _) => *located,
            (Location::Remote(member), None) => {
                route.group.acquire_remote(&member, connection_request).await?
            }
            (Location::Remote(member), Some(first)) => {
                let opening = self.open_remote(route, connection_request, member, bounds, first);
                return opening.await;
            }
        };
        Ok(self.begin_on(route, located, bounds.deadline).await)
    }

    /// Begins it on a connection that is there.
    async fn begin_on(
        &self,
        route: &Route<W>,
        LocatedConnection { mut lease, position }: LocatedConnection<W>,
        deadline: Instant,
    ) -> Tried<W> {
        self.decision.borrow_mut().needs(position);
        let begun = async {
            align(&mut lease, &self.profile, None, deadline).await?;
            match position {
                Some(position) => begin_reading(&mut lease, position.needed, deadline).await,
                None => begin_as_primary(&mut lease, deadline).await,
            }
        };
        match begun.await {
            Ok(()) => {
                let open = Box::new(OpenTransaction::new(route.clone(), lease));
                Tried::Opened(Opened::Begun(open))
            }
            Err(why) => Tried::NotBegun(lease.member.clone(), why),
        }
    }

    /// Has another gateway begin it and run its first statement.
    async fn open_remote(
        &self,
        route: &Route<W>,
        connection_request: &ConnectionRequest<'_>,
        member: RemoteMember,
        bounds: Bounds,
        First { request, shape }: First<'_>,
    ) -> Result<Tried<W>, AcquireError> {
        let first = LoneStatement {
            passed: PassedStatement::from(request),
            shape,
            session: &self.profile,
            priority: route.rule.priority,
            kind: connection_request
                .bound
                .map_or(LoneKind::Write, |bound| LoneKind::Read { bound }),
        };
        let group = &route.group;
        let opened = group.open_remote(&member, connection_request, first, bounds.deadline).await?;
        Ok(match opened {
            RemoteOpening::Lent(located) => self.begin_on(route, located, bounds.deadline).await,
            RemoteOpening::Open(LocatedConnection { lease, position }, result) => {
                self.decision.borrow_mut().needs(position);
                let open = Box::new(OpenTransaction::new(route.clone(), lease));
                Tried::Opened(Opened::Ran(open, result))
            }
            RemoteOpening::NotBegun(why) => Tried::NotBegun(member.name, why),
            RemoteOpening::Lost(error) => Tried::Opened(Opened::Lost(lost(&member.name, &error))),
        })
    }

    /// Remembers why a transaction could not begin at a member.
    fn note_unanswered(route: &Route<W>, member: &MemberName, why: &Unanswered) -> String {
        match why {
            Unanswered::NotSent(error) | Unanswered::Sent(error) => {
                route.group.record_lost_connection(member, error);
                format!("{error} at {member}")
            }
            Unanswered::Refused(Failure { code, .. }) => {
                route.group.record_refusal(member, *code);
                format!("{code:?} at {member}")
            }
        }
    }
}

/// Without its tunnel the gateway that holds the connection rolls back.
fn lost(member: &MemberName, error: &LinkError) -> Response {
    let text = format!("rolled back: {error} at {member}");
    Response::failure(ErrorCode::Aborted, &text, TransactionState::Failed)
}
