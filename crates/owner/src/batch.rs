//! Analysis of a caller's batch, and its translation into the messages sent on one server connection.
//!
//! The module keeps no state and does no I/O. `corktack_core` classifies statement texts and tracks the
//! prepared statements of a connection.

use crate::wire::{self, WireError};
use bytes::BytesMut;
use corktack_core::pool::replies::{ReplyTracker, Sent, front};
use corktack_core::pool::statements::{self, TransactionEnd};
use corktack_protocol::peer::{Batch, PreparedStatement};
use pgwire::messages::extendedquery::{Close, Parse};
use pgwire::messages::simplequery::Query;
use std::collections::{BTreeSet, HashMap};

/// Number of prepared statements kept on one connection. With fewer, callers' statements are prepared
/// repeatedly; with more, each connection costs the back end more memory.
pub(crate) const STATEMENT_LIMIT: usize = 256;
/// Target type of a Close message that names a prepared statement.
const CLOSE_STATEMENT: u8 = b'S';

/// Violations of the protocol between edge and owner in a batch.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    /// A message is malformed.
    #[error("batch with a malformed message")]
    Wire(#[from] WireError),
    /// A batch must not contain a message with this tag.
    #[error("batch with a message of tag {0}")]
    Tag(u8),
    /// The batch does not end with a Sync, a simple query or a Flush.
    #[error("batch without an end")]
    Incomplete,
    /// A Flush is not the last message of the batch.
    #[error("batch that goes on after a Flush")]
    AfterFlush,
}

/// Properties of a batch, derived from its statement texts and messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BatchProperties {
    /// The batch may leave session state behind.
    pub may_change_session: bool,
    /// The batch may commit an open transaction.
    pub may_commit: bool,
    /// The batch opens a transaction and does nothing else.
    pub only_begins: bool,
    /// The batch may open or end a transaction.
    pub controls_transaction: bool,
    /// The batch runs a statement, rather than only preparing or describing one.
    pub executes: bool,
    /// The batch ends with a Flush: a later Sync commits the statements that it runs.
    pub flushes: bool,
}

/// Determines the properties of a batch, independently of any connection.
pub(crate) fn analyze(batch: &Batch) -> Result<BatchProperties, BatchError> {
    let mut texts: Vec<String> = Vec::new();
    texts.extend(batch.prepared.iter().map(|statement| statement.query.clone()));
    let mut executes = false;
    let mut binds = false;
    let mut last_tag = 0;
    let mut rest = BytesMut::from(batch.messages.as_slice());
    while let Some(message) = wire::split_message(&mut rest)? {
        if last_tag == front::FLUSH {
            return Err(BatchError::AfterFlush);
        }
        match message.tag {
            front::QUERY => texts.push(wire::decode::<Query>(&message)?.query),
            front::PARSE => texts.push(wire::decode::<Parse>(&message)?.query),
            front::BIND => binds = true,
            front::EXECUTE => executes = true,
            _ => {}
        }
        last_tag = message.tag;
    }
    if !rest.is_empty() || !matches!(last_tag, front::QUERY | front::SYNC | front::FLUSH) {
        return Err(BatchError::Incomplete);
    }
    // The text of a portal that an earlier batch bound is not available.
    let has_unseen_text = executes && (!binds || texts.is_empty());
    Ok(BatchProperties {
        may_change_session: texts.iter().any(|text| statements::may_change_session(text)),
        may_commit: has_unseen_text || texts.iter().any(|text| statements::may_commit(text)),
        only_begins: !has_unseen_text
            && !texts.is_empty()
            && texts.iter().all(|t| statements::only_begins(t)),
        controls_transaction: has_unseen_text
            || texts.iter().any(|text| statements::may_control_transaction(text)),
        executes: executes || last_tag == front::QUERY,
        flushes: last_tag == front::FLUSH,
    })
}

/// Returns the texts of the prepared statements that a batch relies on, by statement name.
pub(crate) fn statement_texts(batch: &Batch) -> HashMap<String, String> {
    let prepared = batch.prepared.iter();
    prepared.map(|statement| (statement.name.clone(), statement.query.clone())).collect()
}

/// Reports whether a batch runs a statement, rather than only preparing or describing one.
pub(crate) fn runs_statement(batch: &Batch) -> bool {
    let mut rest = BytesMut::from(batch.messages.as_slice());
    while let Ok(Some(message)) = wire::split_message(&mut rest) {
        if matches!(message.tag, front::QUERY | front::EXECUTE) {
            return true;
        }
    }
    false
}

/// Returns how a batch ends a transaction, if the batch has a single statement that does nothing else.
pub(crate) fn transaction_end(batch: &Batch) -> Option<TransactionEnd> {
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

/// Appends a batch to a connection's output. Statements that the connection lacks are prepared first; those
/// that it has are not prepared again.
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
