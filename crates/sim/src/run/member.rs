//! A member of the database group, modelled after the stand-in and the contract
//! of `corktack_core::backend`: promises, log, replication and read index.
//!
//! Owns the member's log, promise and role, in memory and on its disk; what is not synced is lost in a crash.

mod replication;

use super::event::{Address, Context, LogEntry, Packet, Write, WriteOutcome};
use super::history::Note;
use super::variant::Variant;
use corktack_core::backend::{MemberRole, MemberStatus};
use corktack_core::failover::{CallFailure, FenceAnswer};
use corktack_core::identity::MemberName;
use corktack_core::position::{Position, Term};
use corktack_core::time::Timestamp;
use replication::Peer;
use std::time::Duration;

/// Members of the group.
pub(crate) const MEMBERS: u8 = 3;
/// Between two heartbeats of a primary.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(60);

/// What a crash leaves.
#[derive(Clone, Debug, Default)]
struct Durable {
    promised: Term,
    primary: Option<u8>,
    log: Vec<LogEntry>,
}

/// A caller of a primary that waits for a majority.
#[derive(Clone, Copy, Debug)]
enum Waiter {
    Write { proxy: Address, request: u64, index: usize },
    Promotion { control: Address, index: usize },
    Read { proxy: Address, request: u64, round: u64, index: usize },
}

/// Role of a member; a promoted one serves once its first entry is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Promoting,
    Primary,
    Replica,
    Fenced,
}

/// One member.
pub(crate) struct Member {
    index: u8,
    name: MemberName,
    pub running: bool,
    disk: Durable,
    /// The same as on disk, and what is not synced yet.
    live: Durable,
    dirty: bool,
    /// Answers that wait for the sync.
    unsynced: Vec<(Address, Packet)>,
    role: Role,
    commit: usize,
    applied: usize,
    /// Until when nothing is applied.
    pub lagging_until: Timestamp,
    peers: Vec<Peer>,
    round: u64,
    waiters: Vec<Waiter>,
    heartbeat_due: Timestamp,
}

impl Member {
    pub fn new(index: u8, name: MemberName) -> Self {
        let first = LogEntry { term: Term(1), write: None };
        let disk = Durable { promised: Term(1), primary: Some(0), log: vec![first] };
        Self {
            index,
            name,
            running: true,
            live: disk.clone(),
            disk,
            dirty: false,
            unsynced: Vec::new(),
            role: if index == 0 { Role::Primary } else { Role::Replica },
            commit: 1,
            applied: 1,
            lagging_until: Timestamp::ZERO,
            peers: vec![Peer::new(2); usize::from(MEMBERS)],
            round: 0,
            waiters: Vec::new(),
            heartbeat_due: Timestamp::ZERO,
        }
    }

    /// Ends the process; what was not synced is lost.
    pub fn crash(&mut self) {
        self.running = false;
        self.live = self.disk.clone();
        self.dirty = false;
        self.unsynced.clear();
        self.waiters.clear();
        self.role = Role::Fenced;
        self.commit = 0;
        self.applied = 0;
    }

    /// Writes committed here, in order, and whether this member serves as primary.
    pub fn committed(&self) -> (bool, Term, Vec<Write>) {
        let committed = &self.live.log[..self.commit.min(self.live.log.len())];
        let writes = committed.iter().filter_map(|entry| entry.write).collect();
        (self.running && self.role == Role::Primary, self.live.promised, writes)
    }

    fn last(&self) -> Position {
        let term = self.live.log.last().map_or(Term(0), |entry| entry.term);
        Position { term, index: self.live.log.len() as u64 }
    }

    fn leads(&self) -> bool {
        matches!(self.role, Role::Primary | Role::Promoting)
    }

    /// Sends an answer once what it says is synced.
    fn answer(&mut self, context: &mut Context<'_>, to: Address, packet: Packet) {
        if self.dirty && !context.is(Variant::AckBeforeSync) {
            self.unsynced.push((to, packet));
        } else {
            context.send(to, packet);
        }
    }

    pub fn tick(&mut self, context: &mut Context<'_>) {
        if !self.running {
            return;
        }
        let delayed =
            context.is(Variant::AckBeforeSync) && context.now.as_micros() % 500_000 > 20_000;
        if self.dirty && !delayed {
            self.disk = self.live.clone();
            self.dirty = false;
            context.sends.append(&mut self.unsynced);
            self.heartbeat_due = Timestamp::ZERO;
        }
        self.advance(context);
        if context.now >= self.lagging_until {
            self.applied = self.commit;
        }
        if self.leads() && context.now >= self.heartbeat_due {
            self.heartbeat_due = context.now + HEARTBEAT_INTERVAL;
            self.send_appends(context);
        }
    }

