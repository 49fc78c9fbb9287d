//! A statement with all that is needed to run it on any connection, or to send it to another gateway.
//!
//! A lone statement runs outside a transaction, or is the first statement of one. [`run`](crate::run)
//! executes it.

use corktack_core::gateway::SessionProfile;
use corktack_core::statement::{PreparedShape, Request, Statement};
use corktack_protocol::tunnel::{LoneKind, LoneRequest};

/// The parts of a caller's statement that are forwarded to a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PassedStatement<'s> {
    pub(crate) id: &'s str,
    pub(crate) text: &'s str,
    /// Arguments of the execution of a prepared statement.
    pub(crate) arguments: Option<&'s str>,
}

impl<'s> From<&'s Request> for PassedStatement<'s> {
    fn from(request: &'s Request) -> Self {
        let arguments = match &request.statement {
            Statement::Execute { arguments, .. } => Some(arguments.as_str()),
            _ => None,
        };
        Self { id: &request.id, text: &request.text, arguments }
    }
}

/// A statement with the session's values and prepared shape that it needs on any connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoneStatement<'s> {
    pub(crate) passed: PassedStatement<'s>,
    pub(crate) shape: Option<&'s PreparedShape>,
    pub(crate) session: &'s SessionProfile,
    pub(crate) priority: u32,
    pub(crate) kind: LoneKind,
}

impl LoneStatement<'_> {
    /// Returns the statement in the form in which it is sent to another gateway.
    pub(crate) fn to_request(self) -> LoneRequest {
        LoneRequest {
            id: self.passed.id.to_owned(),
            text: self.passed.text.to_owned(),
            arguments: self.passed.arguments.map(str::to_owned),
            shape: self.shape.cloned(),
            session: self.session.values_only(),
            kind: self.kind,
        }
    }

    /// Returns the statement that another gateway sent.
    pub(crate) fn of_request(request: &LoneRequest, priority: u32) -> LoneStatement<'_> {
        LoneStatement {
            passed: PassedStatement {
                id: &request.id,
                text: &request.text,
                arguments: request.arguments.as_deref(),
            },
            shape: request.shape.as_ref(),
            session: &request.session,
            priority,
            kind: request.kind,
        }
    }
}
