//! What a run noted, and the checker over it.
//!
//! Owns everything noted in a run and the violations found so far; participants only add notes. Checks that
//! need the whole run compare with the final state at its end.

use super::event::Write;
use corktack_core::identity::ReplicaId;
use corktack_core::position::Term;
use corktack_core::resources::{ResourceKey, ResourceVersion};
use corktack_core::state::ControlState;
use corktack_core::state::command::{ChangeId, Command, Outcome, ResourceOperation};
use corktack_core::view::Revision;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::fmt::{self, Debug, Write as _};
use std::hash::Hasher;

/// What a run may not do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A read did not see a write that was acknowledged before it began.
    StaleRead {
        /// The session.
        client: u8,
        /// The row.
        row: u8,
        /// The value read.
        read: u32,
        /// The value that was acknowledged.
        acknowledged: u32,
    },
    /// An acknowledged write is not in the group's committed log.
    AcknowledgedWriteLost(Write),
    /// A write is in the group's committed log more than once.
    WriteRanTwice(Write),
    /// A write that was refused as not run is in the group's committed log.
    RefusedWriteRan(Write),
    /// Two members acknowledged writes in one term.
    TwoPrimaries {
        /// The term.
        term: Term,
    },
    /// Two replicas led the cell in one term.
    TwoLeaders {
        /// The term.
        term: Term,
    },
    /// Two machines called for promotions under one fence.
    TwoHolders {
        /// The fence.
        fence: u64,
    },
    /// A proxy went back to an older configuration.
    ConfigurationReverted {
        /// The proxy.
        proxy: u8,
        /// What it had in force.
        from: Revision,
        /// What it applied.
        to: Revision,
    },
    /// Two views of one revision differ.
    ViewsDiffer(Revision),
    /// Two replicas applied different entries at one index.
    LogsDiffer(u64),
    /// A change got two different answers.
    AnswersDiffer(ChangeId),
    /// Two changes made from one version were both accepted.
    AcceptedTwice(ChangeId, ChangeId),
    /// An accepted change is not in the final control log.
    AcceptedChangeLost(ChangeId),
    /// A control replica could not start from what its disk holds, or failed without an
    /// injected fault.
    StartFailed {
        /// The machine.
        machine: u8,
        /// Why.
        error: String,
    },
    /// The core or a model panicked.
    Panicked(String),
    /// The system did not become healthy after the last fault.
    NotHealthy(&'static str),
}

/// Something that happened, as the participants tell it.
#[derive(Clone, Debug)]
pub(crate) enum Note {
    Leader { id: ReplicaId, term: Term },
    Applied { index: u64, digest: u64 },
    StateView { revision: Revision, digest: u64 },
    ProxyView { proxy: u8, revision: Revision, digest: u64 },
    Acknowledged { member: u8, term: Term },
    PromotionCalled { machine: u8, fence: u64 },
    Wrote { write: Write },
    NotRun { write: Write },
    ReadBegun { client: u8, row: u8 },
    Read { client: u8, row: u8, value: u32 },
    Operated { change: ChangeId, operation: ResourceOperation, outcome: Outcome },
    StartFailed { machine: u8, error: String },
}

/// Digest of a value by its debug text.
pub(crate) fn digest(value: &impl Debug) -> u64 {
    struct Sink(SipHasher13);
    impl fmt::Write for Sink {
        fn write_str(&mut self, text: &str) -> fmt::Result {
            self.0.write(text.as_bytes());
            Ok(())
        }
    }
    let mut sink = Sink(SipHasher13::new());
    // The sink takes everything.
    let _ = write!(sink, "{value:?}");
    sink.0.finish()
}

/// Counts of a run, to tell that it did something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Writes acknowledged to callers.
    pub writes: u64,
    /// Reads answered.
    pub reads: u64,
    /// Changes accepted.
    pub changes: u64,
    /// Leaders of the cell.
    pub leaders: u64,
    /// Terms in which a primary acknowledged a write.
    pub primaries: u64,
    /// Calls for promotions of the registered group.
    pub promotions: u64,
}

/// Everything noted, with the violations found so far.
#[derive(Debug, Default)]
pub(crate) struct History {
    leaders: BTreeMap<Term, ReplicaId>,
    applied: BTreeMap<u64, u64>,
    views: BTreeMap<Revision, u64>,
    in_force: BTreeMap<u8, Revision>,
    primaries: BTreeMap<Term, u8>,
    /// The machine that called under each fence.
    holders: BTreeMap<u64, u8>,
    /// Highest acknowledged value of each row.
    acknowledged: BTreeMap<u8, u32>,
    wrote: Vec<Write>,
    not_run: Vec<Write>,
    /// What each session's read has to see at least.
    reads_begun: BTreeMap<u8, u32>,
    answers: BTreeMap<ChangeId, (ResourceOperation, Outcome)>,
    /// The accepted change made from each version.
    accepted: BTreeMap<(ResourceKey, Option<ResourceVersion>), ChangeId>,
    pub counts: Counts,
    pub violations: Vec<Violation>,
}

