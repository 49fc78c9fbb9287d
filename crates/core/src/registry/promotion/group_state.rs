//! State of the replacement of one group's primary.

use super::messages::GatewayContact;
use super::messages::MemberAnswer;
use crate::identity::{GroupName, MemberName};
use crate::registry::state::RegistryState;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// What an evaluation of a group rests on.
#[derive(Clone, Copy)]
pub(super) struct GroupContext<'s> {
    pub(super) now: Timestamp,
    pub(super) state: &'s RegistryState,
    pub(super) group: &'s GroupName,
    pub(super) gateways: GatewayContact,
    /// Whether replicas may hold the only copy of an acknowledged commit, so that they are held before a
    /// choice.
    pub(super) holds_replicas: bool,
}

/// Why the primary is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// The group has no primary, or the primary is leaving.
    Gone,
    /// Gateways report the primary as unreachable; it may come back.
    Unreachable,
    /// An earlier decision may still be carried out, so that another one must supersede it.
    EarlierDecision,
}

/// Answers by member; none while an answer is outstanding.
pub(super) type Answers = BTreeMap<MemberName, Option<MemberAnswer>>;

/// Phase of a replacement.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// No failure of the primary is known.
    Steady,
    /// The leader asks the members for their positions.
    Asking {
        since: Timestamp,
        /// Primary that must be unreachable for the leader before another member is chosen; none if
        /// the leader need not check.
        suspect: Option<MemberName>,
        answers: Answers,
    },
    /// The decision is proposed to the log.
    Deciding { since: Timestamp, target: MemberName },
    /// The leader calls the authority until the member is primary.
    Calling {
        since: Timestamp,
        target: MemberName,
        fence: u64,
        next_call: Timestamp,
        in_flight: bool,
        accepted: bool,
    },
}

/// Replacement state of one group.
#[derive(Clone, Debug)]
pub(super) struct GroupState {
    pub(super) phase: Phase,
    pub(super) reason: Reason,
    pub(super) vacant_since: Option<Timestamp>,
    /// Start of the current suspicion, in which too few gateways for a replacement report the primary
    /// as unreachable.
    pub(super) suspected_since: Option<Timestamp>,
    /// Members that are not chosen before the given time.
    pub(super) refused: BTreeMap<MemberName, Timestamp>,
    /// Highest fence handled so far; only decisions above it are acted on, which excludes decisions
    /// of earlier leaders, as the state contained these when the leadership began.
    pub(super) last_fence: u64,
    /// Members that were registered when the replicas were held, and those that were held since.
    pub(super) known: BTreeSet<MemberName>,
    /// Calls that the authority has not refused, and may still carry out.
    pub(super) open_calls: usize,
    /// Whether the leader has yet to take over from an earlier one.
    pub(super) is_new_leadership: bool,
}

impl GroupState {
    pub(super) const fn new(last_fence: u64) -> Self {
        Self {
            phase: Phase::Steady,
            reason: Reason::Gone,
            vacant_since: None,
            suspected_since: None,
            refused: BTreeMap::new(),
            last_fence,
            known: BTreeSet::new(),
            open_calls: 0,
            is_new_leadership: true,
        }
    }

    /// Begins a replacement: all members are asked at the next evaluation.
    pub(super) fn begin(&mut self, reason: Reason, suspect: Option<MemberName>) {
        self.reason = reason;
        self.ask_anew(suspect);
    }

    /// Lets all members be asked at the next evaluation, for the replacement that has begun.
    pub(super) fn ask_anew(&mut self, suspect: Option<MemberName>) {
        let answers = BTreeMap::new();
        self.phase = Phase::Asking { since: Timestamp::ZERO, suspect, answers };
    }
}
