//! Session values and prepared statements, as promised to a session and as present on a connection.
//!
//! Prepared statement names given by callers exist in the session only. Before a statement runs on
//! a pooled connection, the connection is brought to exactly the session's values. A connection
//! identifies prepared statements by their shape and gives them names of its own.
//!
//! [`SessionProfile`] owns what one session was promised, and [`ConnectionProfile`] what one
//! connection has. Both rely on the gateway to run the statements that align a connection with a
//! session, and to report which of these the member completed.

use crate::statement::{OwnStatement, PreparedShape};
use crate::text::shortened;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of prepared statements on a connection. Beyond the limit the connection is reset
/// and starts over. With a higher limit, members keep more state for idle connections; with a lower
/// one, statements are prepared again more often.
const PREPARED_LIMIT: usize = 64;

/// Largest size of a session's values and prepared statements together, in bytes, and their largest number.
/// The size holds more than one value of the size of a whole message. Higher limits let one session take more
/// memory, on this gateway and on the connections that are brought to its values.
const MAX_SESSION_BYTES: usize = 2 * 1024 * 1024;
const MAX_SESSION_ENTRIES: usize = 1_000;
/// Memory that a value or prepared statement takes beside its texts, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// A prepared statement name that the session does not have; the start of a long one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no prepared statement has the name {0:?}")]
pub struct UnknownPreparedStatement(pub String);

impl UnknownPreparedStatement {
    fn new(name: &str) -> Self {
        Self(shortened(name).to_owned())
    }
}

/// A session would have more or larger values and prepared statements than is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "a session has at most {MAX_SESSION_ENTRIES} values and prepared statements, of {MAX_SESSION_BYTES} bytes together"
)]
pub struct SessionFull;

/// Values and prepared statements of a session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionProfile {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, PreparedShape>,
}

impl SessionProfile {
    /// Sets a session value.
    ///
    /// # Errors
    /// [`SessionFull`] if the session would hold too much; nothing is changed.
    pub fn set(&mut self, name: String, value: String) -> Result<(), SessionFull> {
        let replaced = self.values.get(&name).map(|value| value_bytes(&name, value));
        self.check_room(replaced, value_bytes(&name, &value))?;
        self.values.insert(name, value);
        Ok(())
    }

    /// Stores a prepared statement under a name, replacing an earlier one of the same name.
    ///
    /// # Errors
    /// [`SessionFull`] if the session would hold too much; nothing is changed.
    pub fn prepare(&mut self, name: String, shape: PreparedShape) -> Result<(), SessionFull> {
        let replaced = self.prepared.get(&name).map(|shape| value_bytes(&name, &shape.text));
        self.check_room(replaced, value_bytes(&name, &shape.text))?;
        self.prepared.insert(name, shape);
        Ok(())
    }

    /// Checks that an entry may be added, in place of one that takes `replaced` bytes.
    fn check_room(&self, replaced: Option<usize>, added: usize) -> Result<(), SessionFull> {
        let entries = self.values.len() + self.prepared.len() + usize::from(replaced.is_none());
        let bytes = self.bytes() - replaced.unwrap_or_default() + added;
        if entries > MAX_SESSION_ENTRIES || bytes > MAX_SESSION_BYTES {
            return Err(SessionFull);
        }
        Ok(())
    }

    /// Returns the memory that the values and prepared statements take, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let values = self.values.iter().map(|(name, value)| value_bytes(name, value));
        let prepared = self.prepared.iter().map(|(name, shape)| value_bytes(name, &shape.text));
        values.sum::<usize>() + prepared.sum::<usize>()
    }

    /// Returns the statement that was prepared under a name.
    ///
    /// # Errors
    /// [`UnknownPreparedStatement`] if the session has no such statement.
    pub fn shape(&self, name: &str) -> Result<&PreparedShape, UnknownPreparedStatement> {
        self.prepared.get(name).ok_or_else(|| UnknownPreparedStatement::new(name))
    }

    /// Returns a copy with the values and without the prepared statements, for a gateway that runs
    /// a single statement of the session.
    #[must_use]
    pub fn values_only(&self) -> Self {
        Self { values: self.values.clone(), prepared: BTreeMap::new() }
    }

    /// Removes a prepared statement.
    ///
    /// # Errors
    /// [`UnknownPreparedStatement`] if the session has no such statement.
    pub fn deallocate(&mut self, name: &str) -> Result<(), UnknownPreparedStatement> {
        self.prepared.remove(name).map(drop).ok_or_else(|| UnknownPreparedStatement::new(name))
    }
}

