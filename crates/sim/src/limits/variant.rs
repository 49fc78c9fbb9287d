//! Ways in which a driver of the core could break the limits; the checker must detect each of them.

/// A variant of the drivers of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitsVariant {
    /// As built.
    Correct,
    /// The time for which an allowance lasts counts from when it arrives.
    LifeFromArrival,
    /// A new leader takes it that earlier ones gave nothing.
    LeaderForgets,
    /// A ceiling counts as raised before the raise is committed.
    CeilingBeforeCommit,
    /// A gateway takes what leaders of earlier terms give.
    AnyTermTaken,
    /// A process that starts again goes on as the one before.
    LifeNotNew,
    /// A report says that every grant before it was taken.
    TakenNotTold,
    /// An incarnation says that it has been running for longer than it has.
    RunningOverstated,
}

impl LimitsVariant {
    /// All that are broken.
    pub const BROKEN: [Self; 7] = [
        Self::LifeFromArrival,
        Self::LeaderForgets,
        Self::CeilingBeforeCommit,
        Self::AnyTermTaken,
        Self::LifeNotNew,
        Self::TakenNotTold,
        Self::RunningOverstated,
    ];
}
