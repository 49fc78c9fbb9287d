//! The replication state of a member under one lock, and what others see of it.
//!
//! Owns the lock and the published status; every step runs under the lock and publishes what it leaves.
//! Relies on `steps` for the decisions.

use super::message::{AppendRequest, AppendResponse};
use super::steps::State;
use crate::entry::{LogEntry, WriteStatement};
use crate::error::DurableError;
use corktack_core::identity::MemberName;
use corktack_core::position::{Position, Term};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

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
    /// Too many peers hold more of the log than this member.
    #[error("a majority holds more of the log than this member")]
    Behind,
    /// The log or the promise could not be made durable.
    #[error(transparent)]
    Durable(#[from] DurableError),
}

/// The replication state of a member. Its methods may sync files; call them off the event loop.
pub struct Replication {
    state: Mutex<State>,
    status: watch::Sender<ReplicationStatus>,
}

impl Replication {
    /// Shares a state.
    #[must_use]
    pub fn new(state: State) -> Self {
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
        self.with(|state| state.bootstrap(term))
    }

    /// Promises a term and stops acknowledging lower ones.
    ///
    /// # Errors
    /// A higher term was promised, or the promise cannot be made durable.
    pub fn fence(&self, term: Term) -> Result<(Term, Position), ReplicationError> {
        self.with(|state| state.fence(term))
    }

    /// Asks the peers to accept this member as primary of a term; once a majority
    /// did, an empty entry opens the term. Its index, returned here, must be
    /// committed before [`Self::finish_promotion`].
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

    /// Appends transactions under a term and syncs them; returns the index of the last.
    ///
    /// # Errors
    /// The member is not primary of that term, or an entry cannot be made durable.
    pub fn append(
        &self,
        term: Term,
        transactions: Vec<Vec<WriteStatement>>,
    ) -> Result<u64, ReplicationError> {
        self.with(|state| {
            if state.role != Role::Primary || state.promise.get().term != term {
                return Err(ReplicationError::NotPrimary);
            }
            Ok(state.append_own(transactions)?)
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
