//! Specification of fencing, promotion and commit acknowledgement in a database group.
//!
//! Member 0 is the primary of term 1. Controllers race: each attempt to change
//! the primary has a term of its own, fences members at it, and promotes the
//! most advanced of a fenced majority. Any number of attempts may be under way. Requests may arrive at any later time and
//! again; what a past primary sent may still be delivered.

mod transitions;

use super::Specification;
use super::log::{LOG_CAPACITY, LogEntry, Mask, ShortLog};
use std::fmt;

/// Members of the group.
pub const MEMBERS: usize = 3;
/// All members.
const ALL_MEMBERS: Mask = 0b111;
/// Highest term that any bound may allow, and one.
const TERM_CAPACITY: usize = 5;
/// Term of the first primary.
const FIRST_TERM: u8 = 1;

/// What may not happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GroupInvariant {
    /// A replaced primary acknowledges no write that its successor does not hold.
    NoAckByReplaced,
    /// Every later primary holds what was acknowledged.
    AckedNeverLost,
    /// A term has at most one primary.
    OnePrimaryPerTerm,
    /// A confirmed read index covers every write acknowledged before the question.
    ReadIndexNotStale,
}

/// A protocol, whole or deliberately broken in one place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GroupVariant {
    /// As built.
    Correct,
    /// A controller promotes before a majority is fenced.
    PromoteWithoutMajority,
    /// A controller promotes the least advanced of the fenced members.
    PromoteLeastAdvanced,
    /// A primary acknowledges before a majority holds the write.
    AckBeforeMajority,
    /// A primary counts replicas that hold an entry of an older term.
    AckOlderTerm,
    /// A member takes entries of a term below the one it promised.
    FenceNotCheckedOnAppend,
    /// A crash forgets the promise.
    PromiseNotPersisted,
    /// A controller that resumes an attempt promotes another member at the same term.
    ResumedTermPromotesAnother,
    /// A read index is answered without asking a majority.
    ReadIndexWithoutConfirmation,
    /// A read index is answered before an entry of the own term is committed.
    ReadIndexBeforeOwnTermEntry,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GroupBounds {
    /// Highest term.
    pub terms: u8,
    /// Longest log; the entry of term 1 that starts every log is counted.
    pub entries: u8,
    /// Restarts of members.
    pub crashes: u8,
    /// Questions for a read index.
    pub reads: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum GroupRole {
    Primary,
    Replica,
    Fenced,
}

/// A question for a read index that a primary is confirming.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ReadQuestion {
    index: u8,
    /// How much was acknowledged, by anyone, when the question came.
    required: u8,
    confirmed: Mask,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GroupMember {
    role: GroupRole,
    promised: u8,
    log: ShortLog,
    matched: [u8; MEMBERS],
    commit: u8,
    read: Option<ReadQuestion>,
}

impl GroupMember {
    fn demote(&mut self, role: GroupRole) {
        self.role = role;
        self.matched = [0; MEMBERS];
        self.commit = 0;
        self.read = None;
    }

    /// Term and index up to which a majority is known to hold the log under the own term.
    fn committed_own_term(&self) -> bool {
        self.commit > 0 && self.log.entry(self.commit).term == self.promised
    }
}

/// One attempt to change the primary, known by its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Attempt {
    /// Last position that each fenced member reported.
    reported: [Option<(u8, u8)>; MEMBERS],
    promoted: Option<u8>,
    /// A majority holds an entry of the term.
    completed: bool,
}

/// State of the group and its controllers, with the history that the invariants speak about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GroupState {
    members: [GroupMember; MEMBERS],
    attempts: [Attempt; TERM_CAPACITY],
    /// Primary of each term and the longest log it had as such.
    primaries: [Option<(u8, ShortLog)>; TERM_CAPACITY],
    acknowledged: ShortLog,
    /// Term of the primary that acknowledged each index first.
    acknowledged_in: [u8; LOG_CAPACITY],
    crashes: u8,
    reads: u8,
    violated: Option<GroupInvariant>,
}

