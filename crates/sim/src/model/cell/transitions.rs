//! Transitions of the specification of a cell.
//!
//! Owns which steps a state has and what each does to it; the invariants are beside the state.

use super::{
    CellInvariant, CellReplica, CellRole, CellSpecification, CellState, CellStep, CellVariant,
    FIRST_VOTERS, REPLACEMENT, REPLICAS,
};
use crate::model::log::{LogEntry, Mask, ShortLog, is_majority};

type Steps = Vec<(CellStep, CellState)>;

const fn bit(replica: usize) -> Mask {
    1 << replica
}

/// Every transition out of a state.
pub(super) fn all(specification: &CellSpecification, state: &CellState) -> Steps {
    let mut steps = Steps::new();
    for replica in 0..REPLICAS {
        if !state.replicas[replica].present {
            continue;
        }
        elections(specification, state, replica, &mut steps);
        writes(specification, state, replica, &mut steps);
        appends(specification, state, replica, &mut steps);
        faults(specification, state, replica, &mut steps);
    }
    steps
}

fn elections(spec: &CellSpecification, state: &CellState, replica: usize, steps: &mut Steps) {
    let this = &state.replicas[replica];
    let votes = this.voters() & bit(replica) != 0 && !excluded_by_symmetry(state, replica);
    if votes && this.role != CellRole::Leader && this.term < spec.bounds.terms {
        steps.push((CellStep::Timeout(replica), timeout(state, replica)));
    }
    if this.role != CellRole::Candidate {
        return;
    }
    for voter in (0..REPLICAS).filter(|voter| *voter != replica) {
        if state.replicas[voter].present {
            let next = request_vote(spec, state, replica, voter);
            steps.push((CellStep::RequestVote(replica, voter), next));
        }
    }
    if is_majority(this.votes, this.voters()) {
        steps.push((CellStep::BecomeLeader(replica), become_leader(state, replica)));
    }
}

/// The first voters are alike until one of them has acted, so only replica 0 acts first.
fn excluded_by_symmetry(state: &CellState, replica: usize) -> bool {
    let untouched = state.crashes == 0 && state.lost_disks == 0;
    replica != 0 && untouched && state.replicas.iter().all(|other| other.term == 0)
}

fn timeout(state: &CellState, replica: usize) -> CellState {
    let mut next = *state;
    let this = &mut next.replicas[replica];
    this.see_term(this.term + 1);
    this.role = CellRole::Candidate;
    this.vote = u8::try_from(replica).ok();
    this.votes = bit(replica);
    next
}

fn request_vote(
    spec: &CellSpecification,
    state: &CellState,
    candidate: usize,
    voter: usize,
) -> CellState {
    let mut next = *state;
    let CellReplica { term, log, .. } = state.replicas[candidate];
    let this = &mut next.replicas[voter];
    this.see_term(term);
    let identity = u8::try_from(candidate).ok();
    let free = this.vote.is_none() || this.vote == identity;
    let complete = spec.variant == CellVariant::LogNotCompared || log.last() >= this.log.last();
    if this.term != term || !free || !complete {
        return next;
    }
    this.vote = identity;
    next.replicas[candidate].votes |= bit(voter);
    next
}

fn become_leader(state: &CellState, replica: usize) -> CellState {
    let mut next = *state;
    let this = &mut next.replicas[replica];
    this.role = CellRole::Leader;
    this.votes = 0;
    this.matched = [0; REPLICAS];
    this.matched[replica] = this.log.len();
    let (term, log) = (this.term, this.log);
    let identity = u8::try_from(replica).unwrap_or(u8::MAX);
    let earlier = &mut next.leaders[usize::from(term)];
    if earlier.is_some_and(|(leader, _)| leader != identity) {
        next.violated = Some(CellInvariant::ElectionSafety);
    }
    *earlier = Some((identity, log));
    next
}

fn writes(spec: &CellSpecification, state: &CellState, replica: usize, steps: &mut Steps) {
    let this = &state.replicas[replica];
    if this.role != CellRole::Leader {
        return;
    }
    if this.log.len() < spec.bounds.entries {
        steps.push((CellStep::Propose(replica), write(state, replica, 0)));
        for voters in changes(spec, state, replica) {
            let mut next = write(state, replica, voters);
            next.changes += 1;
            steps.push((CellStep::ProposeVoters(replica, voters), next));
        }
    }
    for index in this.commit + 1..=this.log.len() {
        if may_commit(spec, this, index) {
            steps.push((CellStep::Commit(replica, index), commit(state, replica, index)));
        }
    }
}

fn write(state: &CellState, replica: usize, voters: Mask) -> CellState {
    let mut next = *state;
    let this = &mut next.replicas[replica];
    this.log.push(LogEntry { term: this.term, voters });
    this.matched[replica] = this.log.len();
    let identity = u8::try_from(replica).unwrap_or(u8::MAX);
    next.leaders[usize::from(this.term)] = Some((identity, this.log));
    next
}

