//! State that the proxy keeps of one caller's session: the positions that the session has seen, and its
//! prepared statements. The edge records in it what members answered.

mod statements;
mod token;

pub use statements::{
    MISSING_STATEMENT, SessionStatement, SessionStatements, StatementEffect, StatementError,
    TEXT_LIMIT, shared_name,
};
pub use token::{SessionToken, TOKEN_GROUP_LIMIT, TokenError};
