//! Replication statements and parameters of the protocol between the proxy and a back end.
//!
//! A member of a group speaks the PostgreSQL wire protocol. Besides ordinary SQL, the member answers
//! the statements below as simple queries. The member sends [`POSITION_PARAMETER`] as a
//! `ParameterStatus` *before* the `CommandComplete` of every commit (the committed position) and of
//! every read outside a transaction (the applied position that the read saw).

use crate::identity::MemberName;
use crate::position::{Position, Term};

/// Name of the `ParameterStatus` whose value is a position, `TERM/INDEX`.
pub const POSITION_PARAMETER: &str = "replication.position";

/// Statement that returns a member's [`MemberStatus`] as one row with the columns [`STATUS_COLUMNS`].
pub const SHOW_STATUS: &str = "SHOW replication.status";

/// Columns of the answer to [`SHOW_STATUS`], all of type text.
///
/// `role` is `primary`, `replica` or `fenced`; `promised_term` is the highest term that the member
/// promised; `last_position` is the term and index of the last log entry, committed or not;
/// `applied_position` is the index that reads see, with the member's current term; `primary` is the
/// name of the member that this member follows, or empty.
pub const STATUS_COLUMNS: [&str; 6] =
    ["member", "role", "promised_term", "last_position", "applied_position", "primary"];

/// Statement that returns a committed position of the primary, confirmed by a majority after the
/// statement arrived, as one row with one column `position`. A member that is not the primary or
/// cannot confirm the position answers with an error of SQLSTATE [`NOT_PRIMARY`].
pub const SHOW_READ_INDEX: &str = "SHOW replication.read_index";

/// SQLSTATE with which a member that is not the primary, or is fenced, rejects a statement without
/// running it.
pub const NOT_PRIMARY: &str = "25006";

/// SQLSTATE of a fence or promotion that a member refuses because the member promised a higher term.
pub const TERM_TOO_LOW: &str = "55000";

/// SQLSTATE of class 08 for a commit with an unknown outcome.
pub const OUTCOME_UNKNOWN: &str = "08007";

/// SQLSTATE with which a member refuses a connection above its connection limit.
pub const TOO_MANY_CONNECTIONS: &str = "53300";

/// Returns the statement that makes a member promise `term`. The member then stops acknowledging
/// commits and replication of lower terms. The answer is one row: `promised_term`, `last_position`.
/// Repeating the statement with the same term has no further effect.
#[must_use]
pub fn fence_statement(term: Term) -> String {
    format!("ALTER SYSTEM FENCE TERM {term}")
}

/// Returns the statement that makes a fenced member the primary of a term that the member promised.
/// The member answers once a majority holds an entry of that term, with one row: `position`.
#[must_use]
pub fn promote_statement(term: Term) -> String {
    format!("ALTER SYSTEM PROMOTE TERM {term}")
}

/// Role of a member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// Accepts writes in its term.
    Primary,
    /// Replicates from a primary.
    Replica,
    /// Promised a term that has no primary yet.
    Fenced,
}

/// Status that a member reports in answer to [`SHOW_STATUS`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Name of the member.
    pub member: MemberName,
    /// Role of the member.
    pub role: MemberRole,
    /// Highest term that the member promised.
    pub promised_term: Term,
    /// Term and index of the last entry of the member's log, committed or not.
    pub last_position: Position,
    /// Position up to which reads on the member see the log.
    pub applied_position: Position,
}

/// Error of a status row that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StatusError {
    /// A column is missing or cannot be parsed.
    #[error("column {column} of the member's status holds {value:?}")]
    Column {
        /// Name of the column.
        column: &'static str,
        /// Value of the column, `None` if the column is missing or null.
        value: Option<String>,
    },
}

impl MemberStatus {
    /// Parses the columns of the row that answers [`SHOW_STATUS`].
    ///
    /// # Errors
    /// [`StatusError`] names the first column that is missing or malformed.
    pub fn from_columns(columns: &[Option<&str>]) -> Result<Self, StatusError> {
        let column = |index: usize| columns.get(index).copied().flatten();
        let invalid_column = |index: usize| StatusError::Column {
            column: STATUS_COLUMNS[index],
            value: column(index).map(str::to_owned),
        };
        let role = match column(1) {
            Some("primary") => MemberRole::Primary,
            Some("replica") => MemberRole::Replica,
            Some("fenced") => MemberRole::Fenced,
            _ => return Err(invalid_column(1)),
        };
        let position = |index: usize| {
            let text = column(index).ok_or_else(|| invalid_column(index))?;
            text.parse::<Position>().map_err(|_| invalid_column(index))
        };
        let member = column(0).and_then(|text| MemberName::new(text).ok());
        let promised_term = column(2).and_then(|text| text.parse().ok());
        Ok(Self {
            member: member.ok_or_else(|| invalid_column(0))?,
            role,
            promised_term: Term(promised_term.ok_or_else(|| invalid_column(2))?),
            last_position: position(3)?,
            applied_position: position(4)?,
        })
    }
}