/// One transition of the group.
#[derive(Clone, Copy, Debug)]
pub enum GroupStep {
    /// A member handles the fence of a term.
    Fence(u8, usize),
    /// A member handles its promotion to primary of a term.
    Promote(u8, usize),
    /// A primary writes an entry.
    Write(usize),
    /// A member handles the first entries of the primary of a term.
    Append {
        /// Term of the primary.
        term: u8,
        /// Who handles it.
        member: usize,
        /// How many entries.
        entries: u8,
    },
    /// A primary acknowledges everything up to an index.
    Acknowledge(usize, u8),
    /// A primary gets a question for a read index.
    ReadAsk(usize),
    /// A member confirms the primary of a question.
    ReadConfirm(usize, usize),
    /// A primary answers the question.
    ReadAnswer(usize),
    /// A member restarts.
    Crash(usize),
}

impl fmt::Display for GroupStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fence(term, member) => {
                write!(formatter, "member {member} handles the fence of term {term}")
            }
            Self::Promote(term, member) => {
                write!(formatter, "member {member} handles its promotion to primary of term {term}")
            }
            Self::Write(member) => write!(formatter, "primary {member} writes an entry"),
            Self::Append { term, member, entries } => write!(
                formatter,
                "member {member} handles the first {entries} entries of the primary of term {term}"
            ),
            Self::Acknowledge(member, index) => {
                write!(formatter, "primary {member} acknowledges up to index {index}")
            }
            Self::ReadAsk(member) => {
                write!(formatter, "primary {member} is asked for a read index")
            }
            Self::ReadConfirm(member, other) => {
                write!(formatter, "member {other} confirms primary {member} for its read index")
            }
            Self::ReadAnswer(member) => {
                write!(formatter, "primary {member} answers its read index")
            }
            Self::Crash(member) => write!(formatter, "member {member} restarts"),
        }
    }
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct GroupSpecification {
    /// Which protocol.
    pub variant: GroupVariant,
    /// How far.
    pub bounds: GroupBounds,
    /// The only invariant to look at; `None` for all.
    pub only: Option<GroupInvariant>,
}

impl GroupState {
    fn first() -> Self {
        let mut log = ShortLog::EMPTY;
        log.push(LogEntry { term: FIRST_TERM, voters: 0 });
        let replica = GroupMember {
            role: GroupRole::Replica,
            promised: FIRST_TERM,
            log,
            matched: [0; MEMBERS],
            commit: 0,
            read: None,
        };
        let mut members = [replica; MEMBERS];
        members[0].role = GroupRole::Primary;
        members[0].matched = [log.len(); MEMBERS];
        members[0].commit = log.len();
        let mut primaries = [None; TERM_CAPACITY];
        primaries[usize::from(FIRST_TERM)] = Some((0, log));
        let mut acknowledged_in = [0; LOG_CAPACITY];
        acknowledged_in[0] = FIRST_TERM;
        Self {
            members,
            attempts: [Attempt::default(); TERM_CAPACITY],
            primaries,
            acknowledged: log,
            acknowledged_in,
            crashes: 0,
            reads: 0,
            violated: None,
        }
    }

    /// What was acknowledged by primaries of terms below `term`.
    fn acknowledged_before(&self, term: u8) -> ShortLog {
        let earlier = |acknowledged: &&u8| **acknowledged < term;
        let len = self.acknowledged_in.iter().take_while(earlier).count();
        let len = u8::try_from(len).unwrap_or(u8::MAX).min(self.acknowledged.len());
        self.acknowledged.prefix(len)
    }
}

impl Specification for GroupSpecification {
    type State = GroupState;
    type Step = GroupStep;
    type Invariant = GroupInvariant;

    fn initial(&self) -> GroupState {
        GroupState::first()
    }

    fn steps(&self, state: &GroupState) -> Vec<(GroupStep, GroupState)> {
        transitions::all(self, state)
    }

    fn violated(&self, state: &GroupState) -> Option<GroupInvariant> {
        let looked_at = |found: &GroupInvariant| self.only.is_none_or(|only| only == *found);
        state.violated.filter(looked_at)
    }
}
