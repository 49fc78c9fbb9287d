//! Who takes part in a run, and what they send each other.
//!
//! The text of each packet is part of a run's hash: renaming a variant or a field changes it.

use super::history::Note;
use super::variant::Variant;
use corktack_core::backend::MemberStatus;
use corktack_core::consensus::{CellMember, Message};
use corktack_core::failover::{CallFailure, FenceAnswer, MemberHealth};
use corktack_core::identity::{Incarnation, MemberName, ReplicaId};
use corktack_core::membership::ProxyHeartbeat;
use corktack_core::position::{Position, Term};
use corktack_core::state::command::{ChangeId, Outcome, ResourceOperation};
use corktack_core::time::Timestamp;
use corktack_core::view::{Delta, Revision, View};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

/// A participant of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Address {
    /// A control machine.
    Control(u8),
    /// A proxy.
    Proxy(u8),
    /// A member of the database group.
    Member(u8),
    /// A session of a caller.
    Client(u8),
    /// An operator.
    Operator(u8),
}

/// A write of one row: rows only grow, so a read tells how far it saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Write {
    /// The row; each session writes a row of its own.
    pub row: u8,
    /// The new value; with the row it is the idempotency key.
    pub value: u32,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Committed at a position.
    Done(Position),
    /// Did not run.
    NotRun,
    /// May or may not have run.
    Unknown,
}

/// An entry of a group's log; the first of a term holds no write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogEntry {
    pub term: Term,
    pub write: Option<Write>,
}

#[derive(Clone, Debug)]
pub(crate) struct AppendRequest {
    pub term: Term,
    pub previous: Position,
    pub entries: Vec<LogEntry>,
    pub commit: usize,
    pub round: u64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum AppendOutcome {
    Matched(usize),
    Mismatch(usize),
    Refused,
}

#[derive(Clone, Debug)]
pub(crate) struct ProxyReport {
    pub heartbeat: ProxyHeartbeat,
    pub observations: Vec<(MemberName, MemberHealth)>,
}

/// What is sent.
#[derive(Clone, Debug)]
pub(crate) enum Packet {
    Cell {
        from: ReplicaId,
        to: ReplicaId,
        message: Message,
    },
    Report(Box<ProxyReport>),
    Deltas {
        after: Revision,
        deltas: Vec<Arc<Delta>>,
    },
    /// The whole view, for one life of a proxy: its connection ends with it.
    Snapshot {
        life: Incarnation,
        view: Arc<View>,
    },
    Operate {
        change: ChangeId,
        operation: ResourceOperation,
    },
    Operated {
        change: ChangeId,
        outcome: Option<Outcome>,
    },
    Join(CellMember),
    Probe,
    Probed(MemberStatus),
    Fence(Term),
    Fenced(Term, Result<FenceAnswer, CallFailure>),
    Promote(Term),
    Promoted(Term, Result<Position, CallFailure>),
    Append(AppendRequest),
    Appended {
        term: Term,
        promised: Term,
        round: u64,
        outcome: AppendOutcome,
    },
    Write {
        request: u64,
        write: Write,
    },
    Wrote {
        request: u64,
        outcome: WriteOutcome,
    },
    ReadIndex {
        request: u64,
    },
    ReadIndexed {
        request: u64,
        position: Option<Position>,
    },
    Read {
        request: u64,
        row: u8,
    },
    ReadRow {
        request: u64,
        position: Position,
        value: u32,
    },
    ClientWrite {
        request: u64,
        write: Write,
    },
    ClientWrote {
        request: u64,
        outcome: WriteOutcome,
    },
    ClientRead {
        request: u64,
        row: u8,
        token: Option<Position>,
    },
    ClientReadDone {
        request: u64,
        value: Option<(Position, u32)>,
    },
}

/// What a participant has at hand while it handles one event.
pub(crate) struct Context<'a> {
    /// Its own clock.
    pub now: Timestamp,
    pub random: &'a mut ChaCha8Rng,
    pub variant: Variant,
    pub sends: Vec<(Address, Packet)>,
    pub notes: Vec<Note>,
}

impl Context<'_> {
    pub fn send(&mut self, to: Address, packet: Packet) {
        self.sends.push((to, packet));
    }

    pub fn is(&self, variant: Variant) -> bool {
        self.variant == variant
    }
}
