//! Session tokens: what a session has seen of each group.
//!
//! Owns the text form, which a caller may carry from one proxy to another, and the rule that positions only grow.

use crate::identity::{GroupName, NameError};
use crate::position::{Position, PositionError};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Most groups that a token may name. Chosen, not measured: a bound on what a caller may send.
pub const TOKEN_GROUP_LIMIT: usize = 1_024;

/// Why a text is not a token.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// A part is not `GROUP=TERM/INDEX`.
    #[error("{0:?} is not of the form GROUP=TERM/INDEX")]
    Part(String),
    /// A group has no valid name.
    #[error("the token names no valid group")]
    Group(#[from] NameError),
    /// A position is malformed.
    #[error(transparent)]
    Position(#[from] PositionError),
    /// The token names too many groups.
    #[error("the token names more than {TOKEN_GROUP_LIMIT} groups")]
    TooManyGroups,
}

/// The positions that a session has seen, by group.
///
/// As text: `GROUP=TERM/INDEX`, several joined by `,`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionToken {
    positions: BTreeMap<GroupName, Position>,
}

impl SessionToken {
    /// What the session has seen of a group.
    #[must_use]
    pub fn position(&self, group: &GroupName) -> Option<Position> {
        self.positions.get(group).copied()
    }

    /// Adds what the session has seen; a position never goes back.
    pub fn advance(&mut self, group: &GroupName, position: Position) {
        let seen = self.positions.entry(group.clone()).or_default();
        *seen = seen.merge(position);
    }

    /// Adds everything that another token has seen, or nothing.
    ///
    /// # Errors
    /// [`TokenError::TooManyGroups`] when both together name too many groups.
    pub fn merge(&mut self, other: &Self) -> Result<(), TokenError> {
        let added = other.positions.keys().filter(|group| !self.positions.contains_key(*group));
        if self.positions.len() + added.count() > TOKEN_GROUP_LIMIT {
            return Err(TokenError::TooManyGroups);
        }
        for (group, position) in &other.positions {
            self.advance(group, *position);
        }
        Ok(())
    }
}

impl fmt::Display for SessionToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, (group, position)) in self.positions.iter().enumerate() {
            let separator = if place == 0 { "" } else { "," };
            write!(formatter, "{separator}{group}={position}")?;
        }
        Ok(())
    }
}

impl FromStr for SessionToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        let mut token = Self::default();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (group, position) =
                part.split_once('=').ok_or_else(|| TokenError::Part(part.to_owned()))?;
            token.advance(&group.parse()?, position.parse()?);
            if token.positions.len() > TOKEN_GROUP_LIMIT {
                return Err(TokenError::TooManyGroups);
            }
        }
        Ok(token)
    }
}
