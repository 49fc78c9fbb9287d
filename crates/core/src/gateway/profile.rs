//! Session values and prepared statements: what a session was promised, what a connection has.
//!
//! Callers' names live in the session only. A pooled connection is brought to exactly the
//! session's values before a statement, and knows prepared statements by their shape under names
//! of its own.
//!
//! Owns what one session was promised and what one connection has. Relies on the gateway to run the statements
//! that bring the one to the other, and to note which of them the member completed.

use crate::statement::{OwnStatement, PreparedShape};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Prepared statements that a connection keeps; beyond it everything is dropped and begun anew. Chosen, not
/// measured: with more, members keep more for idle connections; with fewer, shapes are prepared again.
const PREPARED_LIMIT: usize = 64;

/// A prepared name that the session does not have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no prepared statement has the name {0:?}")]
pub struct UnknownName(pub String);

/// What a session was promised.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionProfile {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, PreparedShape>,
}

impl SessionProfile {
    /// Sets a value.
    pub fn set(&mut self, name: String, value: String) {
        self.values.insert(name, value);
    }

    /// Keeps a prepared statement; one of the same name is replaced.
    pub fn prepare(&mut self, name: String, shape: PreparedShape) {
        self.prepared.insert(name, shape);
    }

    /// What was prepared under a name.
    ///
    /// # Errors
    /// [`UnknownName`].
    pub fn shape(&self, name: &str) -> Result<&PreparedShape, UnknownName> {
        self.prepared.get(name).ok_or_else(|| UnknownName(name.to_owned()))
    }

    /// The values alone, for a gateway that runs one statement of the session.
    #[must_use]
    pub fn values_only(&self) -> Self {
        Self { values: self.values.clone(), prepared: BTreeMap::new() }
    }

    /// Forgets a prepared statement.
    ///
    /// # Errors
    /// [`UnknownName`].
    pub fn deallocate(&mut self, name: &str) -> Result<(), UnknownName> {
        self.prepared.remove(name).map(drop).ok_or_else(|| UnknownName(name.to_owned()))
    }
}

/// What a connection to a member has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionProfile {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<PreparedShape, String>,
    names_given: u64,
    /// Set when what the member holds is not known, until it is reset.
    unknown: bool,
}

impl ConnectionProfile {
    /// How many statements would bring the connection to the session's values; for the choice
    /// among idle ones.
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

    /// The statements that bring the connection to exactly the session's values, in order.
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

    /// The connection's name for a shape, and the statement that gives it one where it has none.
    pub fn name_for(&mut self, shape: &PreparedShape) -> (String, Option<OwnStatement>) {
        if let Some(name) = self.prepared.get(shape) {
            return (name.clone(), None);
        }
        self.names_given += 1;
        let name = format!("p{}", self.names_given);
        let prepare = OwnStatement::Prepare { name: name.clone(), shape: shape.clone() };
        (name, Some(prepare))
    }

    /// Notes a statement of the product's own that the member completed.
    pub fn completed(&mut self, statement: &OwnStatement) {
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

    /// Notes that what the member holds is not known: a statement was sent inside a transaction
    /// that was rolled back, say.
    pub fn mark_unknown(&mut self) {
        self.unknown = true;
    }
}
