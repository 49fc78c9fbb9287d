//! What a statement does.
//!
//! It is for the choice between reads and writes in [`session`](super). It owns that rule alone.

use corktack_core::statement::{Access, PreparedShape, Request, Statement};

/// What a statement does; `shape` is what a prepared one runs.
pub(super) fn access_of(request: &Request, shape: Option<&PreparedShape>) -> Access {
    match (&request.statement, shape) {
        (_, Some(shape)) => shape.access,
        (Statement::Run(access), None) => *access,
        _ => Access::Write,
    }
}
