//! Transcripts of keyed writes: fingerprints of a transaction's batches, and the stored answers.
//!
//! The owner answers a repeated request from the transcript, batch by batch. The repeat may prepare
//! statements that the first request found prepared, or the reverse, so completions of Parse and Close are
//! not stored but generated for the repeat. The module does no I/O; `exchange` decides when a transcript is
//! stored or replayed.

use crate::batch::{BatchError, statement_texts};
use crate::wire::{self, RawMessage, WireError};
use bytes::BytesMut;
use corktack_core::pool::outcomes::Fingerprint;
use corktack_core::pool::replies::{back, front};
use corktack_protocol::peer::{Batch, TransactionStatus};
use pgwire::messages::data::NoData;
use pgwire::messages::extendedquery::{
    Bind, BindComplete, CloseComplete, Describe, Execute, Parse, ParseComplete,
};
use pgwire::messages::response::CommandComplete;
use pgwire::messages::simplequery::Query;
use serde::{Deserialize, Serialize};

/// Command tag of a completed commit.
const COMMIT_TAG: &str = "COMMIT";

/// One batch and its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TranscriptEntry {
    /// Fingerprint of the batch.
    pub fingerprint: u64,
    /// Messages of the answer, without those that a repeat regenerates or omits.
    pub messages: Vec<u8>,
    /// Status of the transaction after the batch.
    pub status: TransactionStatus,
}

/// Computes the fingerprint of a batch. The result does not depend on whether the batch also prepares its
/// statements.
pub(crate) fn fingerprint(batch: &Batch) -> Result<u64, BatchError> {
    let mut texts = statement_texts(batch);
    let mut fingerprint = Fingerprint::default();
    let mut rest = BytesMut::from(batch.messages.as_slice());
    while let Some(message) = wire::split_message(&mut rest)? {
        match message.tag {
            front::QUERY => {
                add_text(&mut fingerprint, message.tag, &wire::decode::<Query>(&message)?.query);
            }
            front::PARSE => {
                let parse: Parse = wire::decode(&message)?;
                texts.insert(parse.name.unwrap_or_default(), parse.query);
            }
            front::BIND => {
                let bind: Bind = wire::decode(&message)?;
                let name = bind.statement_name.unwrap_or_default();
                add_text(&mut fingerprint, message.tag, texts.get(&name).unwrap_or(&name));
                add_values(&mut fingerprint, &bind.parameters);
                let formats = (bind.parameter_format_codes, bind.result_column_format_codes);
                fingerprint.add_part(format!("{formats:?}").as_bytes());
            }
            front::DESCRIBE => {
                let describe: Describe = wire::decode(&message)?;
                fingerprint.add_part(&[message.tag, describe.target_type]);
            }
            front::EXECUTE => {
                let execute: Execute = wire::decode(&message)?;
                add_text(&mut fingerprint, message.tag, &execute.max_rows.to_string());
            }
            _ => {}
        }
    }
    Ok(fingerprint.finish())
}

fn add_text(fingerprint: &mut Fingerprint, tag: u8, text: &str) {
    fingerprint.add_part(&[tag]);
    fingerprint.add_part(text.as_bytes());
}

fn add_values(fingerprint: &mut Fingerprint, values: &[Option<bytes::Bytes>]) {
    for value in values {
        fingerprint.add_part(&[u8::from(value.is_some())]);
        fingerprint.add_part(value.as_deref().unwrap_or_default());
    }
}

/// Returns the messages of an answer that a transcript stores.
pub(crate) fn messages_to_store(answer: &[u8]) -> Result<Vec<u8>, WireError> {
    let mut rest = BytesMut::from(answer);
    let mut stored = Vec::new();
    while let Some(message) = wire::split_message(&mut rest)? {
        if !is_regenerated_or_omitted(message.tag) {
            stored.extend_from_slice(&message.bytes);
        }
    }
    Ok(stored)
}

/// Reports whether a message is generated for a repeat, or omitted from its answer, rather than stored.
fn is_regenerated_or_omitted(tag: u8) -> bool {
    matches!(
        tag,
        back::PARSE_COMPLETE
            | back::CLOSE_COMPLETE
            | back::PARAMETER_STATUS
            | back::NOTICE
            | back::NOTIFICATION
    )
}

/// Builds the answer to a repeated batch from the stored messages of the first answer.
pub(crate) fn replay_answer(batch: &Batch, stored: &[u8]) -> Result<BytesMut, BatchError> {
    let mut rest = BytesMut::from(batch.messages.as_slice());
    let mut stored = BytesMut::from(stored);
    let mut answer = BytesMut::new();
    while let Some(message) = wire::split_message(&mut rest)? {
        let is_complete = match message.tag {
            front::PARSE => {
                wire::encode(&ParseComplete::new(), &mut answer)?;
                true
            }
            front::CLOSE => {
                wire::encode(&CloseComplete::new(), &mut answer)?;
                true
            }
            front::QUERY => {
                answer.extend_from_slice(&stored.split());
                true
            }
            tag => take_until(end_tags(tag), &mut stored, &mut answer)?,
        };
        if !is_complete {
            // The first request failed at this message, and the back end skipped the rest.
            break;
        }
    }
    Ok(answer)
}

/// Returns the tags that end the answer to a message of the extended protocol.
fn end_tags(tag: u8) -> &'static [u8] {
    match tag {
        front::BIND => &[back::BIND_COMPLETE],
        front::DESCRIBE => &[back::ROW_DESCRIPTION, back::NO_DATA],
        front::EXECUTE => &[back::COMMAND_COMPLETE, back::EMPTY_QUERY, back::PORTAL_SUSPENDED],
        _ => &[],
    }
}

/// Moves messages up to and including one of the end tags; returns false when an error comes first or the
/// messages run out.
fn take_until(
    end_tags: &[u8],
    stored: &mut BytesMut,
    answer: &mut BytesMut,
) -> Result<bool, WireError> {
    if end_tags.is_empty() {
        return Ok(true);
    }
    while let Some(RawMessage { tag, bytes }) = wire::split_message(stored)? {
        answer.extend_from_slice(&bytes);
        if end_tags.contains(&tag) {
            return Ok(true);
        }
        if tag == back::ERROR {
            return Ok(false);
        }
    }
    Ok(false)
}

/// Builds the messages to store for a batch that commits and does nothing else, before its answer is known.
pub(crate) fn commit_answer_messages(batch: &Batch) -> Result<Vec<u8>, BatchError> {
    let mut rest = BytesMut::from(batch.messages.as_slice());
    let mut answer = BytesMut::new();
    while let Some(message) = wire::split_message(&mut rest)? {
        match message.tag {
            front::BIND => wire::encode(&BindComplete::new(), &mut answer)?,
            front::DESCRIBE => wire::encode(&NoData::new(), &mut answer)?,
            front::QUERY | front::EXECUTE => {
                wire::encode(&CommandComplete::new(COMMIT_TAG.to_owned()), &mut answer)?;
            }
            _ => {}
        }
    }
    Ok(answer.to_vec())
}
