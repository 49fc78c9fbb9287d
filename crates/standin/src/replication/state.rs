//! Term, role, log and commit index of one member, under one lock.

use super::message::{AppendOutcome, AppendRequest, AppendResponse};
use super::progress::GroupProgress;
use crate::entry::{LogEntry, WriteStatement};
use crate::error::DurableError;
use crate::log_file::DurableLog;
use crate::promise::{DurablePromise, Promise};
use corktack_core::identity::MemberName;
use corktack_core::position::{Position, Term};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Most entries sent in one request.
const APPEND_BATCH: usize = 256;

/// Role of a member, with the step between fence and primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes under its term.
    Primary,
    /// Promoted, but the empty entry of its term is not committed yet.
    Promoting,
    /// Follows a primary.
    Replica,
    /// Promised a term whose primary it has not heard.
    Fenced,
}

/// What the rest of the member sees of its replication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// The member's role.
    pub role: Role,
    /// The highest term it promised.
    pub promised_term: Term,
    /// The primary it follows, itself included.
    pub primary: Option<MemberName>,
    /// Term and index of the last entry of its log.
    pub last_position: Position,
    /// Highest index known committed.
    pub commit_index: u64,
    /// Last confirmation round that began here.
    pub round: u64,
    /// Last confirmation round that a majority answered.
    pub confirmed_round: u64,
}

impl ReplicationStatus {
    /// Whether the member sends entries to its peers.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        matches!(self.role, Role::Primary | Role::Promoting)
    }

    /// Whether the member serves writes under a term.
    #[must_use]
    pub fn is_primary_of(&self, term: Term) -> bool {
        self.role == Role::Primary && self.promised_term == term
    }
}

/// Why a member refused a step.
#[derive(Debug, thiserror::Error)]
pub enum ReplicationError {
    /// The member is not the primary, or of another term.
    #[error("this member is not the primary")]
    NotPrimary,
    /// A higher term was promised, or the term was never promised here.
    #[error("term {requested} is refused, term {promised} is promised")]
    Term {
        /// The term asked for.
        requested: Term,
        /// The term promised.
        promised: Term,
    },
    /// The term has another primary already.
    #[error("term {0} has a primary already")]
    TermTaken(Term),
    /// The log or the promise could not be made durable.
    #[error(transparent)]
    Durable(#[from] DurableError),
}

struct State {
    member: MemberName,
    log: DurableLog,
    promise: DurablePromise,
    role: Role,
    commit_index: u64,
    progress: GroupProgress,
    round: u64,
    confirmed_round: u64,
}

/// The replication state of a member. Its methods may sync files; call them off the event loop.
pub struct Replication {
    state: Mutex<State>,
    status: watch::Sender<ReplicationStatus>,
}

impl Replication {
    /// Starts from durable state. `applied_index` is known committed.
    #[must_use]
    pub fn new(
        member: MemberName,
        log: DurableLog,
        promise: DurablePromise,
        peers: Vec<MemberName>,
        applied_index: u64,
    ) -> Self {
        let state = State {
            member,
            log,
            promise,
            role: Role::Fenced,
            commit_index: applied_index,
            progress: GroupProgress::new(peers),
            round: 0,
            confirmed_round: 0,
        };
        let (status, _) = watch::channel(state.status());
        Self { state: Mutex::new(state), status }
    }

    /// Follows changes of the status.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<ReplicationStatus> {
        self.status.subscribe()
    }

    /// The status now.
    #[must_use]
    pub fn status(&self) -> ReplicationStatus {
        self.status.borrow().clone()
    }

    /// Makes a fresh member the first primary of its group.
    ///
    /// # Errors
    /// The promise cannot be made durable.
    pub fn bootstrap(&self, term: Term) -> Result<(), ReplicationError> {
        self.with(|state| {
            let primary = Some(state.member.clone());
            state.promise.set(Promise { term, primary })?;
            state.role = Role::Primary;
            state.progress.reset(1);
            Ok(())
        })
    }

    /// Promises a term and stops acknowledging lower ones.
    ///
    /// # Errors
    /// A higher term was promised, or the promise cannot be made durable.
    pub fn fence(&self, term: Term) -> Result<(Term, Position), ReplicationError> {
        self.with(|state| {
            let promised = state.promise.get().term;
            if term < promised {
                return Err(ReplicationError::Term { requested: term, promised });
            }
            if term > promised {
                state.promise.set(Promise { term, primary: None })?;
                state.role = Role::Fenced;
            }
            Ok((term, state.log.last_position()))
        })
    }

    /// Appends the empty entry that opens a term; its index must be committed
    /// before [`Self::finish_promotion`].
    ///
    /// # Errors
    /// The term was not promised here, or has another primary.
    pub fn begin_promotion(&self, term: Term) -> Result<u64, ReplicationError> {
        self.with(|state| state.begin_promotion(term))
    }

    /// Lets a promoted member serve writes.
    ///
    /// # Errors
    /// The member was fenced meanwhile.
    pub fn finish_promotion(&self, term: Term) -> Result<(), ReplicationError> {
        self.with(|state| match state.role {
            Role::Primary | Role::Promoting if state.promise.get().term == term => {
                state.role = Role::Primary;
                Ok(())
            }
            _ => Err(ReplicationError::NotPrimary),
        })
    }

