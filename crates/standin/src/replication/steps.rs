//! The steps of replication: term, role, log and commit index of one member.
//!
//! Owns the decisions: who may lead, what is committed, what a log takes from a primary. No input or output
//! but the synced log and promise.

use super::message::{AppendOutcome, AppendRequest, AppendResponse};
use super::progress::GroupProgress;
use super::state::{ReplicationError, ReplicationStatus, Role};
use crate::entry::{LogEntry, WriteStatement};
use crate::error::DurableError;
use crate::log_file::DurableLog;
use crate::promise::{DurablePromise, Promise};
use corktack_core::identity::MemberName;
use corktack_core::position::{Position, Term};
use std::sync::Arc;

/// Most entries sent in one request.
const APPEND_BATCH: usize = 256;
/// Bytes of the log behind which a request takes no further entry.
pub const BATCH_BYTES: usize = 1024 * 1024;

/// State of a member's replication. Its methods may sync files.
pub struct State {
    pub member: MemberName,
    pub log: DurableLog,
    pub promise: DurablePromise,
    pub role: Role,
    pub commit_index: u64,
    progress: GroupProgress,
    /// Last entry of the log when this member's term as primary began.
    term_start: Position,
    /// Round whose confirmation opens the term of a promotion.
    opening: Option<u64>,
    pub round: u64,
    confirmed_round: u64,
}

impl State {
    /// Starts from durable state; `applied_index` is known committed.
    pub fn new(
        member: MemberName,
        log: DurableLog,
        promise: DurablePromise,
        peers: Vec<MemberName>,
        applied_index: u64,
    ) -> Self {
        Self {
            member,
            log,
            promise,
            role: Role::Fenced,
            commit_index: applied_index,
            progress: GroupProgress::new(peers),
            term_start: Position::default(),
            opening: None,
            round: 0,
            confirmed_round: 0,
        }
    }

    pub fn status(&self) -> ReplicationStatus {
        let promise = self.promise.get();
        ReplicationStatus {
            role: self.role,
            promised_term: promise.term,
            primary: promise.primary.clone(),
            last_position: self.log.last_position(),
            commit_index: self.commit_index,
            round: self.round,
            confirmed_round: self.confirmed_round,
        }
    }

    pub fn bootstrap(&mut self, term: Term) -> Result<(), ReplicationError> {
        let primary = Some(self.member.clone());
        self.promise.set(Promise { term, primary })?;
        self.role = Role::Primary;
        self.progress.reset(1);
        Ok(())
    }

    pub fn fence(&mut self, term: Term) -> Result<(Term, Position), ReplicationError> {
        let promised = self.promise.get().term;
        if term < promised {
            return Err(ReplicationError::Term { requested: term, promised });
        }
        if term > promised {
            self.promise.set(Promise { term, primary: None })?;
            self.role = Role::Fenced;
        }
        Ok((term, self.log.last_position()))
    }

    pub fn begin_promotion(&mut self, term: Term) -> Result<u64, ReplicationError> {
        let promise = self.promise.get().clone();
        if promise.term != term {
            return Err(ReplicationError::Term { requested: term, promised: promise.term });
        }
        match promise.primary {
            Some(primary) if primary != self.member => {
                return Err(ReplicationError::TermTaken(term));
            }
            Some(_) if self.role != Role::Fenced => return Ok(self.term_start.index + 1),
            _ => {}
        }
        self.promise.set(Promise { term, primary: Some(self.member.clone()) })?;
        self.role = Role::Promoting;
        self.term_start = self.log.last_position();
        self.progress.reset(self.term_start.index + 1);
        self.round += 1;
        self.opening = Some(self.round);
        self.open_term()?;
        Ok(self.term_start.index + 1)
    }

    /// Appends the empty entry of a new term once a majority accepted its primary.
    ///
    /// Not before: an entry of the new term would make a log look more advanced
    /// than one that holds committed entries which it lacks.
    fn open_term(&mut self) -> Result<(), ReplicationError> {
        let Some(round) = self.opening.filter(|_| self.role == Role::Promoting) else {
            return Ok(());
        };
        if self.progress.majority_round(self.round) >= round {
            self.opening = None;
            self.append_own(vec![Vec::new()])?;
        } else if self.progress.majority_refused() {
            self.opening = None;
            self.promise.set(Promise { term: self.promise.get().term, primary: None })?;
            self.role = Role::Fenced;
        }
        Ok(())
    }

    pub fn append_own(
        &mut self,
        transactions: Vec<Vec<WriteStatement>>,
    ) -> Result<u64, DurableError> {
        let term = self.promise.get().term;
        let indexes = self.log.last_position().index + 1..;
        let entry = |(index, statements)| Arc::new(LogEntry { term, index, statements });
        self.log.append(indexes.zip(transactions).map(entry).collect())?;
        self.advance();
        Ok(self.log.last_position().index)
    }

