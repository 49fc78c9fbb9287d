//! Which back-end message answers which front-end message on one connection.
//!
//! Owns the messages that wait for an answer, in order. Relies on the published protocol: answers come in the order of
//! the questions.

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
    /// Copy data, its end and its failure; they have no answer of their own.
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

/// A front-end message that was sent, with what its answer means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sent {
    /// A simple query.
    Query,
    /// A caller's Parse of a named statement, or the unnamed one if empty.
    Parse(String),
    /// A Parse that the owner added; the caller does not see its completion.
    InjectedParse(String),
    /// A Parse that was not sent since the statement exists; its completion is made here.
    SkippedParse,
    /// Bind.
    Bind,
    /// Describe.
    Describe,
    /// Execute.
    Execute,
    /// A caller's Close of a named statement, or of a portal if none.
    Close(Option<String>),
    /// A Close of a statement that the owner added.
    InjectedClose(String),
    /// Sync.
    Sync,
    /// Flush: the end of a part of a batch; the back end does not answer it.
    Flush,
}

/// What to do with a back-end message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It is the caller's.
    Forward,
    /// It answers something that the owner added.
    Swallow,
    /// `ReadyForQuery`: the batch is answered.
    Ready,
}

/// A back-end message placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// `ParseComplete` messages to make up for the caller before this message.
    pub synthesized: usize,
    /// What to do with the message.
    pub disposition: Disposition,
}

/// A back-end message that no front-end message explains. The connection must
/// be discarded: what follows cannot be told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("back-end message with tag {tag:?} answers nothing that was sent")]
pub struct UnexpectedReply {
    /// The message's tag.
    pub tag: char,
}

/// Follows the messages of one server connection and its prepared statements.
#[derive(Debug, Default)]
pub struct ReplyTracker {
    expected: VecDeque<Sent>,
    /// Statements the back end confirmed, with the order of their last use.
    prepared: BTreeMap<String, u64>,
    uses: u64,
}

impl ReplyTracker {
    /// Whether every message sent was answered.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.expected.is_empty()
    }

    /// Whether a statement exists, or will by the messages sent so far.
    #[must_use]
    pub fn has_statement(&self, name: &str) -> bool {
        let mut known = self.prepared.contains_key(name);
        for sent in &self.expected {
            match sent {
                Sent::Parse(other) | Sent::InjectedParse(other) if other == name => known = true,
                Sent::Close(Some(other)) | Sent::InjectedClose(other) if other == name => {
                    known = false;
                }
                _ => {}
            }
        }
        known
    }

    /// Marks a statement as used now, so that it is closed later than others.
    pub fn touch_statement(&mut self, name: &str) {
        self.uses += 1;
        if let Some(last_use) = self.prepared.get_mut(name) {
            *last_use = self.uses;
        }
    }

    /// The statements used longest ago that must be closed so that `limit` is
    /// kept after one more is prepared; never one of `needed`.
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

    /// Forgets the statements: the session was reset.
    pub fn forget_statements(&mut self) {
        self.prepared.clear();
    }

    /// Records a message that was sent, or left out.
    pub fn sent(&mut self, message: Sent) {
        self.expected.push_back(message);
    }

    /// Whether everything up to a Flush is answered. If so it is taken off, and the
    /// `ParseComplete` messages to make up for the caller before it are counted.
    pub fn flushed(&mut self) -> Option<usize> {
        let skipped = self.expected.iter().take_while(|sent| **sent == Sent::SkippedParse).count();
        if self.expected.get(skipped) != Some(&Sent::Flush) {
            return None;
        }
        self.expected.drain(..=skipped);
        Some(skipped)
    }

    /// Places a back-end message.
    ///
    /// # Errors
    /// [`UnexpectedReply`] when nothing sent explains it.
    pub fn received(&mut self, tag: u8) -> Result<Reply, UnexpectedReply> {
        if matches!(tag, back::PARAMETER_STATUS | back::NOTICE | back::NOTIFICATION) {
            return Ok(Reply { synthesized: 0, disposition: Disposition::Forward });
        }
        let synthesized = self.take_skipped();
        let disposition = self.place(tag)?;
        Ok(Reply { synthesized, disposition })
    }

    fn take_skipped(&mut self) -> usize {
        let mut count = 0;
        while self.expected.front() == Some(&Sent::SkippedParse) {
            self.expected.pop_front();
            count += 1;
        }
        count
    }

    fn place(&mut self, tag: u8) -> Result<Disposition, UnexpectedReply> {
        let unexpected = UnexpectedReply { tag: char::from(tag) };
        let first = self.expected.front().cloned().ok_or(unexpected)?;
        if first == Sent::Query {
            return Ok(self.place_in_query(tag));
        }
        if tag == back::ERROR {
            self.skip_to_end_of_part();
            return Ok(Disposition::Forward);
        }
        let (fits, completes) = answers(&first, tag);
        if !fits {
            return Err(unexpected);
        }
        if completes {
            self.expected.pop_front();
            self.complete(&first);
        }
        Ok(disposition_of(&first))
    }

    fn place_in_query(&mut self, tag: u8) -> Disposition {
        if tag != back::READY {
            return Disposition::Forward;
        }
        self.expected.pop_front();
        Disposition::Ready
    }

    /// After an error the back end reads and drops everything up to the Sync. At a
    /// Flush the caller has its whole answer so far.
    fn skip_to_end_of_part(&mut self) {
        let ends = |sent: &Sent| matches!(sent, Sent::Sync | Sent::Flush);
        while self.expected.front().is_some_and(|sent| !ends(sent)) {
            self.expected.pop_front();
        }
    }

    fn complete(&mut self, sent: &Sent) {
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
        Sent::InjectedParse(_) | Sent::InjectedClose(_) => Disposition::Swallow,
        Sent::Sync => Disposition::Ready,
        _ => Disposition::Forward,
    }
}

/// Whether the tag is part of the answer to a message, and whether it ends it.
fn answers(sent: &Sent, tag: u8) -> (bool, bool) {
    let (parts, ends): (&[u8], &[u8]) = match sent {
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
    let completes = ends.contains(&tag);
    (completes || parts.contains(&tag), completes)
}
