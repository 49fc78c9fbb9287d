//! Specification of a cell: leadership, log, change of members and lost disks.
//!
//! Three replicas vote at first; a replica that loses its disk comes back under
//! a fourth identity, first as a learner. A message is delivered in one step
//! with its answer; a message that is lost is a step not taken. Append messages
//! of a past leader may arrive at any later time, in any order and again: the
//! log of the leader of every term is remembered, and any prefix of it may be
//! delivered.

mod transitions;

use super::Specification;
use super::log::{Mask, ShortLog};
use std::fmt;

/// Identities: three first voters and one for the replacement.
pub const REPLICAS: usize = 4;
/// Identity of the replacement.
const REPLACEMENT: usize = 3;
/// The first voters.
const FIRST_VOTERS: Mask = 0b0111;
/// Highest term that any bound may allow.
const TERM_CAPACITY: usize = 6;
/// Longest log, as a count of entries, that the commit bookkeeping covers.
const COMMIT_CAPACITY: usize = super::log::LOG_CAPACITY;

/// What may not happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CellInvariant {
    /// A term has at most one leader.
    ElectionSafety,
    /// Logs that hold the same entry at an index are equal up to it.
    LogMatching,
    /// A leader holds every entry committed under an earlier term.
    LeaderCompleteness,
    /// What was committed at an index stays there.
    CommittedNeverLost,
}

/// A protocol, whole or deliberately broken in one place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CellVariant {
    /// As built.
    Correct,
    /// A crash forgets the vote of the current term.
    VoteNotPersisted,
    /// A crash loses the last entry although it was acknowledged.
    LogNotSynced,
    /// A voter does not compare logs.
    LogNotCompared,
    /// A replica that lost its disk votes under its old identity.
    ReplacementKeepsIdentity,
    /// A leader commits by counting replicas that hold an entry of an older term.
    CommitsOlderTerm,
    /// A change of members may begin before the last one is committed.
    TwoChangesAtOnce,
    /// A follower takes entries without the ones before them.
    PreviousEntryNotChecked,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CellBounds {
    /// Highest term.
    pub terms: u8,
    /// Longest log.
    pub entries: u8,
    /// Crashes of replicas that keep their disk.
    pub crashes: u8,
    /// Lost disks.
    pub lost_disks: u8,
    /// Changes of the members that are proposed.
    pub changes: u8,
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CellRole {
    Follower,
    Candidate,
    Leader,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CellReplica {
    present: bool,
    role: CellRole,
    term: u8,
    vote: Option<u8>,
    votes: Mask,
    matched: [u8; REPLICAS],
    commit: u8,
    log: ShortLog,
}

impl CellReplica {
    const EMPTY: Self = Self {
        present: true,
        role: CellRole::Follower,
        term: 0,
        vote: None,
        votes: 0,
        matched: [0; REPLICAS],
        commit: 0,
        log: ShortLog::EMPTY,
    };

    fn voters(&self) -> Mask {
        self.log.voters(FIRST_VOTERS)
    }

    fn forget_volatile(&mut self) {
        self.role = CellRole::Follower;
        self.votes = 0;
        self.matched = [0; REPLICAS];
        self.commit = 0;
    }

    fn see_term(&mut self, term: u8) {
        if term <= self.term {
            return;
        }
        self.term = term;
        self.vote = None;
        self.forget_leadership();
    }

    fn forget_leadership(&mut self) {
        self.role = CellRole::Follower;
        self.votes = 0;
        self.matched = [0; REPLICAS];
    }
}

/// State of the whole cell, with the history that the invariants speak about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CellState {
    replicas: [CellReplica; REPLICAS],
    /// Leader of each term and the longest log it had as such.
    leaders: [Option<(u8, ShortLog)>; TERM_CAPACITY],
    committed: ShortLog,
    /// Term of the leader that committed each index first.
    committed_in: [u8; COMMIT_CAPACITY],
    crashes: u8,
    lost_disks: u8,
    changes: u8,
    violated: Option<CellInvariant>,
}

/// One transition of the cell.
#[derive(Clone, Copy, Debug)]
pub enum CellStep {
    /// A replica stands for election.
    Timeout(usize),
    /// A voter handles a candidate's request.
    RequestVote(usize, usize),
    /// A candidate has a majority.
    BecomeLeader(usize),
    /// A leader writes an entry.
    Propose(usize),
    /// A leader writes a change of members.
    ProposeVoters(usize, Mask),
    /// A follower handles the first entries of a term's leader.
    Append {
        /// Term of the leader.
        term: u8,
        /// Who handles it.
        follower: usize,
        /// How many entries.
        entries: u8,
    },
    /// A leader commits up to an index.
    Commit(usize, u8),
    /// A replica restarts with its disk.
    Crash(usize),
    /// A replica restarts without its disk.
    LoseDisk(usize),
}

impl fmt::Display for CellStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout(replica) => write!(formatter, "replica {replica} stands for election"),
            Self::RequestVote(candidate, voter) => {
                write!(formatter, "replica {voter} handles the vote request of {candidate}")
            }
            Self::BecomeLeader(replica) => write!(formatter, "replica {replica} becomes leader"),
            Self::Propose(replica) => write!(formatter, "leader {replica} writes an entry"),
            Self::ProposeVoters(replica, voters) => {
                write!(formatter, "leader {replica} writes the voters {voters:#06b}")
            }
            Self::Append { term, follower, entries } => write!(
                formatter,
                "replica {follower} handles the first {entries} entries of the leader of term {term}"
            ),
            Self::Commit(replica, index) => {
                write!(formatter, "leader {replica} commits up to index {index}")
            }
            Self::Crash(replica) => write!(formatter, "replica {replica} restarts with its disk"),
            Self::LoseDisk(replica) => {
                write!(formatter, "replica {replica} restarts without its disk")
            }
        }
    }
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct CellSpecification {
    /// Which protocol.
    pub variant: CellVariant,
    /// How far.
    pub bounds: CellBounds,
    /// The only invariant to look at; `None` for all.
    pub only: Option<CellInvariant>,
}

