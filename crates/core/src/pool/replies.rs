//! Matches back-end messages to the front-end messages that they answer, on one server connection.
//!
//! [`ReplyTracker`] holds the messages that wait for an answer. The PostgreSQL protocol guarantees that
//! answers arrive in the order of the messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Tags of front-end messages.
pub mod front {
    /// Simple query.
    pub const QUERY: u8 = b'Q';
    /// Parse.
    pub const PARSE: u8 = b'P';
    /// Bind.
    pub const BIND: u8 = b'B';
    /// Describe.
    pub const DESCRIBE: u8 = b'D';
    /// Execute.
    pub const EXECUTE: u8 = b'E';
    /// Close.
    pub const CLOSE: u8 = b'C';
    /// Sync.
    pub const SYNC: u8 = b'S';
    /// Flush.
    pub const FLUSH: u8 = b'H';
    /// CopyData, CopyDone and CopyFail; the back end does not answer them separately.
    pub const COPY: [u8; 3] = [b'd', b'c', b'f'];
}

/// Tags of back-end messages.
pub mod back {
    /// ParseComplete.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// BindComplete.
    pub const BIND_COMPLETE: u8 = b'2';
    /// CloseComplete.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// RowDescription.
    pub const ROW_DESCRIPTION: u8 = b'T';
    /// ParameterDescription.
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    /// NoData.
    pub const NO_DATA: u8 = b'n';
    /// DataRow.
    pub const DATA_ROW: u8 = b'D';
    /// CommandComplete.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// EmptyQueryResponse.
    pub const EMPTY_QUERY: u8 = b'I';
    /// PortalSuspended.
    pub const PORTAL_SUSPENDED: u8 = b's';
    /// ErrorResponse.
    pub const ERROR: u8 = b'E';
    /// ReadyForQuery.
    pub const READY: u8 = b'Z';
    /// ParameterStatus.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// NoticeResponse.
    pub const NOTICE: u8 = b'N';
    /// NotificationResponse.
    pub const NOTIFICATION: u8 = b'A';
    /// BackendKeyData.
    pub const KEY_DATA: u8 = b'K';
    /// Authentication.
    pub const AUTHENTICATION: u8 = b'R';
    /// CopyInResponse.
    pub const COPY_IN: u8 = b'G';
    /// CopyOutResponse.
    pub const COPY_OUT: u8 = b'H';
    /// CopyData.
    pub const COPY_DATA: u8 = b'd';
    /// CopyDone.
    pub const COPY_DONE: u8 = b'c';
}

/// Front-end message whose answer is expected, or which was left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sent {
    /// A simple query.
    Query,
    /// A caller's Parse of the statement with this name; an empty name is the unnamed statement.
    Parse(String),
    /// A Parse that the owner added; its completion is not forwarded to the caller.
    InjectedParse(String),
    /// A Parse that was not sent since the statement exists already; its completion is synthesized.
    SkippedParse,
    /// Bind.
    Bind,
    /// Describe.
    Describe,
    /// Execute.
    Execute,
    /// A caller's Close of the statement with this name, or of a portal if `None`.
    Close(Option<String>),
    /// A Close, added by the owner, of the statement with this name.
    InjectedClose(String),
    /// Sync.
    Sync,
    /// Flush, which ends a part of a batch; the back end does not answer it.
    Flush,
}

/// Action for a back-end message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The message is forwarded to the caller.
    Forward,
    /// The message answers a message that the owner added, and is not forwarded.
    Discard,
    /// The message is the `ReadyForQuery` that ends the answer to a batch or query.
    Ready,
}

/// Result of matching a back-end message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Number of `ParseComplete` messages to synthesize for the caller before this message.
    pub synthesized: usize,
    /// Action for the message.
    pub disposition: Disposition,
}

/// Error of a back-end message that answers no front-end message. The connection must be discarded,
/// since later messages cannot be matched either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("back-end message with tag {tag:?} does not answer any message sent")]
pub struct UnexpectedReply {
    /// Tag of the message.
    pub tag: char,
}

/// Tracks the messages that wait for an answer on one server connection, and the connection's prepared
/// statements.
#[derive(Debug, Default)]
pub struct ReplyTracker {
    expected: VecDeque<Sent>,
    /// Names of the statements that the back end confirmed, with the value of `uses` at their last use.
    prepared: BTreeMap<String, u64>,
    uses: u64,
}