    pub fn handle(&mut self, context: &mut Context<'_>, from: Address, packet: Packet) {
        match packet {
            Packet::Probe => {
                let status = self.status();
                self.answer(context, from, Packet::Probed(status));
            }
            Packet::Fence(term) => {
                let result = self.fence(context, term);
                self.answer(context, from, Packet::Fenced(term, result));
            }
            Packet::Promote(term) => self.promote(context, from, term),
            Packet::Append(request) => self.take_append(context, from, request),
            Packet::Appended { term, promised, round, outcome } => {
                self.take_appended(context, from, (term, promised, round), outcome);
            }
            Packet::Write { request, write } => self.write(context, from, request, write),
            Packet::ReadIndex { request } => self.read_index(context, from, request),
            Packet::Read { request, row } => {
                let position = Position { term: self.live.promised, index: self.applied as u64 };
                let value = self.row(row);
                context.send(from, Packet::ReadRow { request, position, value });
            }
            _ => {}
        }
    }

    fn status(&self) -> MemberStatus {
        let role = match self.role {
            Role::Primary => MemberRole::Primary,
            Role::Replica => MemberRole::Replica,
            Role::Fenced | Role::Promoting => MemberRole::Fenced,
        };
        MemberStatus {
            member: self.name.clone(),
            role,
            promised_term: self.live.promised,
            last_position: self.last(),
            applied_position: Position { term: self.live.promised, index: self.applied as u64 },
        }
    }

    /// What reads see of a row.
    fn row(&self, row: u8) -> u32 {
        let applied = self.live.log.iter().take(self.applied);
        let writes = applied.filter_map(|entry| entry.write).filter(|write| write.row == row);
        writes.map(|write| write.value).max().unwrap_or(0)
    }

    /// Stops serving; what waits for a majority gets no certain answer.
    fn step_down(&mut self, context: &mut Context<'_>, role: Role) {
        self.role = role;
        for waiter in std::mem::take(&mut self.waiters) {
            let (to, packet) = match waiter {
                Waiter::Write { proxy, request, .. } => {
                    (proxy, Packet::Wrote { request, outcome: WriteOutcome::Unknown })
                }
                Waiter::Promotion { control, .. } => {
                    let term = self.live.promised;
                    (control, Packet::Promoted(term, Err(CallFailure::Failed)))
                }
                Waiter::Read { proxy, request, .. } => {
                    (proxy, Packet::ReadIndexed { request, position: None })
                }
            };
            context.send(to, packet);
        }
    }

    fn fence(&mut self, context: &mut Context<'_>, term: Term) -> Result<FenceAnswer, CallFailure> {
        let promised = self.live.promised;
        if term < promised {
            return Err(CallFailure::HigherTerm(Some(promised)));
        }
        if term > promised {
            self.step_down(context, Role::Fenced);
            self.live.promised = term;
            self.live.primary = None;
            self.dirty = true;
        }
        Ok(FenceAnswer { promised: term, last_position: self.last() })
    }

    fn promote(&mut self, context: &mut Context<'_>, from: Address, term: Term) {
        let promised = self.live.promised;
        if term != promised {
            let failure = if term < promised {
                CallFailure::HigherTerm(Some(promised))
            } else {
                CallFailure::Failed
            };
            context.send(from, Packet::Promoted(term, Err(failure)));
            return;
        }
        let taken = self.live.primary.is_some_and(|primary| primary != self.index);
        if taken && !context.is(Variant::PromoteEveryMember) {
            context.send(from, Packet::Promoted(term, Err(CallFailure::Failed)));
            return;
        }
        if !self.leads() {
            self.live.primary = Some(self.index);
            self.role = Role::Promoting;
            self.live.log.push(LogEntry { term, write: None });
            self.dirty = true;
            let next = self.live.log.len();
            self.peers = vec![Peer::new(next); usize::from(MEMBERS)];
        }
        let index = self.live.log.len();
        self.waiters.push(Waiter::Promotion { control: from, index });
        self.send_appends(context);
    }

    fn write(&mut self, context: &mut Context<'_>, from: Address, request: u64, write: Write) {
        if self.role != Role::Primary {
            if context.is(Variant::RefusedWriteRuns) {
                self.live.log.push(LogEntry { term: self.live.promised, write: Some(write) });
            }
            context.send(from, Packet::Wrote { request, outcome: WriteOutcome::NotRun });
            return;
        }
        let known = self.live.log.iter().position(|entry| entry.write == Some(write));
        let index = match known.filter(|_| !context.is(Variant::KeyNotRemembered)) {
            Some(place) => place + 1,
            None => {
                self.live.log.push(LogEntry { term: self.live.promised, write: Some(write) });
                self.dirty = true;
                self.live.log.len()
            }
        };
        self.waiters.push(Waiter::Write { proxy: from, request, index });
        self.send_appends(context);
    }

    fn read_index(&mut self, context: &mut Context<'_>, from: Address, request: u64) {
        if self.role != Role::Primary {
            context.send(from, Packet::ReadIndexed { request, position: None });
            return;
        }
        self.round += 1;
        let (round, index) = (self.round, self.commit);
        self.waiters.push(Waiter::Read { proxy: from, request, round, index });
        self.send_appends(context);
    }

    fn note_acknowledged(&self, context: &mut Context<'_>) {
        let (member, term) = (self.index, self.live.promised);
        context.notes.push(Note::Acknowledged { member, term });
    }
}
