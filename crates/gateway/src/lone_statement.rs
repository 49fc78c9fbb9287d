//! A statement outside a transaction, in the form in which it is run here or sent to another gateway.
//!
//! It is for the question what belongs to such a statement. It owns both forms and the change from one to
//! the other; [`run`](crate::run) executes it. It relies on the session for its values and prepared shapes.

use corktack_core::gateway::SessionProfile;
use corktack_core::statement::{PreparedShape, Request, Statement};
use corktack_protocol::tunnel::{LoneKind, LoneRequest};

/// What of a caller's statement is passed on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PassedStatement<'s> {
    pub(crate) id: &'s str,
    pub(crate) text: &'s str,
    /// Arguments of an execution.
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

/// A statement outside a transaction, as it is run on any connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoneStatement<'s> {
    pub(crate) passed: PassedStatement<'s>,
    pub(crate) shape: Option<&'s PreparedShape>,
    pub(crate) session: &'s SessionProfile,
    pub(crate) priority: u32,
    pub(crate) kind: LoneKind,
}

impl LoneStatement<'_> {
    /// The statement as another gateway gets it.
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

    /// The statement that another gateway sent.
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
