//! What the proxy remembers of one caller's session.

mod statements;
mod token;

pub use statements::{
    MISSING_STATEMENT, SessionStatement, SessionStatements, StatementEffect, StatementError,
    TEXT_LIMIT, shared_name,
};
pub use token::{SessionToken, TOKEN_GROUP_LIMIT, TokenError};
