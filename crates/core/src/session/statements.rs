//! Prepared statements of a session.
//!
//! [`SessionStatements`] maps the caller's names to texts. On server connections the name of a statement is a
//! hash of its text and parameter types, so that sessions share the statement.

use crate::classify::StatementProfile;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::sync::Arc;

/// Name that no shared statement ever has, so that closing the statement of this name has no effect.
pub const MISSING_STATEMENT: &str = "ct_none";

/// Maximum total length of the texts of a session's prepared statements, in bytes, which bounds the memory of
/// a session.
pub const TEXT_LIMIT: usize = 32 * 1024 * 1024;

/// Keys of the hash in shared names, fixed so that all proxies compute the same names.
const HASH_KEYS: (u64, u64) = (0x636f_726b_7461_636b, 0x7374_6174_656d_656e);

/// Returns the name on server connections of a statement with this text and these parameter types.
#[must_use]
pub fn shared_name(query: &str, parameter_types: &[u32]) -> String {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    query.hash(&mut hasher);
    parameter_types.hash(&mut hasher);
    format!("ct_{:032x}", hasher.finish128().as_u128())
}

/// Prepared statement of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionStatement {
    /// Name of the statement on server connections.
    pub shared_name: String,
    /// Text of the statement.
    pub query: String,
    /// Object ids of the parameter types that the caller gave.
    pub parameter_types: Vec<u32>,
    /// Classification of the text.
    pub profile: Arc<StatementProfile>,
}

/// Reason why a message about a prepared statement is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// A statement has this name already.
    #[error("prepared statement {0:?} already exists")]
    Duplicate(String),
    /// No statement has this name.
    #[error("prepared statement {0:?} does not exist")]
    Unknown(String),
    /// The session has too many statements.
    #[error("a session may have {0} prepared statements")]
    TooMany(usize),
    /// The texts of the session's statements are too long together.
    #[error("the prepared statements of a session may have {0} bytes of text")]
    TooMuchText(usize),
}

/// Change of a session's statements that takes effect when the back end confirms the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementEffect {
    /// `Parse`: takes effect with `ParseComplete`.
    Define(String, Arc<SessionStatement>),
    /// `Close` of a statement: takes effect with `CloseComplete`.
    Forget(String),
    /// `Close` of a portal: does not change the statements.
    ClosePortal,
}

/// The prepared statements of a session by the caller's names.
///
/// Changes made by a message are visible to the later messages of the batch at once, but survive the
/// batch only if the back end confirms them.
#[derive(Debug)]
pub struct SessionStatements {
    limit: usize,
    confirmed: HashMap<String, Arc<SessionStatement>>,
    /// Total length of the texts of `confirmed`, in bytes.
    confirmed_bytes: usize,
    pending: VecDeque<StatementEffect>,
    /// Number of statements that the batch has defined and the back end has not confirmed.
    pending_definitions: usize,
    /// Statement of each name that the batch changed, `None` for a closed statement.
    batch_changes: HashMap<String, Option<Arc<SessionStatement>>>,
}

impl SessionStatements {
    /// Returns an empty collection for at most `limit` statements.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            confirmed: HashMap::new(),
            confirmed_bytes: 0,
            pending: VecDeque::new(),
            pending_definitions: 0,
            batch_changes: HashMap::new(),
        }
    }

    /// Returns the statement of this name as the next message of the batch sees it.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<Arc<SessionStatement>> {
        match self.batch_changes.get(name) {
            Some(statement) => statement.clone(),
            None => self.confirmed.get(name).cloned(),
        }
    }

    /// Records a `Parse`. The unnamed statement may be replaced, a named one may not. Texts that are not
    /// confirmed yet do not count towards [`TEXT_LIMIT`], since the size of a batch is bounded.
    ///
    /// # Errors
    /// [`StatementError`] if the name is taken, or the session has too many statements or too much text.
    pub fn define(
        &mut self,
        name: &str,
        statement: SessionStatement,
    ) -> Result<(), StatementError> {
        if !name.is_empty() && self.find(name).is_some() {
            return Err(StatementError::Duplicate(name.to_owned()));
        }
        if self.confirmed.len() + self.pending_definitions >= self.limit {
            return Err(StatementError::TooMany(self.limit));
        }
        let replaced_bytes = self.confirmed.get(name).map_or(0, |statement| statement.query.len());
        if self.confirmed_bytes - replaced_bytes + statement.query.len() > TEXT_LIMIT {
            return Err(StatementError::TooMuchText(TEXT_LIMIT));
        }
        let statement = Arc::new(statement);
        self.pending_definitions += 1;
        self.batch_changes.insert(name.to_owned(), Some(statement.clone()));
        self.pending.push_back(StatementEffect::Define(name.to_owned(), statement));
        Ok(())
    }

    /// Records a `Close` of a statement.
    pub fn forget(&mut self, name: &str) {
        self.batch_changes.insert(name.to_owned(), None);
        self.pending.push_back(StatementEffect::Forget(name.to_owned()));
    }

    /// Records a `Close` of a portal.
    pub fn close_portal(&mut self) {
        self.pending.push_back(StatementEffect::ClosePortal);
    }

    /// Makes the next pending `Parse` or `Close` permanent, after the back end confirmed it.
    pub fn confirm(&mut self) {
        match self.pending.pop_front() {
            Some(StatementEffect::Define(name, statement)) => {
                self.pending_definitions -= 1;
                self.remove(&name);
                self.confirmed_bytes += statement.query.len();
                self.confirmed.insert(name, statement);
            }
            Some(StatementEffect::Forget(name)) => self.remove(&name),
            Some(StatementEffect::ClosePortal) | None => {}
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(removed) = self.confirmed.remove(name) {
            self.confirmed_bytes -= removed.query.len();
        }
    }

    /// Ends the batch and discards the changes that were not confirmed.
    pub fn end_batch(&mut self) {
        self.pending.clear();
        self.batch_changes.clear();
        self.pending_definitions = 0;
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        self.confirmed.clear();
        self.confirmed_bytes = 0;
        self.end_batch();
    }
}
