//! Runs a caller's statement on a connection to a member, for sessions and for other gateways.
//!
//! The session's values and prepared statements are sent first, then the begin of a transaction if there is
//! one, then the statement. The group records the outcome.

use crate::answer::{Answer, Unanswered};
use crate::connection::OwnOutcome;
use crate::error::LinkError;
use crate::group::Lease;
use crate::lone_statement::{LoneStatement, PassedStatement};
use crate::wire::Wire;
use corktack_core::gateway::{ReadPosition, SessionProfile};
use corktack_core::position::Position;
use corktack_core::scheduling::StatementKind;
use corktack_core::statement::{Access, MemberRequest, OwnStatement, PreparedShape};
use corktack_protocol::tunnel::LoneKind;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time for a rollback in the background. A connection on which it takes longer is closed, which
/// rolls back as well.
pub(crate) const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Aligns the connection with the session's values and prepares `shape` on it; returns the connection's name
/// for the shape.
pub(crate) async fn align<W: Wire>(
    lease: &mut Lease<W>,
    session: &SessionProfile,
    shape: Option<&PreparedShape>,
    deadline: Instant,
) -> Result<Option<String>, Unanswered> {
    let connection = lease.connection();
    let aligned = connection.align(session, deadline).await;
    if let OwnOutcome::Refused(failure) = aligned.map_err(Unanswered::NotSent)? {
        return Err(Unanswered::Refused(failure));
    }
    let Some(shape) = shape else { return Ok(None) };
    let prepared = connection.prepare(shape, deadline).await.map_err(Unanswered::NotSent)?;
    prepared.map(Some).map_err(Unanswered::Refused)
}

/// Forwards the statement and waits for its whole answer. `prepared` is the connection's name for the
/// prepared statement that an execution runs.
pub(crate) async fn forward<W: Wire>(
    lease: &mut Lease<W>,
    passed: PassedStatement<'_>,
    prepared: Option<&str>,
    after: Option<Position>,
    deadline: Instant,
) -> Result<Answer, Unanswered> {
    let PassedStatement { id, text, arguments } = passed;
    let message = match (arguments, prepared) {
        (Some(arguments), Some(name)) => MemberRequest::Execute { id, after, name, arguments },
        _ => MemberRequest::Forward { id, after, text },
    };
    lease.connection().exchange(&message, deadline).await.map_err(Unanswered::Sent)
}

/// Begins a transaction at the member; marks the lease as in a transaction if that succeeds.
pub(crate) async fn begin_transaction<W: Wire>(
    lease: &mut Lease<W>,
    access: Access,
    after: Option<Position>,
    deadline: Instant,
) -> Result<Answer, Unanswered> {
    let begin = OwnStatement::Begin { access, after };
    let answer = lease.connection().run_own(&begin, deadline).await;
    let answer = answer.map_err(Unanswered::NotSent)?;
    lease.in_transaction = answer.outcome.is_ok();
    Ok(answer)
}

/// Begins a read-only transaction at a member that has applied the position `needed`.
pub(crate) async fn begin_read_only<W: Wire>(
    lease: &mut Lease<W>,
    needed: Position,
    deadline: Instant,
) -> Result<(), Unanswered> {
    let answer = begin_transaction(lease, Access::Read, Some(needed), deadline).await?;
    answer.outcome.map(drop).map_err(Unanswered::Refused)
}

/// Begins a writable transaction, which only the primary accepts, and records the position in its answer.
pub(crate) async fn begin_as_primary<W: Wire>(
    lease: &mut Lease<W>,
    deadline: Instant,
) -> Result<(), Unanswered> {
    let asked_at = lease.group().now();
    // A begin takes no slot: the member answers it soon unless it is unreachable.
    let deadline = deadline.min(Instant::now() + lease.group().begin_timeout());
    let answer = begin_transaction(lease, Access::Write, None, deadline).await?;
    if let Err(failure) = answer.outcome {
        return Err(Unanswered::Refused(failure));
    }
    lease.group().record_primary_position(&lease.member, asked_at, answer.ready.position);
    Ok(())
}

/// Rolls the transaction back in the background and then returns the connection to the pool.
pub(crate) fn roll_back_in_background<W: Wire>(mut lease: Lease<W>, timeout: Duration) {
    actix_rt::spawn(async move {
        let deadline = Instant::now() + timeout;
        let answer = lease.connection().run_own(&OwnStatement::Rollback, deadline).await;
        // Dropping the lease closes a connection that did not answer, which rolls back as well.
        if answer.is_ok_and(|answer| answer.outcome.is_ok()) {
            lease.end_transaction();
        }
    });
}

impl LoneStatement<'_> {
    /// Runs the statement and records the result for the member.
    pub(crate) async fn run<W: Wire>(
        &self,
        mut lease: Lease<W>,
        position: Option<ReadPosition>,
        deadline: Instant,
    ) -> Result<Answer, Unanswered> {
        let asked_at = lease.group().now();
        let started_at = Instant::now();
        let result = self.run_on(&mut lease, position, deadline).await;
        let kind = StatementKind { priority: self.priority, writes: !self.kind.is_read() };
        lease.group().record_result(&lease.member, kind, &result, started_at);
        if let (Ok(answer), LoneKind::Write) = (&result, self.kind)
            && answer.outcome.is_ok()
        {
            lease.group().record_primary_position(&lease.member, asked_at, answer.ready.position);
        }
        if lease.in_transaction && lease.connection().has_no_pending_answer() {
            roll_back_in_background(lease, ROLLBACK_TIMEOUT);
        }
        result
    }

    /// Begins a transaction and runs the statement in it. The outer error is the reason why the begin failed,
    /// in which case the statement was not sent.
    pub(crate) async fn begin_and_run_on<W: Wire>(
        &self,
        lease: &mut Lease<W>,
        position: Option<ReadPosition>,
        deadline: Instant,
    ) -> Result<Result<Answer, Unanswered>, Unanswered> {
        // Statements prepared before the begin outlast a rollback of the transaction.
        let prepared = align(lease, self.session, self.shape, deadline).await?;
        match position {
            Some(position) => begin_read_only(lease, position.needed, deadline).await?,
            None => begin_as_primary(lease, deadline).await?,
        }
        Ok(forward(lease, self.passed, prepared.as_deref(), None, deadline).await)
    }

    async fn run_on<W: Wire>(
        &self,
        lease: &mut Lease<W>,
        position: Option<ReadPosition>,
        deadline: Instant,
    ) -> Result<Answer, Unanswered> {
        let prepared = align(lease, self.session, self.shape, deadline).await?;
        let after = match self.kind {
            // A lease for a bounded read comes with the position that the read must see.
            LoneKind::Read { .. } => {
                Some(position.ok_or(Unanswered::NotSent(LinkError::Closed))?.needed)
            }
            LoneKind::Write => None,
            // A former primary refuses the begin or the read, so the read sees every commit acknowledged
            // before it.
            LoneKind::ReadAtPrimary => {
                begin_as_primary(lease, deadline).await?;
                None
            }
        };
        forward(lease, self.passed, prepared.as_deref(), after, deadline).await
    }
}
