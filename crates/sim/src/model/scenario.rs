//! The named explorations: each specification within its bounds, and each broken variant.
//!
//! Owns the bounds of every exploration and the invariant that each broken variant must violate; tests and
//! the command line run the same lists.

use super::cell::{CellBounds, CellInvariant, CellSpecification, CellVariant};
use super::group::{GroupBounds, GroupInvariant, GroupSpecification, GroupVariant};
use super::{Exploration, explore};
use std::fmt;

/// Elections and log of a cell whose members do not change.
pub const CELL_LOG: CellBounds =
    CellBounds { terms: 4, entries: 2, crashes: 0, lost_disks: 0, changes: 0 };
/// The same with fewer terms and a restart.
pub const CELL_CRASH: CellBounds =
    CellBounds { terms: 3, entries: 2, crashes: 1, lost_disks: 0, changes: 0 };
/// A lost disk and the repair after it.
pub const CELL_REPAIR: CellBounds =
    CellBounds { terms: 2, entries: 3, crashes: 0, lost_disks: 1, changes: 2 };
/// Changes of members under races of leaders.
pub const CELL_CHANGES: CellBounds =
    CellBounds { terms: 3, entries: 2, crashes: 0, lost_disks: 0, changes: 2 };
/// Racing controllers, with a restart of a member.
pub const GROUP_FAILOVER: GroupBounds = GroupBounds { terms: 3, entries: 3, crashes: 1, reads: 0 };
/// Three changes of primary in a row.
pub const GROUP_TERMS: GroupBounds = GroupBounds { terms: 4, entries: 3, crashes: 0, reads: 0 };
/// Questions for a read index while the primary changes.
pub const GROUP_READS: GroupBounds = GroupBounds { terms: 3, entries: 3, crashes: 0, reads: 1 };

/// Wider bounds, for `corktack-sim model --deep`.
pub const DEEP_CELL: [CellBounds; 3] = [
    CellBounds { terms: 4, entries: 2, crashes: 1, lost_disks: 0, changes: 0 },
    CellBounds { terms: 3, entries: 3, crashes: 0, lost_disks: 0, changes: 2 },
    CellBounds { terms: 2, entries: 3, crashes: 1, lost_disks: 1, changes: 2 },
];
/// Wider bounds, for `corktack-sim model --deep`.
pub const DEEP_GROUP: [GroupBounds; 2] = [
    GroupBounds { terms: 4, entries: 4, crashes: 1, reads: 0 },
    GroupBounds { terms: 3, entries: 4, crashes: 1, reads: 1 },
];

/// One exploration by name.
#[derive(Clone, Copy, Debug)]
pub enum Scenario {
    /// Of a cell, with the invariant that a broken variant must violate.
    Cell(CellSpecification, Option<CellInvariant>),
    /// Of a database group, with the invariant that a broken variant must violate.
    Group(GroupSpecification, Option<GroupInvariant>),
}

/// How an exploration ended.
#[derive(Clone, Debug)]
pub struct Report {
    /// States, transitions and the counterexample, as text.
    pub text: String,
    /// Whether a whole protocol kept every invariant, or a broken one violated the expected one.
    pub as_expected: bool,
}

impl Report {
    fn new<Invariant: fmt::Debug + PartialEq + Copy>(
        exploration: &Exploration<Invariant>,
        expected: Option<Invariant>,
    ) -> Self {
        let found = exploration.counterexample.as_ref().map(|example| example.invariant);
        Self { text: exploration.to_string(), as_expected: found == expected }
    }
}

impl Scenario {
    /// Explores it.
    #[must_use]
    pub fn run(&self) -> Report {
        match self {
            Self::Cell(specification, expected) => Report::new(&explore(specification), *expected),
            Self::Group(specification, expected) => Report::new(&explore(specification), *expected),
        }
    }

