//! Transitions of the specification of a database group.
//!
//! Owns which steps a state has and what each does to it; the invariants are beside the state.

use super::{
    ALL_MEMBERS, Attempt, FIRST_TERM, GroupInvariant, GroupMember, GroupRole, GroupSpecification,
    GroupState, GroupStep, GroupVariant, MEMBERS, ReadQuestion,
};
use crate::model::log::{LogEntry, Mask, ShortLog, is_majority};

type Steps = Vec<(GroupStep, GroupState)>;

const fn bit(member: usize) -> Mask {
    1 << member
}

fn mask(members: impl Iterator<Item = usize>) -> Mask {
    members.map(bit).fold(0, |left, right| left | right)
}

fn identity(member: usize) -> u8 {
    u8::try_from(member).unwrap_or(u8::MAX)
}

/// Every transition out of a state.
pub(super) fn all(spec: &GroupSpecification, state: &GroupState) -> Steps {
    let mut steps = Steps::new();
    control(spec, state, &mut steps);
    for member in 0..MEMBERS {
        appends(spec, state, member, &mut steps);
        if state.members[member].role == GroupRole::Primary {
            writes(spec, state, member, &mut steps);
            reads(spec, state, member, &mut steps);
        }
        if state.crashes < spec.bounds.crashes {
            steps.push((GroupStep::Crash(member), crash(spec, state, member)));
        }
    }
    steps
}

fn control(spec: &GroupSpecification, state: &GroupState, steps: &mut Steps) {
    for term in FIRST_TERM + 1..=spec.bounds.terms {
        let attempt = &state.attempts[usize::from(term)];
        for member in 0..MEMBERS {
            if term >= state.members[member].promised {
                steps.push((GroupStep::Fence(term, member), fence(state, term, member)));
            }
            if may_promote(spec, state, attempt, (term, member)) {
                steps.push((GroupStep::Promote(term, member), promote(state, term, member)));
            }
        }
    }
}

fn fence(state: &GroupState, term: u8, member: usize) -> GroupState {
    let mut next = *state;
    let this = &mut next.members[member];
    if term > this.promised {
        this.promised = term;
        this.demote(GroupRole::Fenced);
    }
    next.attempts[usize::from(term)].reported[member] = Some(this.log.last());
    next
}

fn may_promote(
    spec: &GroupSpecification,
    state: &GroupState,
    attempt: &Attempt,
    (term, member): (u8, usize),
) -> bool {
    let this = &state.members[member];
    let accepts = this.promised == term && this.role == GroupRole::Fenced;
    let room = this.log.len() < spec.bounds.entries;
    accepts && room && chosen(spec, attempt, member)
}

/// Whether the controller of an attempt may ask this member to become primary.
fn chosen(spec: &GroupSpecification, attempt: &Attempt, member: usize) -> bool {
    let Some(position) = attempt.reported[member] else { return false };
    let resumed = spec.variant == GroupVariant::ResumedTermPromotesAnother;
    if attempt.promoted.is_some_and(|promoted| promoted != identity(member)) && !resumed {
        return false;
    }
    let fenced = (0..MEMBERS).filter(|other| attempt.reported[*other].is_some());
    let majority = is_majority(mask(fenced), ALL_MEMBERS);
    if !majority && spec.variant != GroupVariant::PromoteWithoutMajority {
        return false;
    }
    let mut reported = attempt.reported.iter().flatten();
    match spec.variant {
        GroupVariant::PromoteLeastAdvanced => reported.all(|other| *other >= position),
        // A resumed attempt has lost what was reported to the first one and asks anew.
        GroupVariant::ResumedTermPromotesAnother => true,
        _ => reported.all(|other| *other <= position),
    }
}

fn promote(state: &GroupState, term: u8, member: usize) -> GroupState {
    let mut next = *state;
    let this = &mut next.members[member];
    this.role = GroupRole::Primary;
    this.log.push(LogEntry { term, voters: 0 });
    this.matched[member] = this.log.len();
    let log = this.log;
    next.attempts[usize::from(term)].promoted = Some(identity(member));
    let earlier = &mut next.primaries[usize::from(term)];
    if earlier.is_some_and(|(primary, _)| primary != identity(member)) {
        next.violated = Some(GroupInvariant::OnePrimaryPerTerm);
    } else if !log.starts_with(&state.acknowledged_before(term)) {
        next.violated = Some(GroupInvariant::AckedNeverLost);
    }
    *earlier = Some((identity(member), log));
    next
}

fn writes(spec: &GroupSpecification, state: &GroupState, member: usize, steps: &mut Steps) {
    let this = &state.members[member];
    if this.log.len() < spec.bounds.entries {
        steps.push((GroupStep::Write(member), write(state, member)));
    }
    for index in this.commit + 1..=this.log.len() {
        if may_acknowledge(spec, this, index) {
            let next = acknowledge(state, member, index);
            steps.push((GroupStep::Acknowledge(member, index), next));
        }
    }
}

fn write(state: &GroupState, member: usize) -> GroupState {
    let mut next = *state;
    let this = &mut next.members[member];
    this.log.push(LogEntry { term: this.promised, voters: 0 });
    this.matched[member] = this.log.len();
    next.primaries[usize::from(this.promised)] = Some((identity(member), this.log));
    next
}

