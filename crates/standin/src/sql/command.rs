//! What a statement asks the member to do.

use super::error::SqlError;
use super::tokens::{self, Rendered, keyword};
use corktack_core::position::Term;
use sqlparser::tokenizer::Token;
use std::time::Duration;

/// Statements that the member handles itself, and those for the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Opens a transaction block.
    Begin {
        /// Whether writes are refused in it.
        read_only: bool,
    },
    /// Ends a transaction block and keeps its writes.
    Commit,
    /// Ends a transaction block and drops its writes.
    Rollback,
    /// Marks, releases or returns to a savepoint.
    Savepoint,
    /// Sets a session parameter, which has no effect here.
    Set,
    /// Asks for a setting or for replication facts.
    Show(String),
    /// `DISCARD ALL`: forgets prepared statements and settings.
    Discard,
    /// `RESET`: forgets settings.
    Reset,
    /// Forgets one prepared statement, or all.
    Deallocate(Option<String>),
    /// `CLOSE`: forgets one portal, or all.
    Close(Option<String>),
    /// Promises a term.
    Fence(Term),
    /// Makes this member primary of a term.
    Promote(Term),
    /// Sets the lag of application.
    SetLag(Duration),
    /// SQL for the engine.
    Sql,
}

/// One parsed statement.
#[derive(Clone, Debug)]
pub struct Statement {
    /// What it asks.
    pub command: Command,
    /// Text for the engine.
    pub sql: String,
    /// Significant tokens.
    pub tokens: Vec<Token>,
    /// Whether it asked for row locks.
    pub locking: bool,
}

impl Statement {
    /// Parses a query string into its statements.
    ///
    /// # Errors
    /// The string cannot be divided into tokens, or a command is malformed.
    pub fn parse(query: &str) -> Result<Vec<Self>, SqlError> {
        tokens::split(query)?.into_iter().map(Self::from_rendered).collect()
    }

    fn from_rendered(rendered: Rendered) -> Result<Self, SqlError> {
        let Rendered { tokens, sql, locking } = rendered;
        let words: Vec<String> = tokens.iter().map(word).collect();
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let command = command(&words, &tokens).ok_or_else(|| SqlError::Syntax(sql.clone()))?;
        Ok(Self { command, sql, tokens, locking })
    }

    /// The tag that completes the statement.
    #[must_use]
    pub fn tag(&self, rows: usize, changes: u64) -> String {
        let first = self.word(0);
        match first.as_str() {
            "SELECT" | "VALUES" | "WITH" | "SHOW" | "EXPLAIN" | "PRAGMA" => {
                format!("SELECT {rows}")
            }
            "INSERT" | "REPLACE" => format!("INSERT 0 {changes}"),
            "UPDATE" | "DELETE" => format!("{first} {changes}"),
            "CREATE" | "DROP" | "ALTER" => format!("{first} {}", self.word(1)),
            _ => first,
        }
    }

    /// Whether its first word alone tells that it writes.
    #[must_use]
    pub fn changes_rows(&self) -> bool {
        matches!(self.word(0).as_str(), "INSERT" | "UPDATE" | "DELETE" | "REPLACE")
    }

    fn word(&self, position: usize) -> String {
        self.tokens.get(position).map(word).unwrap_or_default()
    }
}

/// Upper case of a keyword, or the token as it stands.
fn word(token: &Token) -> String {
    keyword(token).unwrap_or_else(|| token.to_string())
}

fn command(words: &[&str], tokens: &[Token]) -> Option<Command> {
    let name = |position: usize| tokens.get(position).and_then(tokens::identifier);
    Some(match words {
        ["BEGIN", modes @ ..] | ["START", "TRANSACTION", modes @ ..] => {
            Command::Begin { read_only: modes.windows(2).any(|pair| pair == ["READ", "ONLY"]) }
        }
        ["COMMIT" | "END", ..] => Command::Commit,
        ["ROLLBACK", "TO", ..] | ["ROLLBACK", "TRANSACTION" | "WORK", "TO", ..] => {
            Command::Savepoint
        }
        ["SAVEPOINT" | "RELEASE", ..] => Command::Savepoint,
        ["ROLLBACK" | "ABORT", ..] => Command::Rollback,
        ["SET", ..] => Command::Set,
        ["SHOW", ..] => Command::Show(setting_name(&tokens[1..])),
        ["DISCARD", ..] => Command::Discard,
        ["RESET", ..] => Command::Reset,
        ["DEALLOCATE", "PREPARE", "ALL"] | ["DEALLOCATE", "ALL"] => Command::Deallocate(None),
        ["DEALLOCATE", "PREPARE", _] => Command::Deallocate(Some(name(2)?.to_owned())),
        ["DEALLOCATE", _] => Command::Deallocate(Some(name(1)?.to_owned())),
        ["CLOSE", "ALL"] => Command::Close(None),
        ["CLOSE", _] => Command::Close(Some(name(1)?.to_owned())),
        ["ALTER", "SYSTEM", rest @ ..] => system_command(rest)?,
        _ => Command::Sql,
    })
}

fn setting_name(tokens: &[Token]) -> String {
    tokens.iter().map(ToString::to_string).collect::<String>().to_ascii_lowercase()
}

fn system_command(words: &[&str]) -> Option<Command> {
    Some(match words {
        ["FENCE", "TERM", term] => Command::Fence(Term(term.parse().ok()?)),
        ["PROMOTE", "TERM", term] => Command::Promote(Term(term.parse().ok()?)),
        ["SET", "REPLICATION", "LAG", lag] => {
            Command::SetLag(Duration::from_millis(lag.parse().ok()?))
        }
        _ => return None,
    })
}