impl CellState {
    fn first() -> Self {
        let mut replicas = [CellReplica::EMPTY; REPLICAS];
        replicas[REPLACEMENT].present = false;
        Self {
            replicas,
            leaders: [None; TERM_CAPACITY],
            committed: ShortLog::EMPTY,
            committed_in: [0; COMMIT_CAPACITY],
            crashes: 0,
            lost_disks: 0,
            changes: 0,
            violated: None,
        }
    }

    fn logs_match(&self) -> bool {
        let logs = self.replicas.iter().map(|replica| replica.log);
        let pairs = logs.clone().flat_map(|left| logs.clone().map(move |right| (left, right)));
        pairs.into_iter().all(|(left, right)| left.matches(&right))
    }

    fn leaders_are_complete(&self) -> bool {
        let leaders = self.replicas.iter().filter(|replica| replica.role == CellRole::Leader);
        leaders
            .into_iter()
            .all(|leader| leader.log.starts_with(&self.committed_before(leader.term)))
    }

    /// What was committed by leaders of terms below `term`.
    fn committed_before(&self, term: u8) -> ShortLog {
        let earlier = |committed: &&u8| **committed < term;
        let len = self.committed_in.iter().take_while(earlier).count();
        let len = u8::try_from(len).unwrap_or(u8::MAX).min(self.committed.len());
        self.committed.prefix(len)
    }
}

impl Specification for CellSpecification {
    type State = CellState;
    type Step = CellStep;
    type Invariant = CellInvariant;

    fn initial(&self) -> CellState {
        CellState::first()
    }

    fn steps(&self, state: &CellState) -> Vec<(CellStep, CellState)> {
        transitions::all(self, state)
    }

    fn violated(&self, state: &CellState) -> Option<CellInvariant> {
        let looked_at = |found: &CellInvariant| self.only.is_none_or(|only| only == *found);
        let matching = || (!state.logs_match()).then_some(CellInvariant::LogMatching);
        let complete =
            || (!state.leaders_are_complete()).then_some(CellInvariant::LeaderCompleteness);
        let flagged = state.violated.filter(looked_at);
        let logs = || matching().filter(looked_at);
        let leaders = || complete().filter(looked_at);
        flagged.or_else(logs).or_else(leaders)
    }
}
