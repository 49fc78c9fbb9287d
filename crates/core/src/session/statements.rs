//! A session's prepared statements and the names they share on server connections.
//!
//! Owns the caller's names and texts; on server connections a statement is known by a hash of its text and types, so
//! that sessions share it.

use crate::classify::StatementProfile;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::sync::Arc;

/// Name that no shared statement ever has: closing it does nothing.
pub const MISSING_STATEMENT: &str = "ct_none";

/// Most bytes of text that the prepared statements of a session hold. Chosen, not measured: a bound on memory.
pub const TEXT_LIMIT: usize = 32 * 1024 * 1024;

/// Keys of the hash behind shared names: fixed, so that all proxies agree.
const HASH_KEYS: (u64, u64) = (0x636f_726b_7461_636b, 0x7374_6174_656d_656e);

/// Name on server connections of a statement with this text and these types.
#[must_use]
pub fn shared_name(query: &str, parameter_types: &[u32]) -> String {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    query.hash(&mut hasher);
    parameter_types.hash(&mut hasher);
    format!("ct_{:032x}", hasher.finish128().as_u128())
}

/// A statement that the caller prepared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionStatement {
    /// Its name on server connections.
    pub shared_name: String,
    /// Its text.
    pub query: String,
    /// The parameter types that the caller gave.
    pub parameter_types: Vec<u32>,
    /// What its text may do.
    pub profile: Arc<StatementProfile>,
}

/// Why a message on a prepared statement is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// The name is taken.
    #[error("prepared statement {0:?} already exists")]
    Duplicate(String),
    /// The name is not known.
    #[error("prepared statement {0:?} does not exist")]
    Unknown(String),
    /// The session has too many statements.
    #[error("a session may have {0} prepared statements")]
    TooMany(usize),
    /// The session's statements are too long together.
    #[error("the prepared statements of a session may have {0} bytes of text")]
    TooMuchText(usize),
}

/// What a message will do to the session's statements once the back end has done it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementEffect {
    /// `Parse`: takes effect with `ParseComplete`.
    Define(String, Arc<SessionStatement>),
    /// `Close` of a statement: takes effect with `CloseComplete`.
    Forget(String),
    /// `Close` of a portal: no effect here.
    ClosePortal,
}

/// The prepared statements of a session by the caller's names.
///
/// Effects of a batch are visible to its later messages at once, and lasting
/// only when the back end has confirmed them.
#[derive(Debug)]
pub struct SessionStatements {
    limit: usize,
    lasting: HashMap<String, Arc<SessionStatement>>,
    /// Bytes of text of the lasting ones.
    bytes: usize,
    pending: VecDeque<StatementEffect>,
    /// Statements that the batch so far defines.
    defined: usize,
    /// What the batch so far makes of each name it touched: a statement or nothing.
    touched: HashMap<String, Option<Arc<SessionStatement>>>,
}

impl SessionStatements {
    /// No statements yet; at most this many.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            lasting: HashMap::new(),
            bytes: 0,
            pending: VecDeque::new(),
            defined: 0,
            touched: HashMap::new(),
        }
    }

    /// The statement of this name, as the next message of the batch sees it.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<Arc<SessionStatement>> {
        match self.touched.get(name) {
            Some(touched) => touched.clone(),
            None => self.lasting.get(name).cloned(),
        }
    }

    /// Notes a `Parse`; the unnamed statement may be parsed again, a named one not.
    /// Texts that are still pending do not count: a batch is bounded itself.
    ///
    /// # Errors
    /// [`StatementError`] when the name is taken or the session has too many.
    pub fn define(
        &mut self,
        name: &str,
        statement: SessionStatement,
    ) -> Result<(), StatementError> {
        if !name.is_empty() && self.find(name).is_some() {
            return Err(StatementError::Duplicate(name.to_owned()));
        }
        if self.lasting.len() + self.defined >= self.limit {
            return Err(StatementError::TooMany(self.limit));
        }
        let replaced = self.lasting.get(name).map_or(0, |known| known.query.len());
        if self.bytes - replaced + statement.query.len() > TEXT_LIMIT {
            return Err(StatementError::TooMuchText(TEXT_LIMIT));
        }
        let statement = Arc::new(statement);
        self.defined += 1;
        self.touched.insert(name.to_owned(), Some(statement.clone()));
        self.pending.push_back(StatementEffect::Define(name.to_owned(), statement));
        Ok(())
    }

    /// Notes a `Close` of a statement.
    pub fn forget(&mut self, name: &str) {
        self.touched.insert(name.to_owned(), None);
        self.pending.push_back(StatementEffect::Forget(name.to_owned()));
    }

    /// Notes a `Close` of a portal.
    pub fn close_portal(&mut self) {
        self.pending.push_back(StatementEffect::ClosePortal);
    }

    /// The back end has done the next pending `Parse` or `Close`.
    pub fn confirm(&mut self) {
        match self.pending.pop_front() {
            Some(StatementEffect::Define(name, statement)) => {
                self.defined -= 1;
                self.remove(&name);
                self.bytes += statement.query.len();
                self.lasting.insert(name, statement);
            }
            Some(StatementEffect::Forget(name)) => self.remove(&name),
            Some(StatementEffect::ClosePortal) | None => {}
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(removed) = self.lasting.remove(name) {
            self.bytes -= removed.query.len();
        }
    }

    /// The batch is over: what was not confirmed did not happen.
    pub fn end_batch(&mut self) {
        self.pending.clear();
        self.touched.clear();
        self.defined = 0;
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.lasting.clear();
        self.bytes = 0;
        self.end_batch();
    }
}