/// The sets of voters that a leader may propose: one replica more or one less.
fn changes(spec: &CellSpecification, state: &CellState, replica: usize) -> Vec<Mask> {
    let this = &state.replicas[replica];
    let own_term = this.commit > 0 && this.log.entry(this.commit).term == this.term;
    let settled = own_term && this.log.last_voters_index() <= this.commit;
    let allowed = settled || spec.variant == CellVariant::TwoChangesAtOnce;
    if !allowed || state.changes >= spec.bounds.changes {
        return Vec::new();
    }
    let voters = this.voters();
    let present = |other: &usize| state.replicas[*other].present;
    let added = (0..REPLICAS).filter(|other| voters & bit(*other) == 0).filter(present);
    let removed = (0..REPLICAS).filter(|other| *other != replica && voters & bit(*other) != 0);
    added.chain(removed).map(|other| voters ^ bit(other)).collect()
}

fn may_commit(spec: &CellSpecification, leader: &CellReplica, index: u8) -> bool {
    let own_term = leader.log.entry(index).term == leader.term;
    if !own_term && spec.variant != CellVariant::CommitsOlderTerm {
        return false;
    }
    let holders = (0..REPLICAS).filter(|other| leader.matched[*other] >= index);
    let holders = holders.map(bit).fold(0, |left, right| left | right);
    is_majority(holders, leader.voters())
}

fn commit(state: &CellState, replica: usize, index: u8) -> CellState {
    let mut next = *state;
    let this = &mut next.replicas[replica];
    this.commit = index;
    let (term, log) = (this.term, this.log.prefix(index));
    if !log.starts_with(&state.committed) && !state.committed.starts_with(&log) {
        next.violated = Some(CellInvariant::CommittedNeverLost);
        return next;
    }
    remember_committed(&mut next, term, log);
    next
}

fn remember_committed(state: &mut CellState, term: u8, log: ShortLog) {
    for place in 0..usize::from(log.len()) {
        let known = place < usize::from(state.committed.len());
        let first = &mut state.committed_in[place];
        *first = if known { term.min(*first) } else { term };
    }
    if log.len() > state.committed.len() {
        state.committed = log;
    }
}

fn appends(spec: &CellSpecification, state: &CellState, follower: usize, steps: &mut Steps) {
    for (place, leader) in state.leaders.iter().enumerate() {
        let Some((leader, log)) = leader else { continue };
        let term = u8::try_from(place).unwrap_or(u8::MAX);
        if usize::from(*leader) == follower || state.replicas[follower].term > term {
            continue;
        }
        for entries in 1..=log.len() {
            let step = CellStep::Append { term, follower, entries };
            let prefix = log.prefix(entries);
            steps.push((step, append(spec, state, follower, (*leader, term, prefix))));
        }
    }
}

fn append(
    spec: &CellSpecification,
    state: &CellState,
    follower: usize,
    (leader, term, message): (u8, u8, ShortLog),
) -> CellState {
    let mut next = *state;
    let this = &mut next.replicas[follower];
    this.see_term(term);
    if this.role == CellRole::Leader {
        return next;
    }
    this.forget_leadership();
    if spec.variant != CellVariant::PreviousEntryNotChecked {
        this.log.accept(&message);
    } else if !this.log.overwrite_last(&message) {
        return next;
    }
    let sender = &mut next.replicas[usize::from(leader)];
    if sender.role == CellRole::Leader && sender.term == term {
        let matched = &mut sender.matched[follower];
        *matched = message.len().max(*matched);
    }
    next
}

fn faults(spec: &CellSpecification, state: &CellState, replica: usize, steps: &mut Steps) {
    if state.crashes < spec.bounds.crashes {
        steps.push((CellStep::Crash(replica), crash(spec, state, replica)));
    }
    let first_voter = FIRST_VOTERS & bit(replica) != 0;
    if first_voter && state.lost_disks < spec.bounds.lost_disks {
        steps.push((CellStep::LoseDisk(replica), lose_disk(spec, state, replica)));
    }
}

fn crash(spec: &CellSpecification, state: &CellState, replica: usize) -> CellState {
    let mut next = *state;
    next.crashes += 1;
    let this = &mut next.replicas[replica];
    this.forget_volatile();
    match spec.variant {
        CellVariant::VoteNotPersisted => this.vote = None,
        CellVariant::LogNotSynced => this.log = this.log.prefix(this.log.len().saturating_sub(1)),
        _ => {}
    }
    next
}

fn lose_disk(spec: &CellSpecification, state: &CellState, replica: usize) -> CellState {
    let mut next = *state;
    next.lost_disks += 1;
    next.replicas[replica] = CellReplica::EMPTY;
    if spec.variant != CellVariant::ReplacementKeepsIdentity {
        next.replicas[replica].present = false;
        next.replicas[REPLACEMENT].present = true;
    }
    next
}
