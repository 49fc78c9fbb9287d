//! Classifies statements as reads or writes.

use corktack_core::statement::{Access, PreparedShape, Request, Statement};

/// Reports whether a statement reads or writes; `shape` is the prepared statement that an execution runs.
/// Statements of unknown kind count as writes.
pub(super) fn access_of(request: &Request, shape: Option<&PreparedShape>) -> Access {
    match (&request.statement, shape) {
        (_, Some(shape)) => shape.access,
        (Statement::Run(access), None) => *access,
        _ => Access::Write,
    }
}
