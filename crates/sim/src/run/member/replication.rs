//! Replication between the members of the group.

use super::{MEMBERS, Member, Role, Waiter};
use crate::run::event::{
    Address, AppendOutcome, AppendRequest, Context, LogEntry, Packet, WriteOutcome,
};
use crate::run::variant::Variant;
use corktack_core::position::{Position, Term};

/// What a primary knows of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    next: usize,
    matched: usize,
    round: u64,
}

impl Peer {
    pub fn new(next: usize) -> Self {
        Self { next, matched: 0, round: 0 }
    }
}

impl Member {
    fn term_at(&self, index: usize) -> Option<Term> {
        match index.checked_sub(1) {
            None => Some(Term(0)),
            Some(place) => self.live.log.get(place).map(|entry| entry.term),
        }
    }

    pub(super) fn send_appends(&mut self, context: &mut Context<'_>) {
        let sendable = self.sendable(context);
        for to in (0..MEMBERS).filter(|to| *to != self.index) {
            let previous = (self.peers[usize::from(to)].next - 1).min(sendable);
            let term = self.term_at(previous).unwrap_or_default();
            context.send(
                Address::Member(to),
                Packet::Append(AppendRequest {
                    term: self.live.promised,
                    previous: Position { term, index: previous as u64 },
                    entries: self.live.log[previous..sendable].to_vec(),
                    commit: self.commit,
                    round: self.round,
                }),
            );
        }
    }

    pub(super) fn take_append(
        &mut self,
        context: &mut Context<'_>,
        from: Address,
        request: AppendRequest,
    ) {
        let Address::Member(sender) = from else { return };
        let (term, round) = (request.term, request.round);
        let promised = self.live.promised;
        let taken = self.live.primary.is_some_and(|primary| primary != sender)
            && !context.is(Variant::PromoteEveryMember);
        let mut outcome = AppendOutcome::Refused;
        if term > promised || (term == promised && !taken) {
            if self.leads() || term > promised {
                self.step_down(context, Role::Replica);
            }
            self.role = Role::Replica;
            self.dirty |= term > promised || self.live.primary.is_none();
            self.live.promised = term;
            self.live.primary = Some(sender);
            outcome = self.merge(&request);
        }
        let promised = self.live.promised;
        self.answer(context, from, Packet::Appended { term, promised, round, outcome });
    }

    /// Makes the log match the request as far as it goes.
    fn merge(&mut self, request: &AppendRequest) -> AppendOutcome {
        let previous = usize::try_from(request.previous.index).unwrap_or(usize::MAX);
        if self.term_at(previous) != Some(request.previous.term) {
            return AppendOutcome::Mismatch(previous.min(self.live.log.len() + 1).max(1));
        }
        let held = self.live.log[previous..].iter().zip(&request.entries);
        let same = held.take_while(|(held, sent)| held.term == sent.term).count();
        if let Some(fresh) = request.entries.get(same..).filter(|fresh| !fresh.is_empty()) {
            self.live.log.truncate(previous + same);
            self.live.log.extend_from_slice(fresh);
            self.dirty = true;
        }
        let matched = previous + request.entries.len();
        self.commit = self.commit.max(request.commit.min(matched));
        self.applied = self.applied.min(self.live.log.len());
        AppendOutcome::Matched(matched)
    }

    pub(super) fn take_appended(
        &mut self,
        context: &mut Context<'_>,
        from: Address,
        (term, promised, round): (Term, Term, u64),
        outcome: AppendOutcome,
    ) {
        let Address::Member(sender) = from else { return };
        if promised > self.live.promised {
            self.step_down(context, Role::Fenced);
            self.live.promised = promised;
            self.live.primary = None;
            self.dirty = true;
        }
        if !self.leads() || self.live.promised != term {
            return;
        }
        let peer = &mut self.peers[usize::from(sender)];
        match outcome {
            AppendOutcome::Refused => return,
            AppendOutcome::Mismatch(index) => peer.next = index.clamp(1, peer.next),
            AppendOutcome::Matched(index) => {
                peer.matched = peer.matched.max(index);
                peer.next = peer.matched + 1;
            }
        }
        peer.round = peer.round.max(round);
        self.advance(context);
    }

    /// The highest value that a majority has, this member included.
    fn majority<T: Ord + Copy>(&self, own: T, of_peer: impl Fn(&Peer) -> T) -> T {
        let mut values = vec![own];
        let others = (0..).zip(&self.peers).filter(|(place, _)| *place != self.index);
        values.extend(others.map(|(_, peer)| of_peer(peer)));
        values.sort_unstable();
        values[values.len() - usize::from(MEMBERS / 2 + 1)]
    }

    /// Commits what a majority has synced, and answers those that waited for it.
    pub(super) fn advance(&mut self, context: &mut Context<'_>) {
        if !self.leads() {
            return;
        }
        let synced = self.sendable(context);
        let mut held = self.majority(synced, |peer| peer.matched);
        if context.is(Variant::AckBeforeMajority) {
            held = synced;
        }
        if held > self.commit && self.term_at(held) == Some(self.live.promised) {
            self.commit = held;
        }
        self.answer_waiters(context);
    }

    /// How much of the log may be told to others. Nothing leaves before it is synced:
    /// a primary may restart within its term, and must not write another entry of
    /// that term at the same index.
    fn sendable(&self, context: &Context<'_>) -> usize {
        if context.is(Variant::AckBeforeSync) {
            return self.live.log.len();
        }
        let pairs = self.live.log.iter().zip(&self.disk.log);
        pairs.take_while(|(live, disk): &(&LogEntry, &LogEntry)| live == disk).count()
    }

    fn answer_waiters(&mut self, context: &mut Context<'_>) {
        let confirmed = self.majority(self.round, |peer| peer.round);
        let unproven = context.is(Variant::ReadIndexNotConfirmed);
        for waiter in std::mem::take(&mut self.waiters) {
            match waiter {
                Waiter::Write { proxy, request, index } if index <= self.commit => {
                    self.note_acknowledged(context);
                    let position = self.position(index);
                    let outcome = WriteOutcome::Done(position);
                    context.send(proxy, Packet::Wrote { request, outcome });
                }
                Waiter::Promotion { control, index } if index <= self.commit => {
                    self.role = Role::Primary;
                    self.note_acknowledged(context);
                    let term = self.live.promised;
                    let position = self.position(index);
                    context.send(control, Packet::Promoted(term, Ok(position)));
                }
                Waiter::Read { proxy, request, round, index } if round <= confirmed || unproven => {
                    let position = Some(self.position(index));
                    context.send(proxy, Packet::ReadIndexed { request, position });
                }
                waiting => self.waiters.push(waiting),
            }
        }
    }

    fn position(&self, index: usize) -> Position {
        Position { term: self.live.promised, index: index as u64 }
    }
}
