//! Turns a batch of the caller into what is sent on one server connection, and says what its texts may do.
//!
//! The module owns no state and does no I/O; it relies on `corktack_core` for what a text means and for the
//! books of a connection's prepared statements.

use crate::wire::{self, WireError};
use bytes::BytesMut;
use corktack_core::pool::replies::{ReplyTracker, Sent, front};
use corktack_core::pool::statements::{self, TransactionEnd};
use corktack_protocol::peer::{Batch, PreparedStatement};
use pgwire::messages::extendedquery::{Close, Parse};
use pgwire::messages::simplequery::Query;
use std::collections::{BTreeSet, HashMap};

/// Prepared statements kept on one connection. Chosen, not measured: with fewer, callers' statements are
/// prepared again and again, with more, each connection costs the back end more memory.
pub(crate) const STATEMENT_LIMIT: usize = 256;
/// Kind of a Close that names a statement.
const CLOSE_STATEMENT: u8 = b'S';

/// A batch that breaks the rules between edge and owner.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    /// A message is malformed.
    #[error("batch with a malformed message")]
    Wire(#[from] WireError),
    /// A message that a batch may not hold.
    #[error("batch with a message of tag {0}")]
    Tag(u8),
    /// The batch does not end with a Sync, a simple query or a Flush.
    #[error("batch without an end")]
    Incomplete,
    /// A Flush stands elsewhere than at the end of the batch.
    #[error("batch that goes on after a Flush")]
    AfterFlush,
}

/// What the texts of a batch say about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BatchFacts {
    /// It may leave session state behind.
    pub may_change_session: bool,
    /// It may commit an open transaction.
    pub may_commit: bool,
    /// It opens a transaction and does nothing else.
    pub only_begins: bool,
    /// It may open or end a transaction.
    pub controls_transaction: bool,
    /// It runs a statement, and does not only prepare or describe.
    pub executes: bool,
    /// It ends with a Flush: what it runs is committed by a later Sync.
    pub flushes: bool,
}

/// Finds out what a batch may do, without regard to a connection.
pub(crate) fn facts(batch: &Batch) -> Result<BatchFacts, BatchError> {
    let mut texts: Vec<String> = Vec::new();
    texts.extend(batch.prepared.iter().map(|statement| statement.query.clone()));
    let mut executes = false;
    let mut binds = false;
    let mut last = 0;
    let mut rest = BytesMut::from(batch.messages.as_slice());
    while let Some(message) = wire::split_message(&mut rest)? {
        if last == front::FLUSH {
            return Err(BatchError::AfterFlush);
        }
        match message.tag {
            front::QUERY => texts.push(wire::decode::<Query>(&message)?.query),
            front::PARSE => texts.push(wire::decode::<Parse>(&message)?.query),
            front::BIND => binds = true,
            front::EXECUTE => executes = true,
            _ => {}
        }
        last = message.tag;
    }
    if !rest.is_empty() || !matches!(last, front::QUERY | front::SYNC | front::FLUSH) {
        return Err(BatchError::Incomplete);
    }
    // The text behind a portal of an earlier batch is not at hand.
    let unseen = executes && (!binds || texts.is_empty());
    Ok(BatchFacts {
        may_change_session: texts.iter().any(|text| statements::may_change_session(text)),
        may_commit: unseen || texts.iter().any(|text| statements::may_commit(text)),
        only_begins: !unseen
            && !texts.is_empty()
            && texts.iter().all(|t| statements::only_begins(t)),
        controls_transaction: unseen
            || texts.iter().any(|text| statements::may_control_transaction(text)),
        executes: executes || last == front::QUERY,
        flushes: last == front::FLUSH,
    })
}

/// Texts of the statements that a batch relies on, by their names.
pub(crate) fn statement_texts(batch: &Batch) -> HashMap<String, String> {
    let named = batch.prepared.iter();
    named.map(|statement| (statement.name.clone(), statement.query.clone())).collect()
}

