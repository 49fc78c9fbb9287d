//! Decides from the text of a statement where the statement may run.
//!
//! The decision is conservative: a text is a [`Classification::Read`] only if it certainly writes nothing. A
//! text that cannot be tokenized is a write, so that the primary gets it. Statements whose effect outlives
//! their transaction cannot work on shared server connections and are refused before they run.
//!
//! The decision uses a tokenizer and lists of words, not a parser; module `read` says why.

mod cache;
mod functions;
mod local;
mod read;
mod refused;
mod statements;

pub use cache::ProfileCache;
pub use local::{IDEMPOTENCY_KEY_SETTING, LocalStatement, TOKEN_SETTING};
pub use refused::Unsupported;

use statements::{StatementTokens, split_statements};

/// Longest text that may be a read, in bytes. A longer text is a write, which bounds the time that the text
/// of one caller takes.
pub const PARSED_TEXT_LIMIT: usize = 64 * 1024;

/// Where a text of one or more statements may run, if anywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The text certainly only reads; a replica may serve it.
    Read,
    /// The text may write; the primary serves it.
    Write,
    /// The edge answers the statement itself.
    Local(LocalStatement),
    /// The text is refused before it runs.
    Refused(Unsupported),
}

/// Classifies the text of a simple query or of a statement to prepare.
#[must_use]
pub fn classify(text: &str) -> Classification {
    let Some(statements) = split_statements(text) else {
        return Classification::Write;
    };
    if let Some(unsupported) = statements.iter().find_map(refused::unsupported_reason) {
        return Classification::Refused(unsupported);
    }
    match statements.as_slice() {
        [] => Classification::Local(LocalStatement::Empty),
        [statement] => classify_single(text, statement),
        multiple => classify_multiple(text, multiple),
    }
}

fn classify_single(text: &str, statement: &StatementTokens) -> Classification {
    match local::local_statement(statement) {
        Some(Ok(local)) => Classification::Local(local),
        Some(Err(unsupported)) => Classification::Refused(unsupported),
        None => classify_read_or_write(text, std::slice::from_ref(statement)),
    }
}

fn classify_multiple(text: &str, statements: &[StatementTokens]) -> Classification {
    if statements.iter().any(|statement| local::local_statement(statement).is_some()) {
        return Classification::Refused(Unsupported::EdgeStatementAmongOthers);
    }
    classify_read_or_write(text, statements)
}

fn classify_read_or_write(text: &str, statements: &[StatementTokens]) -> Classification {
    let is_read = text.len() <= PARSED_TEXT_LIMIT && statements.iter().all(read::is_read_only);
    if is_read { Classification::Read } else { Classification::Write }
}

/// Effect of a text on the session's transaction block.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BlockEffect {
    /// The text leaves the transaction block as it was.
    #[default]
    None,
    /// A transaction block is open after the text.
    Opens,
    /// No transaction block is open after the text.
    Ends,
}

impl BlockEffect {
    /// Returns the effect of this text followed by another text with the effect `later`.
    #[must_use]
    pub fn then(self, later: Self) -> Self {
        if later == Self::None { self } else { later }
    }
}

/// Properties of a text that the proxy needs before the text runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementProfile {
    /// Where the text may run.
    pub classification: Classification,
    /// Whether the text may commit the open transaction.
    pub may_commit: bool,
    /// Whether the text only starts a transaction, so that running it twice is harmless.
    pub only_starts_transaction: bool,
    /// Whether the text only ends a transaction block.
    pub only_ends_transaction: bool,
    /// Effect on the transaction block.
    pub block: BlockEffect,
}

impl StatementProfile {
    /// Returns the profile of a text.
    #[must_use]
    pub fn of(text: &str) -> Self {
        let statements = split_statements(text);
        Self {
            classification: classify(text),
            may_commit: statements.as_deref().is_none_or(|parsed| parsed.iter().any(is_commit)),
            only_starts_transaction: statements
                .as_deref()
                .is_some_and(|parsed| parsed.len() == 1 && parsed.iter().all(starts_transaction)),
            only_ends_transaction: statements.as_deref().is_some_and(|parsed| {
                parsed.len() == 1 && block_effect(parsed) == BlockEffect::Ends
            }),
            block: statements.as_deref().map_or(BlockEffect::None, block_effect),
        }
    }
}

fn is_commit(statement: &StatementTokens) -> bool {
    statement.is_word(0, "commit") || statement.is_word(0, "end")
}

fn starts_transaction(statement: &StatementTokens) -> bool {
    statement.is_word(0, "begin") || statement.starts_with(&["start", "transaction"])
}

fn block_effect(statements: &[StatementTokens]) -> BlockEffect {
    statements.iter().map(statement_effect).fold(BlockEffect::None, BlockEffect::then)
}

fn statement_effect(statement: &StatementTokens) -> BlockEffect {
    let is_end =
        ["commit", "end", "rollback", "abort"].iter().any(|word| statement.is_word(0, word));
    let is_two_phase = statement.is_word(1, "prepared");
    if starts_transaction(statement) || (is_end && statement.contains(&["and", "chain"])) {
        BlockEffect::Opens
    } else if is_end && !is_two_phase && !statement.contains(&["to"]) {
        BlockEffect::Ends
    } else {
        BlockEffect::None
    }
}