impl History {
    pub fn note(&mut self, note: Note) {
        match note {
            Note::Leader { id, term } => {
                self.counts.leaders += 1;
                if *self.leaders.entry(term).or_insert(id) != id {
                    self.violations.push(Violation::TwoLeaders { term });
                }
            }
            Note::Applied { index, digest } => {
                if *self.applied.entry(index).or_insert(digest) != digest {
                    self.violations.push(Violation::LogsDiffer(index));
                }
            }
            Note::StateView { revision, digest } => self.note_view(revision, digest),
            Note::ProxyView { proxy, revision, digest } => {
                let from = self.in_force.insert(proxy, revision).unwrap_or_default();
                if revision < from {
                    let violation = Violation::ConfigurationReverted { proxy, from, to: revision };
                    self.violations.push(violation);
                }
                self.note_view(revision, digest);
            }
            Note::Acknowledged { member, term } => {
                if *self.primaries.entry(term).or_insert(member) != member {
                    self.violations.push(Violation::TwoPrimaries { term });
                }
                self.counts.primaries = self.primaries.len() as u64;
            }
            Note::PromotionCalled { machine, fence } => {
                self.counts.promotions += 1;
                if *self.holders.entry(fence).or_insert(machine) != machine {
                    self.violations.push(Violation::TwoHolders { fence });
                }
            }
            Note::Wrote { write } => {
                self.counts.writes += 1;
                let row = self.acknowledged.entry(write.row).or_insert(0);
                *row = write.value.max(*row);
                self.wrote.push(write);
            }
            Note::NotRun { write } => self.not_run.push(write),
            Note::ReadBegun { client, row } => {
                let needed = self.acknowledged.get(&row).copied().unwrap_or(0);
                self.reads_begun.insert(client, needed);
            }
            Note::Read { client, row, value } => {
                self.counts.reads += 1;
                let acknowledged = self.reads_begun.get(&client).copied().unwrap_or(0);
                if value < acknowledged {
                    let violation = Violation::StaleRead { client, row, read: value, acknowledged };
                    self.violations.push(violation);
                }
            }
            Note::Operated { change, operation, outcome } => {
                self.note_answer(change, operation, outcome);
            }
            Note::StartFailed { machine, error } => {
                self.violations.push(Violation::StartFailed { machine, error });
            }
        }
    }

    fn note_view(&mut self, revision: Revision, digest: u64) {
        if *self.views.entry(revision).or_insert(digest) != digest {
            self.violations.push(Violation::ViewsDiffer(revision));
        }
    }

    fn note_answer(&mut self, change: ChangeId, operation: ResourceOperation, outcome: Outcome) {
        if let (Outcome::Accepted { .. }, ResourceOperation::Put { key, expected, .. }) =
            (&outcome, &operation)
        {
            self.counts.changes += 1;
            let from = (key.clone(), *expected);
            let first = self.accepted.entry(from).or_insert_with(|| change.clone());
            if *first != change {
                let violation = Violation::AcceptedTwice(first.clone(), change.clone());
                self.violations.push(violation);
            }
        }
        let entry = self.answers.entry(change.clone());
        let (_, first) = entry.or_insert_with(|| (operation, outcome.clone()));
        if *first != outcome {
            self.violations.push(Violation::AnswersDiffer(change));
        }
    }

    /// Compares what was promised to callers with the group's final committed log.
    pub fn check_writes(&mut self, committed: &[Write]) {
        let mut times: BTreeMap<Write, usize> = BTreeMap::new();
        for write in committed {
            *times.entry(*write).or_default() += 1;
        }
        let twice = times.iter().filter(|(_, count)| **count > 1);
        self.violations.extend(twice.map(|(write, _)| Violation::WriteRanTwice(*write)));
        let lost = self.wrote.iter().filter(|write| !times.contains_key(write));
        self.violations.extend(lost.map(|write| Violation::AcknowledgedWriteLost(*write)));
        let ran = self.not_run.iter().filter(|write| times.contains_key(write));
        self.violations.extend(ran.map(|write| Violation::RefusedWriteRan(*write)));
    }

    /// Compares what was answered to operators with the final control state, which
    /// remembers the answers it gave.
    pub fn check_changes(&mut self, state: &ControlState) {
        let mut state = state.clone();
        for (change, (operation, outcome)) in &self.answers {
            let (id, operation) = (change.clone(), operation.clone());
            let repeat = Command::Resource { change: id, operation };
            if state.apply(state.applied(), repeat).outcome != *outcome {
                self.violations.push(Violation::AcceptedChangeLost(change.clone()));
            }
        }
    }
}
