//! Session tokens: the position of each group that a session has seen.
//!
//! A token has a text form that a caller may carry from one proxy to another. The positions in a token never
//! decrease.

use crate::identity::{GroupName, NameError};
use crate::position::{Position, PositionError};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Maximum number of groups in a token, which bounds what a caller may send.
pub const TOKEN_GROUP_LIMIT: usize = 1_024;

/// Reason why a text is not a token.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// A part is not `GROUP=TERM/INDEX`.
    #[error("{0:?} is not of the form GROUP=TERM/INDEX")]
    Part(String),
    /// The name of a group is not valid.
    #[error("the token names no valid group")]
    Group(#[from] NameError),
    /// A position is malformed.
    #[error(transparent)]
    Position(#[from] PositionError),
    /// The token contains more than [`TOKEN_GROUP_LIMIT`] groups.
    #[error("the token names more than {TOKEN_GROUP_LIMIT} groups")]
    TooManyGroups,
}

/// The positions that a session has seen, by group.
///
/// The text form is a comma-separated list of `GROUP=TERM/INDEX`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionToken {
    positions: BTreeMap<GroupName, Position>,
}

impl SessionToken {
    /// Returns the position that the session has seen of a group.
    #[must_use]
    pub fn position(&self, group: &GroupName) -> Option<Position> {
        self.positions.get(group).copied()
    }

    /// Records that the session has seen a position of a group. The recorded position becomes the one that
    /// covers the old and the new one, so it never decreases.
    pub fn advance(&mut self, group: &GroupName, position: Position) {
        let seen = self.positions.entry(group.clone()).or_default();
        *seen = seen.merge(position);
    }

    /// Adds all positions of another token, or none on an error.
    ///
    /// # Errors
    /// [`TokenError::TooManyGroups`] if both tokens together contain too many groups.
    pub fn merge(&mut self, other: &Self) -> Result<(), TokenError> {
        let added_groups =
            other.positions.keys().filter(|group| !self.positions.contains_key(*group));
        if self.positions.len() + added_groups.count() > TOKEN_GROUP_LIMIT {
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
        for (index, (group, position)) in self.positions.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
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
