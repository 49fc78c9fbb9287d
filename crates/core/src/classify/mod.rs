//! Decides from a statement's text where it may run.
//!
//! The decision is conservative: only what is surely a read is
//! [`Classification::Read`]; a text that has no valid tokens is a write, so
//! the primary sees it. Statements whose effect outlives their transaction cannot
//! work on shared server connections and are refused before they run.
//!
//! Owns nothing but the words that it goes by. Relies on a tokenizer, not on a parser: see `read`.

mod cache;
mod functions;
mod local;
mod read;
mod refused;
mod statements;

pub use cache::ProfileCache;
pub use local::{IDEMPOTENCY_KEY_SETTING, LocalStatement, TOKEN_SETTING};
pub use refused::Unsupported;

use statements::{Words, split_statements};

/// Longest text that may be a read, in bytes; a longer one is a write. Chosen, not measured: a bound on the time
/// that one caller's text takes.
pub const PARSED_TEXT_LIMIT: usize = 64 * 1024;

/// What may be done with a text of one or more statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Classification {
    /// Surely reads only; a replica may serve it.
    Read,
    /// Anything else; the primary serves it.
    Write,
    /// Answered by the edge.
    Local(LocalStatement),
    /// Refused before it runs.
    Refused(Unsupported),
}

/// Classifies the text of a simple query or of a statement to prepare.
#[must_use]
pub fn classify(text: &str) -> Classification {
    let Some(statements) = split_statements(text) else {
        return Classification::Write;
    };
    if let Some(unsupported) = statements.iter().find_map(refused::unsupported) {
        return Classification::Refused(unsupported);
    }
    match statements.as_slice() {
        [] => Classification::Local(LocalStatement::Empty),
        [statement] => classify_one(text, statement),
        several => classify_several(text, several),
    }
}

fn classify_one(text: &str, statement: &Words) -> Classification {
    match local::local_statement(statement) {
        Some(Ok(local)) => Classification::Local(local),
        Some(Err(unsupported)) => Classification::Refused(unsupported),
        None => by_reads(text, std::slice::from_ref(statement)),
    }
}

fn classify_several(text: &str, statements: &[Words]) -> Classification {
    if statements.iter().any(|statement| local::local_statement(statement).is_some()) {
        return Classification::Refused(Unsupported::EdgeStatementAmongOthers);
    }
    by_reads(text, statements)
}

fn by_reads(text: &str, statements: &[Words]) -> Classification {
    let reads = text.len() <= PARSED_TEXT_LIMIT && statements.iter().all(read::only_reads);
    if reads { Classification::Read } else { Classification::Write }
}

/// What a text that has run leaves behind of a transaction block.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BlockEffect {
    /// The block there was, or none.
    #[default]
    None,
    /// An open block.
    Opens,
    /// No block.
    Ends,
}

impl BlockEffect {
    /// The effect of this text and then another.
    #[must_use]
    pub fn then(self, later: Self) -> Self {
        if later == Self::None { self } else { later }
    }
}

/// What the proxy must know of a text before it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementProfile {
    /// Where it may run.
    pub classification: Classification,
    /// Whether running it may commit a transaction that is open.
    pub may_commit: bool,
    /// Whether it only starts a transaction: running it twice harms nobody.
    pub only_starts_transaction: bool,
    /// Whether it only ends a transaction block.
    pub only_ends_transaction: bool,
    /// What it leaves behind of a transaction block.
    pub block: BlockEffect,
}

impl StatementProfile {
    /// The profile of a text.
    #[must_use]
    pub fn of(text: &str) -> Self {
        let statements = split_statements(text);
        Self {
            classification: classify(text),
            may_commit: statements.as_deref().is_none_or(|all| all.iter().any(commits)),
            only_starts_transaction: statements
                .as_deref()
                .is_some_and(|all| all.len() == 1 && all.iter().all(starts_transaction)),
            only_ends_transaction: statements
                .as_deref()
                .is_some_and(|all| all.len() == 1 && block_effect(all) == BlockEffect::Ends),
            block: statements.as_deref().map_or(BlockEffect::None, block_effect),
        }
    }
}

fn commits(statement: &Words) -> bool {
    statement.is_word(0, "commit") || statement.is_word(0, "end")
}

fn starts_transaction(statement: &Words) -> bool {
    statement.is_word(0, "begin") || statement.starts_with(&["start", "transaction"])
}

fn block_effect(statements: &[Words]) -> BlockEffect {
    statements.iter().map(effect_of_one).fold(BlockEffect::None, BlockEffect::then)
}

fn effect_of_one(statement: &Words) -> BlockEffect {
    let ends = ["commit", "end", "rollback", "abort"].iter().any(|word| statement.is_word(0, word));
    let of_prepared = statement.is_word(1, "prepared");
    if starts_transaction(statement) || (ends && statement.contains(&["and", "chain"])) {
        BlockEffect::Opens
    } else if ends && !of_prepared && !statement.contains(&["to"]) {
        BlockEffect::Ends
    } else {
        BlockEffect::None
    }
}
