//! Typed names and ids of groups, members, classes, bindings, proxies, zones and replicas.
//!
//! Names are checked when they are constructed or decoded, so every value of a name type is valid. Names
//! are stored and sent between processes.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum length of any name, in bytes.
pub const NAME_LIMIT: usize = 63;

/// Reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The name is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The name is longer than [`NAME_LIMIT`].
    #[error("a name has {0} bytes, at most {NAME_LIMIT} are allowed")]
    TooLong(usize),
    /// The name contains a character outside `a-z A-Z 0-9 . _ -`.
    #[error("a name must not hold the character {0:?}")]
    Character(char),
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_LIMIT {
        return Err(NameError::TooLong(text.len()));
    }
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || matches!(character, '.' | '_' | '-');
    match text.chars().find(|character| !is_allowed(*character)) {
        Some(character) => Err(NameError::Character(character)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name after checking the text.
            ///
            /// # Errors
            /// [`NameError`] if the text is empty, too long or contains a character that is not allowed.
            pub fn new(text: impl Into<String>) -> Result<Self, NameError> {
                let text = text.into();
                check_name(&text)?;
                Ok(Self(text))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a database group (a replica set).
    GroupName
);
name_type!(
    /// Name of a back end, unique within its group.
    MemberName
);
name_type!(
    /// Name of a priority class.
    ClassName
);
name_type!(
    /// Name of a binding of callers to a priority class.
    BindingName
);
name_type!(
    /// Name of a proxy process, which stays the same over restarts.
    ProxyName
);
name_type!(
    /// Name of a zone. Zones of the same region share the text before the first `.`.
    ZoneName
);

impl ZoneName {
    /// Returns the region: the text before the first `.`.
    #[must_use]
    pub fn region(&self) -> &str {
        self.as_str().split('.').next().unwrap_or_default()
    }
}

/// Number that a process draws anew at every start, so that its incarnations can be told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Id of a control replica. A replica that lost its disk gets a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
