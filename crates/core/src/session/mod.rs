//! What the proxy remembers of one caller's session.
//!
//! Owns the positions that the session has seen and its prepared statements. Relies on the edge to note what members
//! answered.

mod statements;
mod token;

pub use statements::{
    MISSING_STATEMENT, SessionStatement, SessionStatements, StatementEffect, StatementError,
    TEXT_LIMIT, shared_name,
};
pub use token::{SessionToken, TOKEN_GROUP_LIMIT, TokenError};
