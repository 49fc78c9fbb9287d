//! Begins transactions at members, and keeps track of the members that were tried.
//!
//! If another gateway holds the connection, the begin and the first statement are sent to it together, which
//! takes one round trip instead of two, possibly between regions. A transaction counts as one operation of
//! its tenant.

use super::Session;
use super::alone::Deadlines;
use super::open_transaction::OpenTransaction;
use super::response::Response;
use crate::answer::{Answer, Failure, Unanswered};
use crate::error::{AcquireError, LinkError};
use crate::group::{
    ConnectionRequest, LocatedConnection, Location, RemoteMember, RemoteOpening, Target,
};
use crate::lone_statement::{LoneStatement, PassedStatement};
use crate::routes::{Admission, Route};
use crate::run::{align, begin_as_primary, begin_read_only};
use crate::wire::Wire;
use corktack_core::gateway::ReadBound;
use corktack_core::identity::MemberName;
use corktack_core::scheduling::StatementKind;
use corktack_core::statement::{Access, ErrorCode, PreparedShape, Request, TransactionState};
use corktack_core::tenancy::Principal;
use corktack_protocol::tunnel::LoneKind;
use std::collections::BTreeSet;
use tokio::time::Instant;

/// First statement of a transaction.
#[derive(Clone, Copy)]
pub(super) struct FirstStatement<'s> {
    pub(super) request: &'s Request,
    pub(super) shape: Option<&'s PreparedShape>,
}

/// Outcome of beginning a transaction.
pub(super) enum Opened<W: Wire> {
    /// The transaction is open; its first statement is still to be run.
    Begun(Box<OpenTransaction<W>>),
    /// The transaction is open; its first statement was run with the begin.
    Ran(Box<OpenTransaction<W>>, Result<Answer, Unanswered>),
    /// Another gateway got the request for both and gave no answer; the transaction is rolled back.
    Lost(Response),
}

/// Outcome of one attempt at one member.
enum OpenAttempt<W: Wire> {
    Opened(Opened<W>),
    /// The member did not begin the transaction.
    NotBegun(MemberName, Unanswered),
}

/// The attempts to begin a transaction so far, which determine the target of the next one.
struct OpenAttempts {
    /// What a read-only transaction must see at least; none if only the primary may serve it.
    bound: Option<ReadBound>,
    /// Members that did not begin the transaction.
    refused: BTreeSet<MemberName>,
    /// Reason of the last of them.
    last_refusal: String,
}

impl OpenAttempts {
    fn kind(&self, priority: u32) -> StatementKind {
        StatementKind { priority, writes: self.bound.is_none() }
    }

    fn target(&self) -> Target {
        match self.bound {
            Some(_) => Target::Reader { refused: self.refused.clone() },
            None => Target::Primary,
        }
    }