    /// Appends a transaction under a term and syncs it; returns its index.
    ///
    /// # Errors
    /// The member is not primary of that term, or the entry cannot be made durable.
    pub fn append(
        &self,
        term: Term,
        statements: Vec<WriteStatement>,
    ) -> Result<u64, ReplicationError> {
        self.with(|state| {
            if state.role != Role::Primary || state.promise.get().term != term {
                return Err(ReplicationError::NotPrimary);
            }
            Ok(state.append_own(statements)?)
        })
    }

    /// Begins a confirmation round; returns its number, the term and the commit index.
    ///
    /// # Errors
    /// The member is not the primary.
    pub fn begin_round(&self) -> Result<(u64, Position), ReplicationError> {
        self.with(|state| {
            if state.role != Role::Primary {
                return Err(ReplicationError::NotPrimary);
            }
            state.round += 1;
            state.advance();
            let term = state.promise.get().term;
            Ok((state.round, Position { term, index: state.commit_index }))
        })
    }

    /// The next request for a peer, when this member leads.
    #[must_use]
    pub fn next_request(&self, peer: &MemberName) -> Option<AppendRequest> {
        self.lock().next_request(peer)
    }

    /// Takes a peer's answer; tells whether more entries wait for it.
    ///
    /// # Errors
    /// A promise of a higher term cannot be made durable.
    pub fn take_response(
        &self,
        peer: &MemberName,
        term: Term,
        response: &AppendResponse,
    ) -> Result<bool, ReplicationError> {
        self.with(|state| state.take_response(peer, term, response))
    }

    /// Serves a primary's request.
    ///
    /// # Errors
    /// Entries or promise cannot be made durable.
    pub fn take_request(&self, request: AppendRequest) -> Result<AppendResponse, ReplicationError> {
        self.with(|state| state.take_request(request))
    }

    /// Committed entries behind an index, at most `limit`.
    #[must_use]
    pub fn committed_after(&self, index: u64, limit: usize) -> Vec<Arc<LogEntry>> {
        let state = self.lock();
        let available = usize::try_from(state.commit_index.saturating_sub(index));
        let limit = limit.min(available.unwrap_or(usize::MAX));
        state.log.range(index + 1, limit)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a step under the lock and publishes the status it leaves.
    fn with<T>(
        &self,
        step: impl FnOnce(&mut State) -> Result<T, ReplicationError>,
    ) -> Result<T, ReplicationError> {
        let mut state = self.lock();
        let result = step(&mut state);
        let now = state.status();
        self.status.send_if_modified(|published| {
            let changed = *published != now;
            *published = now;
            changed
        });
        result
    }
}

impl State {
    fn status(&self) -> ReplicationStatus {
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

    fn begin_promotion(&mut self, term: Term) -> Result<u64, ReplicationError> {
        let promise = self.promise.get().clone();
        if promise.term != term {
            return Err(ReplicationError::Term { requested: term, promised: promise.term });
        }
        match promise.primary {
            Some(primary) if primary != self.member => {
                return Err(ReplicationError::TermTaken(term));
            }
            Some(_) if self.role != Role::Fenced => return Ok(self.log.last_position().index),
            _ => {}
        }
        self.promise.set(Promise { term, primary: Some(self.member.clone()) })?;
        self.role = Role::Promoting;
        self.progress.reset(self.log.last_position().index + 1);
        Ok(self.append_own(Vec::new())?)
    }

    fn append_own(&mut self, statements: Vec<WriteStatement>) -> Result<u64, DurableError> {
        let index = self.log.last_position().index + 1;
        let term = self.promise.get().term;
        self.log.append(vec![Arc::new(LogEntry { term, index, statements })])?;
        self.advance();
        Ok(index)
    }

    /// Moves commit index and confirmed round to what a majority holds.
    fn advance(&mut self) {
        let index = self.progress.majority_index(self.log.last_position().index);
        let own_term = self.log.term_at(index) == Some(self.promise.get().term);
        if index > self.commit_index && own_term {
            self.commit_index = index;
        }
        self.confirmed_round = self.progress.majority_round(self.round);
    }

    fn next_request(&self, peer: &MemberName) -> Option<AppendRequest> {
        if !matches!(self.role, Role::Primary | Role::Promoting) {
            return None;
        }
        let next_index = self.progress.get(peer)?.next_index;
        let previous = next_index - 1;
        Some(AppendRequest {
            term: self.promise.get().term,
            primary: self.member.clone(),
            previous: Position { term: self.log.term_at(previous)?, index: previous },
            entries: self.log.range(next_index, APPEND_BATCH),
            commit_index: self.commit_index,
            round: self.round,
        })
    }

    fn take_response(
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
        let last_index = self.log.last_position().index;
        let Some(progress) = self.progress.get_mut(peer) else {
            return Ok(false);
        };
        match response.outcome {
            AppendOutcome::Refused => return Ok(false),
            AppendOutcome::Mismatch(index) => {
                progress.next_index = index.clamp(1, progress.next_index);
            }
            AppendOutcome::Matched(index) => {
                progress.match_index = progress.match_index.max(index);
                progress.next_index = progress.match_index + 1;
            }
        }
        progress.confirmed_round = progress.confirmed_round.max(response.round);
        let more = progress.next_index <= last_index;
        self.advance();
        Ok(more)
    }

    fn take_request(&mut self, request: AppendRequest) -> Result<AppendResponse, ReplicationError> {
        let outcome = if self.accept_primary(&request)? {
            self.merge(&request)?
        } else {
            AppendOutcome::Refused
        };
        let promised_term = self.promise.get().term;
        Ok(AppendResponse { promised_term, round: request.round, outcome })
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
