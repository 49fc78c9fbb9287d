//! Runs one statement of a caller on a connection in use.

use super::Session;
use crate::answer::{Answer, Failure};
use crate::connection::OwnOutcome;
use crate::error::LinkError;
use crate::lease::Lease;
use crate::wire::Wire;
use corktack_core::position::Position;
use corktack_core::statement::{
    Access, MemberRequest, OwnStatement, PreparedShape, Request, Statement,
};
use tokio::time::Instant;

/// Why a statement has no whole answer.
#[derive(Debug)]
pub(super) enum Unanswered {
    /// It was not sent: the connection could not be brought to the session's state.
    NotSent(LinkError),
    /// It was sent and may have run.
    Sent(LinkError),
    /// A member refused what had to come before it; it was not sent.
    Refused(Failure),
}

/// What a statement does.
pub(super) fn access_of(request: &Request, shape: Option<&PreparedShape>) -> Access {
    match (&request.statement, shape) {
        (_, Some(shape)) => shape.access,
        (Statement::Run(access), None) => *access,
        _ => Access::Write,
    }
}

impl<W: Wire> Session<W> {
    /// Brings the connection to the session's values and prepared statements.
    pub(super) async fn align(
        &self,
        lease: &mut Lease<W>,
        shape: Option<&PreparedShape>,
        deadline: Instant,
    ) -> Result<Option<String>, Unanswered> {
        let connection = lease.connection();
        let aligned = connection.align(&self.profile, deadline).await;
        if let OwnOutcome::Refused(failure) = aligned.map_err(Unanswered::NotSent)? {
            return Err(Unanswered::Refused(failure));
        }
        let Some(shape) = shape else { return Ok(None) };
        let prepared = connection.prepare(shape, deadline).await.map_err(Unanswered::NotSent)?;
        prepared.map(Some).map_err(Unanswered::Refused)
    }

    /// Passes the statement on and waits for its whole answer. `prepared` is the connection's name
    /// of the statement that an execution runs.
    pub(super) async fn pass_on(
        lease: &mut Lease<W>,
        request: &Request,
        prepared: Option<&str>,
        after: Option<Position>,
        deadline: Instant,
    ) -> Result<Answer, Unanswered> {
        let id = request.id.as_str();
        let message = match (&request.statement, prepared) {
            (Statement::Execute { arguments, .. }, Some(name)) => {
                MemberRequest::Execute { id, after, name, arguments }
            }
            _ => MemberRequest::Forward { id, after, text: &request.text },
        };
        lease.connection().exchange(&message, deadline).await.map_err(Unanswered::Sent)
    }

    /// Begins a transaction at the member.
    pub(super) async fn begin_at(
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
}

/// Rolls back after the caller has its answer; the connection is then free for others.
pub(super) fn roll_back_later<W: Wire>(mut lease: Lease<W>, limit: std::time::Duration) {
    actix_rt::spawn(async move {
        let deadline = Instant::now() + limit;
        let answer = lease.connection().run_own(&OwnStatement::Rollback, deadline).await;
        // A connection that did not answer is closed with the lease, which rolls back as well.
        if answer.is_ok_and(|answer| answer.outcome.is_ok()) {
            lease.end_transaction();
        }
    });
}