/// Whether a batch runs a statement, and does not only prepare or describe.
pub(crate) fn runs_something(batch: &Batch) -> bool {
    let mut rest = BytesMut::from(batch.messages.as_slice());
    while let Ok(Some(message)) = wire::split_message(&mut rest) {
        if matches!(message.tag, front::QUERY | front::EXECUTE) {
            return true;
        }
    }
    false
}

/// How a batch ends a transaction, if its one statement does nothing else.
pub(crate) fn only_ends(batch: &Batch) -> Option<TransactionEnd> {
    let mut texts: Vec<String> = statement_texts(batch).into_values().collect();
    let mut rest = BytesMut::from(batch.messages.as_slice());
    while let Ok(Some(message)) = wire::split_message(&mut rest) {
        match message.tag {
            front::QUERY => texts.push(wire::decode::<Query>(&message).ok()?.query),
            front::PARSE => texts.push(wire::decode::<Parse>(&message).ok()?.query),
            _ => {}
        }
    }
    let [text] = texts.as_slice() else {
        return None;
    };
    statements::only_ends(text)
}

/// Appends a batch to a connection's output: statements that are missing there
/// are prepared first, and ones that exist are not prepared again.
pub(crate) fn queue(
    batch: &Batch,
    tracker: &mut ReplyTracker,
    output: &mut BytesMut,
) -> Result<(), BatchError> {
    let needed: BTreeSet<&str> = batch.prepared.iter().map(|s| s.name.as_str()).collect();
    for statement in &batch.prepared {
        queue_statement(statement, &needed, tracker, output)?;
    }
    let mut rest = BytesMut::from(batch.messages.as_slice());
    while let Some(message) = wire::split_message(&mut rest)? {
        let sent = match message.tag {
            front::QUERY => Some(Sent::Query),
            front::PARSE => Some(sent_parse(&wire::decode::<Parse>(&message)?, tracker)),
            front::BIND => Some(Sent::Bind),
            front::DESCRIBE => Some(Sent::Describe),
            front::EXECUTE => Some(Sent::Execute),
            front::CLOSE => Some(sent_close(wire::decode::<Close>(&message)?)),
            front::SYNC => Some(Sent::Sync),
            front::FLUSH => Some(Sent::Flush),
            tag if front::COPY.contains(&tag) => None,
            tag => return Err(BatchError::Tag(tag)),
        };
        if sent != Some(Sent::SkippedParse) {
            output.extend_from_slice(&message.bytes);
        }
        if let Some(sent) = sent {
            tracker.record_sent(sent);
        }
    }
    Ok(())
}

fn queue_statement(
    statement: &PreparedStatement,
    needed: &BTreeSet<&str>,
    tracker: &mut ReplyTracker,
    output: &mut BytesMut,
) -> Result<(), BatchError> {
    if tracker.has_statement(&statement.name) {
        tracker.mark_statement_used(&statement.name);
        return Ok(());
    }
    for name in tracker.statements_to_close(STATEMENT_LIMIT, needed) {
        wire::encode(&Close::new(CLOSE_STATEMENT, Some(name.clone())), output)?;
        tracker.record_sent(Sent::InjectedClose(name));
    }
    let name = statement.name.clone();
    let types = statement.parameter_types.clone();
    wire::encode(&Parse::new(Some(name.clone()), statement.query.clone(), types), output)?;
    tracker.record_sent(Sent::InjectedParse(name));
    Ok(())
}

fn sent_parse(parse: &Parse, tracker: &ReplyTracker) -> Sent {
    let name = parse.name.clone().unwrap_or_default();
    if !name.is_empty() && tracker.has_statement(&name) {
        return Sent::SkippedParse;
    }
    Sent::Parse(name)
}

fn sent_close(close: Close) -> Sent {
    let is_statement = close.target_type == CLOSE_STATEMENT;
    Sent::Close(close.name.filter(|name| is_statement && !name.is_empty()))
}
