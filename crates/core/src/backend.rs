//! Contract with a back end: the statements and parameters of its published protocol.
//!
//! A member of a group speaks the PostgreSQL wire protocol. Beside ordinary SQL
//! it answers the statements below, by simple query. It reports
//! [`POSITION_PARAMETER`] as a `ParameterStatus` *before* the `CommandComplete`
//! of every commit (the committed position) and of every read outside a
//! transaction (the applied position that the read saw).

use crate::identity::MemberName;
use crate::position::{Position, Term};

/// `ParameterStatus` name that carries `TERM/INDEX`.
pub const POSITION_PARAMETER: &str = "replication.position";

/// Asks a member for its [`MemberStatus`]; one row, columns as in [`STATUS_COLUMNS`].
pub const SHOW_STATUS: &str = "SHOW replication.status";

/// Columns of the answer to [`SHOW_STATUS`], all of type text.
///
/// `role` is `primary`, `replica` or `fenced`; `promised_term` is the highest
/// term the member promised; `last_position` is the term of the last log entry
/// and its index, committed or not; `applied_position` is what reads see, with
/// the member's current term; `primary` is the member it follows, or empty.
pub const STATUS_COLUMNS: [&str; 6] =
    ["member", "role", "promised_term", "last_position", "applied_position", "primary"];

/// Asks the primary for a committed position that a majority confirmed after the
/// question arrived; one row, one column `position`. A member that is not primary
/// or cannot confirm answers an error of SQLSTATE [`NOT_PRIMARY`].
pub const SHOW_READ_INDEX: &str = "SHOW replication.read_index";

/// SQLSTATE of a member that is not the primary, or has been fenced: the statement did not run.
pub const NOT_PRIMARY: &str = "25006";

/// SQLSTATE of a fence or promotion refused because a higher term was promised.
pub const TERM_TOO_LOW: &str = "55000";

/// SQLSTATE class 08: the outcome of a commit is not known.
pub const OUTCOME_UNKNOWN: &str = "08007";

/// SQLSTATE of a refused connection over the member's connection limit.
pub const TOO_MANY_CONNECTIONS: &str = "53300";

/// The statement that makes a member promise a term: it stops acknowledging
/// commits and replication of lower terms. One row: `promised_term`,
/// `last_position`. Idempotent for the same term.
#[must_use]
pub fn fence_statement(term: Term) -> String {
    format!("ALTER SYSTEM FENCE TERM {term}")
}

/// The statement that makes a fenced member primary of a term it promised. It
/// answers once a majority holds an entry of that term. One row: `position`.
#[must_use]
pub fn promote_statement(term: Term) -> String {
    format!("ALTER SYSTEM PROMOTE TERM {term}")
}

/// Role of a member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// Accepts writes under its term.
    Primary,
    /// Follows a primary.
    Replica,
    /// Promised a term that has no primary yet.
    Fenced,
}

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member's own name.
    pub member: MemberName,
    /// Its role.
    pub role: MemberRole,
    /// The highest term it promised.
    pub promised_term: Term,
    /// Term and index of the last entry of its log, committed or not.
    pub last_position: Position,
    /// What its reads see.
    pub applied_position: Position,
}

/// Why a status row was not understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StatusError {
    /// A column is missing or cannot be parsed.
    #[error("column {column} of the member's status holds {value:?}")]
    Column {
        /// The column's name.
        column: &'static str,
        /// What it held.
        value: Option<String>,
    },
}

impl MemberStatus {
    /// Reads the columns of the one row that answers [`SHOW_STATUS`].
    ///
    /// # Errors
    /// [`StatusError`] names the first column that is missing or malformed.
    pub fn from_columns(columns: &[Option<&str>]) -> Result<Self, StatusError> {
        let column = |number: usize| columns.get(number).copied().flatten();
        let bad = |number: usize| StatusError::Column {
            column: STATUS_COLUMNS[number],
            value: column(number).map(str::to_owned),
        };
        let role = match column(1) {
            Some("primary") => MemberRole::Primary,
            Some("replica") => MemberRole::Replica,
            Some("fenced") => MemberRole::Fenced,
            _ => return Err(bad(1)),
        };
        let position = |number: usize| {
            let text = column(number).ok_or_else(|| bad(number))?;
            text.parse::<Position>().map_err(|_| bad(number))
        };
        let member = column(0).and_then(|text| MemberName::new(text).ok());
        let promised_term = column(2).and_then(|text| text.parse().ok());
        Ok(Self {
            member: member.ok_or_else(|| bad(0))?,
            role,
            promised_term: Term(promised_term.ok_or_else(|| bad(2))?),
            last_position: position(3)?,
            applied_position: position(4)?,
        })
    }
}