impl ReplyTracker {
    /// Reports whether every message sent was answered.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.expected.is_empty()
    }

    /// Reports whether the statement will exist once all messages sent so far are answered without error.
    #[must_use]
    pub fn has_statement(&self, name: &str) -> bool {
        let mut exists = self.prepared.contains_key(name);
        for sent in &self.expected {
            match sent {
                Sent::Parse(other) | Sent::InjectedParse(other) if other == name => exists = true,
                Sent::Close(Some(other)) | Sent::InjectedClose(other) if other == name => {
                    exists = false;
                }
                _ => {}
            }
        }
        exists
    }

    /// Marks the statement as the one used most recently.
    pub fn mark_statement_used(&mut self, name: &str) {
        self.uses += 1;
        if let Some(last_use) = self.prepared.get_mut(name) {
            *last_use = self.uses;
        }
    }

    /// Returns the least recently used statements that must be closed so that at most `limit` exist after
    /// one more is prepared. Statements in `needed` are never returned, so fewer may be closed.
    #[must_use]
    pub fn statements_to_close(&self, limit: usize, needed: &BTreeSet<&str>) -> Vec<String> {
        let excess = (self.prepared.len() + 1).saturating_sub(limit);
        let closable = self
            .prepared
            .iter()
            .filter(|(name, _)| !needed.contains(name.as_str()) && self.has_statement(name));
        let mut by_age: Vec<_> = closable.map(|(name, last_use)| (*last_use, name)).collect();
        by_age.sort_unstable();
        by_age.into_iter().take(excess).map(|(_, name)| name.clone()).collect()
    }

    /// Removes all statements, after a reset of the session dropped them on the server.
    pub fn clear_statements(&mut self) {
        self.prepared.clear();
    }

    /// Records a message that was sent, or left out ([`Sent::SkippedParse`]).
    pub fn record_sent(&mut self, message: Sent) {
        self.expected.push_back(message);
    }

    /// Removes the next Flush if every message before it is answered, and returns the number of
    /// `ParseComplete` messages to synthesize for the caller. Returns `None` if the next message
    /// to be answered is not a Flush.
    pub fn pop_answered_flush(&mut self) -> Option<usize> {
        let skipped = self.expected.iter().take_while(|sent| **sent == Sent::SkippedParse).count();
        if self.expected.get(skipped) != Some(&Sent::Flush) {
            return None;
        }
        self.expected.drain(..=skipped);
        Some(skipped)
    }

    /// Matches a back-end message to the front-end message that it answers.
    ///
    /// # Errors
    /// [`UnexpectedReply`] if the message answers no message sent.
    pub fn match_reply(&mut self, tag: u8) -> Result<Reply, UnexpectedReply> {
        if matches!(tag, back::PARAMETER_STATUS | back::NOTICE | back::NOTIFICATION) {
            return Ok(Reply { synthesized: 0, disposition: Disposition::Forward });
        }
        let synthesized = self.pop_skipped_parses();
        let disposition = self.match_to_first(tag)?;
        Ok(Reply { synthesized, disposition })
    }

    fn pop_skipped_parses(&mut self) -> usize {
        let mut count = 0;
        while self.expected.front() == Some(&Sent::SkippedParse) {
            self.expected.pop_front();
            count += 1;
        }
        count
    }

    fn match_to_first(&mut self, tag: u8) -> Result<Disposition, UnexpectedReply> {
        let unexpected = UnexpectedReply { tag: char::from(tag) };
        let first = self.expected.front().cloned().ok_or(unexpected)?;
        if first == Sent::Query {
            return Ok(self.match_query_reply(tag));
        }
        if tag == back::ERROR {
            self.drop_until_sync_or_flush();
            return Ok(Disposition::Forward);
        }
        let (is_expected, completes) = match_tag(&first, tag);
        if !is_expected {
            return Err(unexpected);
        }
        if completes {
            self.expected.pop_front();
            self.apply_completion(&first);
        }
        Ok(disposition_of(&first))
    }

    fn match_query_reply(&mut self, tag: u8) -> Disposition {
        if tag != back::READY {
            return Disposition::Forward;
        }
        self.expected.pop_front();
        Disposition::Ready
    }

    /// Removes the messages up to the next Sync or Flush, after an error: the back end discards all
    /// messages up to the Sync, and at a Flush the caller has the whole answer so far.
    fn drop_until_sync_or_flush(&mut self) {
        let ends_part = |sent: &Sent| matches!(sent, Sent::Sync | Sent::Flush);
        while self.expected.front().is_some_and(|sent| !ends_part(sent)) {
            self.expected.pop_front();
        }
    }

    fn apply_completion(&mut self, sent: &Sent) {
        match sent {
            Sent::Parse(name) | Sent::InjectedParse(name) if !name.is_empty() => {
                self.uses += 1;
                self.prepared.insert(name.clone(), self.uses);
            }
            Sent::Close(Some(name)) | Sent::InjectedClose(name) => drop(self.prepared.remove(name)),
            _ => {}
        }
    }
}

fn disposition_of(sent: &Sent) -> Disposition {
    match sent {
        Sent::InjectedParse(_) | Sent::InjectedClose(_) => Disposition::Discard,
        Sent::Sync => Disposition::Ready,
        _ => Disposition::Forward,
    }
}

/// Reports whether the tag belongs to the answer to a message, and whether it ends that answer.
fn match_tag(sent: &Sent, tag: u8) -> (bool, bool) {
    let (partial_tags, final_tags): (&[u8], &[u8]) = match sent {
        Sent::Parse(_) | Sent::InjectedParse(_) => (&[], &[back::PARSE_COMPLETE]),
        Sent::Bind => (&[], &[back::BIND_COMPLETE]),
        Sent::Close(_) | Sent::InjectedClose(_) => (&[], &[back::CLOSE_COMPLETE]),
        Sent::Describe => (&[back::PARAMETER_DESCRIPTION], &[back::ROW_DESCRIPTION, back::NO_DATA]),
        Sent::Execute => (
            &[back::DATA_ROW, back::COPY_IN, back::COPY_OUT, back::COPY_DATA, back::COPY_DONE],
            &[back::COMMAND_COMPLETE, back::EMPTY_QUERY, back::PORTAL_SUSPENDED],
        ),
        Sent::Sync => (&[], &[back::READY]),
        Sent::Query | Sent::SkippedParse | Sent::Flush => (&[], &[]),
    };
    let completes = final_tags.contains(&tag);
    (completes || partial_tags.contains(&tag), completes)
}