    /// Reports whether to try again after an error, and prepares the next attempt: at the primary if no
    /// position is known, else at another member until the wait deadline.
    fn prepare_retry(&mut self, error: &AcquireError, wait_deadline: Instant) -> bool {
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
    /// Begins the transaction at a member that may serve it. Its staleness bound counts from now, not from
    /// the caller's begin, after which the caller may have been idle.
    pub(super) async fn open_transaction(
        &self,
        access: Access,
        Admission { route, principal }: Admission<W>,
        first: Option<FirstStatement<'_>>,
    ) -> Result<Opened<W>, Response> {
        let deadlines = Deadlines::of(&route);
        let group = route.group.name.as_str();
        let rule = &route.rule;
        self.decision.borrow_mut().record_route(rule, &principal, group);
        let permit = match self
            .shared
            .limits
            .admit(&principal, rule.priority, deadlines.wait_deadline)
            .await
        {
            Ok(permit) => permit,
            Err(over) => return Err(Response::over_limit(&over, TransactionState::Failed)),
        };
        let opened = self.open_counted(access, (&route, &principal), deadlines, first).await;
        if opened.is_err() {
            // No statement of the caller was sent.
            permit.return_operations();
        }
        opened
    }

    async fn open_counted(
        &self,
        access: Access,
        (route, principal): (&Route<W>, &Principal),
        deadlines: Deadlines,
        first: Option<FirstStatement<'_>>,
    ) -> Result<Opened<W>, Response> {
        let bound = match access {
            Access::Read => self.read_bound(route),
            Access::Write => None,
        };
        let mut attempts =
            OpenAttempts { bound, refused: BTreeSet::new(), last_refusal: String::new() };
        loop {
            let connection_request = ConnectionRequest {
                target: attempts.target(),
                session: &self.profile,
                principal: Some(principal),
                kind: attempts.kind(self.priority(route)),
                bound: attempts.bound,
                needs_slot: true,
                wait_deadline: deadlines.wait_deadline,
            };
            let error = match self.try_open(route, &connection_request, deadlines, first).await {
                Ok(OpenAttempt::Opened(opened)) => return Ok(opened),
                Ok(OpenAttempt::NotBegun(member, unanswered)) => {
                    attempts.last_refusal = Self::record_unanswered(route, &member, &unanswered);
                    self.record_attempt(&attempts.last_refusal);
                    attempts.refused.insert(member);
                    if Instant::now() < deadlines.wait_deadline {
                        continue;
                    }
                    AcquireError::NoMember
                }
                Err(error) if attempts.prepare_retry(&error, deadlines.wait_deadline) => continue,
                Err(error) => error,
            };
            return Err(Response::refused(
                &error,
                &attempts.last_refusal,
                TransactionState::Failed,
            ));
        }
    }

    async fn try_open(
        &self,
        route: &Route<W>,
        connection_request: &ConnectionRequest<'_>,
        deadlines: Deadlines,
        first: Option<FirstStatement<'_>>,
    ) -> Result<OpenAttempt<W>, AcquireError> {
        let located = match (route.group.locate(connection_request).await?, first) {
            (Location::Local(located), _) => *located,
            (Location::Remote(member), None) => {
                route.group.acquire_remote(&member, connection_request).await?
            }
            (Location::Remote(member), Some(first)) => {
                let opening = self.open_remote(route, connection_request, member, deadlines, first);
                return opening.await;
            }
        };
        Ok(self.begin_on(route, located, deadlines.answer_deadline).await)
    }

    /// Begins the transaction on a leased connection.
    async fn begin_on(
        &self,
        route: &Route<W>,
        LocatedConnection { mut lease, position }: LocatedConnection<W>,
        deadline: Instant,
    ) -> OpenAttempt<W> {
        self.decision.borrow_mut().record_position(position);
        let begun = async {
            align(&mut lease, &self.profile, None, deadline).await?;
            match position {
                Some(position) => begin_read_only(&mut lease, position.needed, deadline).await,
                None => begin_as_primary(&mut lease, deadline).await,
            }
        };
        match begun.await {
            Ok(()) => {
                let open = Box::new(OpenTransaction::new(route.clone(), lease));
                OpenAttempt::Opened(Opened::Begun(open))
            }
            Err(unanswered) => OpenAttempt::NotBegun(lease.member.clone(), unanswered),
        }
    }

    /// Requests another gateway to begin the transaction and run its first statement.
    async fn open_remote(
        &self,
        route: &Route<W>,
        connection_request: &ConnectionRequest<'_>,
        member: RemoteMember,
        deadlines: Deadlines,
        FirstStatement { request, shape }: FirstStatement<'_>,
    ) -> Result<OpenAttempt<W>, AcquireError> {
        let first = LoneStatement {
            passed: PassedStatement::from(request),
            shape,
            session: &self.profile,
            priority: self.priority(route),
            kind: connection_request
                .bound
                .map_or(LoneKind::Write, |bound| LoneKind::Read { bound }),
        };
        let group = &route.group;
        let opened = group
            .open_remote(&member, connection_request, first, deadlines.answer_deadline)
            .await?;
        Ok(match opened {
            RemoteOpening::Lent(located) => {
                self.begin_on(route, located, deadlines.answer_deadline).await
            }
            RemoteOpening::Open(LocatedConnection { lease, position }, result) => {
                self.decision.borrow_mut().record_position(position);
                let open = Box::new(OpenTransaction::new(route.clone(), lease));
                OpenAttempt::Opened(Opened::Ran(open, result))
            }
            RemoteOpening::NotBegun(unanswered) => OpenAttempt::NotBegun(member.name, unanswered),
            RemoteOpening::Lost(error) => {
                OpenAttempt::Opened(Opened::Lost(rolled_back_response(&member.name, &error)))
            }
        })
    }

    /// Records for a member that a transaction could not begin there; returns the reason as text.
    fn record_unanswered(route: &Route<W>, member: &MemberName, unanswered: &Unanswered) -> String {
        match unanswered {
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

/// Returns the answer for a transaction whose tunnel was lost: the gateway that holds the connection rolls
/// back when the tunnel ends.
fn rolled_back_response(member: &MemberName, error: &LinkError) -> Response {
    let text = format!("rolled back: {error} at {member}");
    Response::failure(ErrorCode::Aborted, &text, TransactionState::Failed)
}
