//! Drivers and back ends with one fault each, which the checker must detect.

/// What is broken in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing.
    Correct,
    /// A proxy takes a replica's answer without comparing it with the session's token.
    TokenNotChecked,
    /// A primary answers a read index without asking a majority.
    ReadIndexNotConfirmed,
    /// A primary acknowledges a write that only it holds.
    AckBeforeMajority,
    /// A member answers before it has synced.
    AckBeforeSync,
    /// A repeated write runs again.
    KeyNotRemembered,
    /// A proxy takes any snapshot of the configuration, also an older one.
    SnapshotNotCompared,
    /// A control replica gives a snapshot without proving that it is current, to a
    /// proxy that lost its data folder.
    SnapshotNotProven,
    /// The failover driver asks every member to become primary, and members follow more
    /// than one primary of a term.
    PromoteEveryMember,
    /// A control replica does not write its term and vote.
    TermNotPersisted,
    /// A control replica does not write its log before it answers.
    LogNotPersisted,
    /// A refused write runs all the same.
    RefusedWriteRuns,
    /// A control leader begins its duties at its election, on a state that may lack the last commits of
    /// earlier leaders.
    DutiesBeforeOwnTerm,
    /// A control replica that is a voter by its own log never requests to join.
    RemovedVoterRequestsNothing,
    /// A control replica whose write failed stays, and never opens its log again.
    FailedWriteEndsReplica,
}

impl Variant {
    /// Every broken variant.
    pub const BROKEN: [Self; 14] = [
        Self::TokenNotChecked,
        Self::ReadIndexNotConfirmed,
        Self::AckBeforeMajority,
        Self::AckBeforeSync,
        Self::KeyNotRemembered,
        Self::SnapshotNotCompared,
        Self::SnapshotNotProven,
        Self::PromoteEveryMember,
        Self::TermNotPersisted,
        Self::LogNotPersisted,
        Self::RefusedWriteRuns,
        Self::DutiesBeforeOwnTerm,
        Self::RemovedVoterRequestsNothing,
        Self::FailedWriteEndsReplica,
    ];
}