/// Returns the memory that an entry of a session takes, in bytes.
const fn value_bytes(name: &str, text: &str) -> usize {
    name.len() + text.len() + ENTRY_OVERHEAD_BYTES
}

/// Values and prepared statements of a connection to a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionProfile {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<PreparedShape, String>,
    names_given: u64,
    /// Whether the state at the member is unknown. A reset clears the flag.
    unknown: bool,
}

impl ConnectionProfile {
    /// Returns the number of statements that would bring the connection to the session's values.
    /// The connection pool uses it to choose among idle connections.
    #[must_use]
    pub fn distance(&self, session: &SessionProfile) -> usize {
        if !self.unknown && self.values == session.values {
            return 0;
        }
        if self.needs_reset(session) {
            return 1 + session.values.len();
        }
        self.differing(session).count()
    }

    fn needs_reset(&self, session: &SessionProfile) -> bool {
        self.unknown || self.values.keys().any(|name| !session.values.contains_key(name))
    }

    fn differing<'s>(
        &'s self,
        session: &'s SessionProfile,
    ) -> impl Iterator<Item = (&'s String, &'s String)> {
        session.values.iter().filter(|(name, value)| self.values.get(*name) != Some(*value))
    }

    /// Returns the memory that the values and prepared statements take, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let values = self.values.iter().map(|(name, value)| value_bytes(name, value));
        let prepared = self.prepared.iter().map(|(shape, name)| value_bytes(name, &shape.text));
        values.sum::<usize>() + prepared.sum::<usize>()
    }

    /// Returns the statements that bring the connection to exactly the session's values, in order.
    #[must_use]
    pub fn alignment(&self, session: &SessionProfile) -> Vec<OwnStatement> {
        let set = |(name, value): (&String, &String)| OwnStatement::Set {
            name: name.clone(),
            value: value.clone(),
        };
        if self.needs_reset(session) {
            let all = session.values.iter().map(set);
            return std::iter::once(OwnStatement::Reset).chain(all).collect();
        }
        self.differing(session).map(set).collect()
    }

    /// Returns the connection's name for a shape, and the statement that prepares the shape under
    /// this name if the connection does not have it yet.
    pub fn name_for(&mut self, shape: &PreparedShape) -> (String, Option<OwnStatement>) {
        if let Some(name) = self.prepared.get(shape) {
            return (name.clone(), None);
        }
        self.names_given += 1;
        let name = format!("p{}", self.names_given);
        let prepare = OwnStatement::Prepare { name: name.clone(), shape: shape.clone() };
        (name, Some(prepare))
    }

    /// Applies the effect of one of the gateway's own statements that the member completed.
    pub fn apply_completed(&mut self, statement: &OwnStatement) {
        match statement {
            OwnStatement::Reset => {
                self.values.clear();
                self.prepared.clear();
                self.unknown = false;
            }
            OwnStatement::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
            }
            OwnStatement::Prepare { name, shape } => {
                self.prepared.insert(shape.clone(), name.clone());
                self.unknown |= self.prepared.len() > PREPARED_LIMIT;
            }
            _ => (),
        }
    }

    /// Marks the state at the member as unknown, for example after a statement was sent inside a
    /// transaction that was rolled back.
    pub fn mark_unknown(&mut self) {
        self.unknown = true;
    }
}
