//! Transcripts of keyed writes: what a caller asked, and what it was answered.
//!
//! A transcript holds the answers to the batches of one transaction. A repeat is
//! answered from it, batch by batch. The repeat may prepare its statements
//! where the first request found them prepared, or the other way round, so
//! completions of Parse and Close are not kept but made up for the repeat.
//!
//! The module owns the form in which an answer is stored, does no I/O and relies on `wire`; when a transcript
//! is stored or replayed is the concern of `exchange`.

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

/// Tag that completes a commit.
const COMMIT_TAG: &str = "COMMIT";

/// One batch and its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Turn {
    /// Fingerprint of what was asked.
    pub fingerprint: u64,
    /// Messages of the answer that depend on the data.
    pub messages: Vec<u8>,
    /// Status of the transaction after it.
    pub status: TransactionStatus,
}

/// Fingerprint of what a batch asks, whether or not it also prepares statements.
pub(crate) fn fingerprint(batch: &Batch) -> Result<u64, BatchError> {
    let mut texts = statement_texts(batch);
    let mut fingerprint = Fingerprint::default();
    let mut rest = BytesMut::from(batch.messages.as_slice());
    while let Some(message) = wire::split_message(&mut rest)? {
        match message.tag {
            front::QUERY => {
                add(&mut fingerprint, message.tag, &wire::decode::<Query>(&message)?.query);
            }
            front::PARSE => {
                let parse: Parse = wire::decode(&message)?;
                texts.insert(parse.name.unwrap_or_default(), parse.query);
            }
            front::BIND => {
                let bind: Bind = wire::decode(&message)?;
                let name = bind.statement_name.unwrap_or_default();
                add(&mut fingerprint, message.tag, texts.get(&name).unwrap_or(&name));
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
                add(&mut fingerprint, message.tag, &execute.max_rows.to_string());
            }
            _ => {}
        }
    }
    Ok(fingerprint.finish())
}

fn add(fingerprint: &mut Fingerprint, tag: u8, text: &str) {
    fingerprint.add_part(&[tag]);
    fingerprint.add_part(text.as_bytes());
}

fn add_values(fingerprint: &mut Fingerprint, values: &[Option<bytes::Bytes>]) {
    for value in values {
        fingerprint.add_part(&[u8::from(value.is_some())]);
        fingerprint.add_part(value.as_deref().unwrap_or_default());
    }
}

/// The part of an answer that a transcript keeps.
pub(crate) fn kept_messages(answer: &[u8]) -> Result<Vec<u8>, WireError> {
    let mut rest = BytesMut::from(answer);
    let mut kept = Vec::new();
    while let Some(message) = wire::split_message(&mut rest)? {
        if !is_made_up(message.tag) {
            kept.extend_from_slice(&message.bytes);
        }
    }
    Ok(kept)
}

/// Messages that a repeat gets without a record, or not at all.
fn is_made_up(tag: u8) -> bool {
    matches!(
        tag,
        back::PARSE_COMPLETE
            | back::CLOSE_COMPLETE
            | back::PARAMETER_STATUS
            | back::NOTICE
            | back::NOTIFICATION
    )
}

/// The answer to a repeat of a batch, from what was kept of the first.
pub(crate) fn replayed(batch: &Batch, kept: &[u8]) -> Result<BytesMut, BatchError> {
    let mut rest = BytesMut::from(batch.messages.as_slice());
    let mut kept = BytesMut::from(kept);
    let mut answer = BytesMut::new();
    while let Some(message) = wire::split_message(&mut rest)? {
        let whole = match message.tag {
            front::PARSE => {
                wire::encode(&ParseComplete::new(), &mut answer)?;
                true
            }
            front::CLOSE => {
                wire::encode(&CloseComplete::new(), &mut answer)?;
                true
            }
            front::QUERY => {
                answer.extend_from_slice(&kept.split());
                true
            }
            tag => take_until(ends_of(tag), &mut kept, &mut answer)?,
        };
        if !whole {
            // The first request failed here; the rest of it was skipped.
            break;
        }
    }
    Ok(answer)
}

/// Tags that end the answer to a message of the extended protocol.
fn ends_of(tag: u8) -> &'static [u8] {
    match tag {
        front::BIND => &[back::BIND_COMPLETE],
        front::DESCRIBE => &[back::ROW_DESCRIPTION, back::NO_DATA],
        front::EXECUTE => &[back::COMMAND_COMPLETE, back::EMPTY_QUERY, back::PORTAL_SUSPENDED],
        _ => &[],
    }
}

/// Moves messages up to one of the ends; false when an error came instead.
fn take_until(ends: &[u8], kept: &mut BytesMut, answer: &mut BytesMut) -> Result<bool, WireError> {
    if ends.is_empty() {
        return Ok(true);
    }
    while let Some(RawMessage { tag, bytes }) = wire::split_message(kept)? {
        answer.extend_from_slice(&bytes);
        if ends.contains(&tag) {
            return Ok(true);
        }
        if tag == back::ERROR {
            return Ok(false);
        }
    }
    Ok(false)
}

/// What will be kept of the answer to a batch that commits and does nothing else.
pub(crate) fn commit_messages(batch: &Batch) -> Result<Vec<u8>, BatchError> {
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
