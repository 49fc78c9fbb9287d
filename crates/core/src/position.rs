//! Terms and log positions of a database group, their order and their text form.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Term of a group's primary. A member that has accepted a term refuses lower ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// A committed log position, with the term under which it was observed.
///
/// Positions are ordered by term, then by index. Committed positions of one group are totally
/// ordered, because a primary of a higher term holds every entry that was committed under lower
/// terms.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the member that reported the position.
    pub term: Term,
    /// Index in the group's log; the first entry has index 1.
    pub index: u64,
}

impl Position {
    /// Reports whether a member that has applied `self` holds everything up to `needed`.
    #[must_use]
    pub fn covers(self, needed: Self) -> bool {
        self.term >= needed.term && self.index >= needed.index
    }

    /// Returns the lowest position that covers both.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self { term: self.term.max(other.term), index: self.index.max(other.index) }
    }
}

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.term, self.index)
    }
}

/// A text that is not a position of the form `TERM/INDEX`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a position of the form TERM/INDEX")]
pub struct PositionError(pub String);

impl FromStr for Position {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let parse = || {
            let (term, index) = text.split_once('/')?;
            let term = Term(term.parse().ok()?);
            let index = index.parse().ok()?;
            Some(Self { term, index })
        };
        parse().ok_or_else(|| PositionError(text.to_owned()))
    }
}