fn may_acknowledge(spec: &GroupSpecification, primary: &GroupMember, index: u8) -> bool {
    let own_term = primary.log.entry(index).term == primary.promised;
    if !own_term && spec.variant != GroupVariant::AckOlderTerm {
        return false;
    }
    let holders = (0..MEMBERS).filter(|other| primary.matched[*other] >= index);
    is_majority(mask(holders), ALL_MEMBERS) || spec.variant == GroupVariant::AckBeforeMajority
}

fn acknowledge(state: &GroupState, member: usize, index: u8) -> GroupState {
    let mut next = *state;
    let this = &mut next.members[member];
    this.commit = index;
    let (term, log) = (this.promised, this.log.prefix(index));
    next.attempts[usize::from(term)].completed = true;
    if replaced_without(state, term, &log) {
        next.violated = Some(GroupInvariant::NoAckByReplaced);
    } else if !log.starts_with(&state.acknowledged) && !state.acknowledged.starts_with(&log) {
        next.violated = Some(GroupInvariant::AckedNeverLost);
    }
    remember_acknowledged(&mut next, term, log);
    next
}

fn remember_acknowledged(state: &mut GroupState, term: u8, log: ShortLog) {
    for place in 0..usize::from(log.len()) {
        let known = place < usize::from(state.acknowledged.len());
        let first = &mut state.acknowledged_in[place];
        *first = if known { term.min(*first) } else { term };
    }
    if log.len() > state.acknowledged.len() {
        state.acknowledged = log;
    }
}

/// Whether a completed primary of a higher term lacks part of `log`.
fn replaced_without(state: &GroupState, term: u8, log: &ShortLog) -> bool {
    let later = state.primaries.iter().zip(&state.attempts).skip(usize::from(term) + 1);
    let completed = later.filter(|(_, attempt)| attempt.completed);
    completed.filter_map(|(primary, _)| *primary).any(|(_, held)| !held.starts_with(log))
}

fn appends(spec: &GroupSpecification, state: &GroupState, member: usize, steps: &mut Steps) {
    for (place, primary) in state.primaries.iter().enumerate() {
        let Some((primary, log)) = *primary else { continue };
        let term = identity(place);
        let refused = term < state.members[member].promised
            && spec.variant != GroupVariant::FenceNotCheckedOnAppend;
        if usize::from(primary) == member || refused {
            continue;
        }
        for entries in 1..=log.len() {
            let next = append(state, member, (primary, term, log.prefix(entries)));
            steps.push((GroupStep::Append { term, member, entries }, next));
        }
    }
}

fn append(
    state: &GroupState,
    member: usize,
    (primary, term, message): (u8, u8, ShortLog),
) -> GroupState {
    let mut next = *state;
    let this = &mut next.members[member];
    if this.role == GroupRole::Primary && this.promised >= term {
        return next;
    }
    this.promised = this.promised.max(term);
    this.demote(GroupRole::Replica);
    this.log.accept(&message);
    let sender = &mut next.members[usize::from(primary)];
    if sender.role == GroupRole::Primary && sender.promised == term {
        let matched = &mut sender.matched[member];
        *matched = message.len().max(*matched);
    }
    next
}

fn reads(spec: &GroupSpecification, state: &GroupState, member: usize, steps: &mut Steps) {
    let this = &state.members[member];
    let settled =
        this.committed_own_term() || spec.variant == GroupVariant::ReadIndexBeforeOwnTermEntry;
    if this.read.is_none() && settled && state.reads < spec.bounds.reads {
        steps.push((GroupStep::ReadAsk(member), read_ask(state, member)));
    }
    let Some(question) = this.read else { return };
    for other in (0..MEMBERS).filter(|other| *other != member) {
        if state.members[other].promised <= this.promised {
            let next = read_confirm(state, member, other);
            steps.push((GroupStep::ReadConfirm(member, other), next));
        }
    }
    let confirmed = is_majority(question.confirmed, ALL_MEMBERS);
    if confirmed || spec.variant == GroupVariant::ReadIndexWithoutConfirmation {
        steps.push((GroupStep::ReadAnswer(member), read_answer(state, member, question)));
    }
}

fn read_ask(state: &GroupState, member: usize) -> GroupState {
    let mut next = *state;
    next.reads += 1;
    let this = &mut next.members[member];
    let required = state.acknowledged.len();
    this.read = Some(ReadQuestion { index: this.commit, required, confirmed: bit(member) });
    next
}

fn read_confirm(state: &GroupState, member: usize, other: usize) -> GroupState {
    let mut next = *state;
    if let Some(question) = &mut next.members[member].read {
        question.confirmed |= bit(other);
    }
    next
}

fn read_answer(state: &GroupState, member: usize, question: ReadQuestion) -> GroupState {
    let mut next = *state;
    next.members[member].read = None;
    if question.index < question.required {
        next.violated = Some(GroupInvariant::ReadIndexNotStale);
    }
    next
}

fn crash(spec: &GroupSpecification, state: &GroupState, member: usize) -> GroupState {
    let mut next = *state;
    next.crashes += 1;
    let this = &mut next.members[member];
    this.demote(GroupRole::Fenced);
    if spec.variant == GroupVariant::PromiseNotPersisted {
        this.promised = this.log.last().0;
    }
    next
}