    /// Moves commit index and confirmed round to what a majority holds.
    pub fn advance(&mut self) {
        let index = self.progress.majority_index(self.log.last_position().index);
        let own_term = self.log.term_at(index) == Some(self.promise.get().term);
        if index > self.commit_index && own_term {
            self.commit_index = index;
        }
        self.confirmed_round = self.progress.majority_round(self.round);
    }

    pub fn next_request(&self, peer: &MemberName) -> Option<AppendRequest> {
        if !matches!(self.role, Role::Primary | Role::Promoting) {
            return None;
        }
        let next_index = self.progress.get(peer)?.next_index;
        let previous = next_index - 1;
        Some(AppendRequest {
            term: self.promise.get().term,
            primary: self.member.clone(),
            term_start: self.term_start,
            previous: Position { term: self.log.term_at(previous)?, index: previous },
            entries: self.log.batch(next_index, APPEND_BATCH, BATCH_BYTES as u64),
            commit_index: self.commit_index,
            round: self.round,
        })
    }

    pub fn take_response(
        &mut self,
        peer: &MemberName,
        term: Term,
        response: &AppendResponse,
    ) -> Result<bool, ReplicationError> {
        if response.promised_term > self.promise.get().term {
            self.promise.set(Promise { term: response.promised_term, primary: None })?;
            self.role = Role::Fenced;
        }
        let leading = matches!(self.role, Role::Primary | Role::Promoting);
        if !leading || self.promise.get().term != term {
            return Ok(false);
        }
        let Some(progress) = self.progress.get_mut(peer) else {
            return Ok(false);
        };
        match response.outcome {
            AppendOutcome::Refused => return Ok(false),
            AppendOutcome::Ahead => {
                progress.refused = true;
                self.open_term()?;
                return Ok(false);
            }
            AppendOutcome::Mismatch(index) => {
                progress.next_index = index.clamp(1, progress.next_index);
            }
            AppendOutcome::Matched(index) => {
                progress.match_index = progress.match_index.max(index);
                progress.next_index = progress.match_index + 1;
            }
        }
        progress.confirmed_round = progress.confirmed_round.max(response.round);
        self.open_term()?;
        self.advance();
        let next_index = self.progress.get(peer).map_or(0, |progress| progress.next_index);
        Ok(next_index <= self.log.last_position().index)
    }

    pub fn take_request(
        &mut self,
        request: AppendRequest,
    ) -> Result<AppendResponse, ReplicationError> {
        let outcome = if self.is_ahead_of(&request) {
            AppendOutcome::Ahead
        } else if self.accept_primary(&request)? {
            self.merge(&request)?
        } else {
            AppendOutcome::Refused
        };
        let promised_term = self.promise.get().term;
        Ok(AppendResponse { promised_term, round: request.round, outcome })
    }

    /// Whether the sender asks to be accepted for a term though it lacks entries
    /// of this log, which may be committed. A term that a majority opened is past that.
    fn is_ahead_of(&self, request: &AppendRequest) -> bool {
        let promise = self.promise.get();
        let same_term = request.term == promise.term && promise.primary.is_none();
        let opened = request.commit_index > request.term_start.index;
        (request.term > promise.term || same_term)
            && !opened
            && self.log.last_position() > request.term_start
    }

    /// Follows the sender, unless a higher term or another primary was accepted.
    fn accept_primary(&mut self, request: &AppendRequest) -> Result<bool, ReplicationError> {
        let promise = self.promise.get();
        let taken = promise.primary.as_ref().is_some_and(|primary| *primary != request.primary);
        if request.term < promise.term || (request.term == promise.term && taken) {
            return Ok(false);
        }
        let primary = Some(request.primary.clone());
        self.promise.set(Promise { term: request.term, primary })?;
        self.role = Role::Replica;
        Ok(true)
    }

    /// Makes the log match the request as far as it goes.
    fn merge(&mut self, request: &AppendRequest) -> Result<AppendOutcome, ReplicationError> {
        let previous = request.previous;
        if self.log.term_at(previous.index) != Some(previous.term) {
            let retry = previous.index.min(self.log.last_position().index + 1);
            return Ok(AppendOutcome::Mismatch(retry.max(1)));
        }
        let known = |entry: &&Arc<LogEntry>| self.log.term_at(entry.index) == Some(entry.term);
        let skip = request.entries.iter().take_while(known).count();
        let fresh = request.entries[skip..].to_vec();
        if let Some(first) = fresh.first() {
            if first.index <= self.commit_index {
                log::error!(index = first.index, commit_index = self.commit_index;
                    "a primary would replace a committed entry; refused");
                return Ok(AppendOutcome::Refused);
            }
            self.log.truncate_from(first.index)?;
            self.log.append(fresh)?;
        }
        let matched = previous.index + request.entries.len() as u64;
        self.commit_index = self.commit_index.max(request.commit_index.min(matched));
        Ok(AppendOutcome::Matched(matched))
    }
}
