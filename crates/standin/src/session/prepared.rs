//! Prepared statements and portals of a session.

use crate::entry::Value;
use crate::sql::run::Description;
use crate::sql::{SqlError, Statement};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

/// A parsed and described statement.
#[derive(Debug)]
pub struct Prepared {
    /// The statement; `None` for an empty query string.
    pub statement: Option<Statement>,
    /// Its parameters and columns.
    pub description: Description,
}

/// A prepared statement with bound parameters.
#[derive(Clone, Debug)]
pub struct Portal {
    /// What runs.
    pub prepared: Arc<Prepared>,
    /// Values of the parameters.
    pub parameters: Vec<Value>,
    /// Format codes of the result columns, as bound.
    pub formats: Vec<i16>,
}

/// Named statements and portals; the empty name is replaced freely.
#[derive(Default)]
pub struct PreparedSet {
    statements: HashMap<String, Arc<Prepared>>,
    portals: HashMap<String, Portal>,
}

impl PreparedSet {
    /// Adds a statement.
    ///
    /// # Errors
    /// The name is taken.
    pub fn add_statement(&mut self, name: String, prepared: Prepared) -> Result<(), SqlError> {
        match self.statements.entry(name) {
            Entry::Occupied(taken) if !taken.key().is_empty() => {
                Err(SqlError::DuplicateStatement(taken.key().clone()))
            }
            Entry::Occupied(mut unnamed) => {
                unnamed.insert(Arc::new(prepared));
                Ok(())
            }
            Entry::Vacant(free) => {
                free.insert(Arc::new(prepared));
                Ok(())
            }
        }
    }

    /// A statement by its name.
    ///
    /// # Errors
    /// There is none of that name.
    pub fn statement(&self, name: &str) -> Result<Arc<Prepared>, SqlError> {
        let found = self.statements.get(name).cloned();
        found.ok_or_else(|| SqlError::UnknownStatement(name.to_owned()))
    }

    /// Adds or replaces a portal.
    pub fn add_portal(&mut self, name: String, portal: Portal) {
        self.portals.insert(name, portal);
    }

    /// A portal by its name.
    ///
    /// # Errors
    /// There is none of that name.
    pub fn portal(&self, name: &str) -> Result<Portal, SqlError> {
        let found = self.portals.get(name).cloned();
        found.ok_or_else(|| SqlError::UnknownPortal(name.to_owned()))
    }

    /// Forgets a statement; one that does not exist is no error.
    pub fn remove_statement(&mut self, name: &str) -> bool {
        self.statements.remove(name).is_some()
    }

    /// Forgets a portal; one that does not exist is no error.
    pub fn remove_portal(&mut self, name: &str) -> bool {
        self.portals.remove(name).is_some()
    }

    /// Forgets all statements.
    pub fn clear_statements(&mut self) {
        self.statements.clear();
    }

    /// Forgets all portals.
    pub fn clear_portals(&mut self) {
        self.portals.clear();
    }
}