    /// Name of its variant, as on the command line.
    #[must_use]
    pub fn variant(&self) -> String {
        match self {
            Self::Cell(specification, _) => format!("{:?}", specification.variant),
            Self::Group(specification, _) => format!("{:?}", specification.variant),
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cell(specification, _) => write!(
                formatter,
                "cell, variant {:?}, {:?}",
                specification.variant, specification.bounds
            ),
            Self::Group(specification, _) => write!(
                formatter,
                "group, variant {:?}, {:?}",
                specification.variant, specification.bounds
            ),
        }
    }
}

const fn cell(variant: CellVariant, bounds: CellBounds, expected: CellInvariant) -> Scenario {
    Scenario::Cell(CellSpecification { variant, bounds, only: Some(expected) }, Some(expected))
}

const fn group(variant: GroupVariant, bounds: GroupBounds, expected: GroupInvariant) -> Scenario {
    Scenario::Group(GroupSpecification { variant, bounds, only: Some(expected) }, Some(expected))
}

/// The protocols as built, within bounds for every test run.
#[must_use]
pub fn correct() -> Vec<Scenario> {
    let cells = [CELL_LOG, CELL_CRASH, CELL_REPAIR, CELL_CHANGES];
    let groups = [GROUP_FAILOVER, GROUP_READS];
    correct_within(&cells, &groups)
}

/// The protocols as built, within wider bounds.
#[must_use]
pub fn deep() -> Vec<Scenario> {
    correct_within(&DEEP_CELL, &DEEP_GROUP)
}

fn correct_within(cells: &[CellBounds], groups: &[GroupBounds]) -> Vec<Scenario> {
    let cell = |bounds: &CellBounds| {
        let variant = CellVariant::Correct;
        Scenario::Cell(CellSpecification { variant, bounds: *bounds, only: None }, None)
    };
    let group = |bounds: &GroupBounds| {
        let variant = GroupVariant::Correct;
        Scenario::Group(GroupSpecification { variant, bounds: *bounds, only: None }, None)
    };
    cells.iter().map(cell).chain(groups.iter().map(group)).collect()
}

/// The protocols broken in one place each.
#[must_use]
pub fn broken() -> Vec<Scenario> {
    use CellInvariant::{CommittedNeverLost, ElectionSafety, LeaderCompleteness, LogMatching};
    use GroupInvariant::{AckedNeverLost, NoAckByReplaced, OnePrimaryPerTerm, ReadIndexNotStale};
    vec![
        cell(CellVariant::VoteNotPersisted, CELL_CRASH, ElectionSafety),
        cell(CellVariant::LogNotSynced, CELL_CRASH, LeaderCompleteness),
        cell(CellVariant::LogNotCompared, CELL_CRASH, LeaderCompleteness),
        cell(CellVariant::ReplacementKeepsIdentity, CELL_REPAIR, ElectionSafety),
        cell(CellVariant::CommitsOlderTerm, CELL_LOG, LeaderCompleteness),
        cell(CellVariant::TwoChangesAtOnce, CELL_CHANGES, CommittedNeverLost),
        cell(CellVariant::PreviousEntryNotChecked, CELL_LOG, LogMatching),
        group(GroupVariant::PromoteWithoutMajority, GROUP_FAILOVER, AckedNeverLost),
        group(GroupVariant::PromoteLeastAdvanced, GROUP_FAILOVER, AckedNeverLost),
        group(GroupVariant::AckBeforeMajority, GROUP_FAILOVER, AckedNeverLost),
        group(GroupVariant::AckOlderTerm, GROUP_TERMS, AckedNeverLost),
        group(GroupVariant::FenceNotCheckedOnAppend, GROUP_FAILOVER, NoAckByReplaced),
        group(GroupVariant::PromiseNotPersisted, GROUP_FAILOVER, NoAckByReplaced),
        group(GroupVariant::ResumedTermPromotesAnother, GROUP_FAILOVER, OnePrimaryPerTerm),
        group(GroupVariant::ReadIndexWithoutConfirmation, GROUP_READS, ReadIndexNotStale),
        group(GroupVariant::ReadIndexBeforeOwnTermEntry, GROUP_READS, ReadIndexNotStale),
    ]
}
