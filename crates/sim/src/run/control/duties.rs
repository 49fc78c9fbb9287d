//! Duties of a leading control machine: membership, failover and its calls to members.

use super::promotion::Promotions;
use super::{Machine, Origin};
use crate::run::event::{Address, Context, Packet};
use crate::run::member::MEMBERS;
use crate::run::names::{group_name, member_index, member_name};
use crate::run::variant::Variant;
use corktack_core::failover::{
    CallFailure, FailoverAction, FailoverEvent, FailoverManager, FailoverSettings, MemberHealth,
    ProposalId,
};
use corktack_core::identity::{MemberName, ProxyName};
use corktack_core::membership::{Membership, MembershipSettings};
use corktack_core::position::Term;
use corktack_core::state::ControlState;
use corktack_core::state::command::{Command, Outcome};
use corktack_core::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A call to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    Probe,
    Fence(Term),
    Promote(Term),
}

/// What lasts as long as one leadership.
pub(super) struct Duties {
    pub membership: Membership,
    membership_due: Timestamp,
    membership_open: usize,
    pub failover: FailoverManager,
    pub promotions: Promotions,
    calls: Vec<(u8, Call, Timestamp)>,
    observed: BTreeMap<(ProxyName, MemberName), MemberHealth>,
}

impl Duties {
    pub fn new(now: Timestamp) -> Self {
        Self {
            membership: Membership::new(MembershipSettings::default(), now),
            membership_due: now,
            membership_open: 0,
            failover: FailoverManager::new(FailoverSettings::default()),
            promotions: Promotions::new(),
            calls: Vec::new(),
            observed: BTreeMap::new(),
        }
    }

    pub fn membership_answered(&mut self) {
        self.membership_open = self.membership_open.saturating_sub(1);
        if self.membership_open == 0 {
            self.membership.on_proposal_outcome();
        }
    }

    pub fn proposed(&mut self, now: Timestamp, proposal: ProposalId, outcome: Option<Outcome>) {
        self.failover.handle(now, FailoverEvent::Proposed { proposal, outcome });
    }

    /// Takes what a proxy saw, as the control crate does: another proxy's word is news
    /// only when it changes, the owner's always.
    pub fn observe(
        &mut self,
        now: Timestamp,
        state: &ControlState,
        proxy: &ProxyName,
        (member, health): (MemberName, MemberHealth),
    ) {
        let group = group_name();
        let owner = state.group(&group).and_then(|group| group.view.owner.as_ref());
        let known = self.observed.insert((proxy.clone(), member.clone()), health);
        if owner == Some(proxy) || known != Some(health) {
            let proxy = proxy.clone();
            let event = FailoverEvent::Observed { proxy, group, member, health };
            self.failover.handle(now, event);
        }
    }

    /// Whether an answer belongs to a call under way; it does so once.
    fn take_call(&mut self, member: u8, call: Call) -> bool {
        let place = self.calls.iter().position(|(to, made, _)| *to == member && *made == call);
        place.map(|place| self.calls.remove(place)).is_some()
    }

    /// Gives up calls without an answer.
    fn expire(&mut self, now: Timestamp) {
        let calls = std::mem::take(&mut self.calls);
        let (late, open): (Vec<_>, _) = calls.into_iter().partition(|(_, _, at)| now >= *at);
        self.calls = open;
        for (member, call, _) in late {
            self.failover.handle(now, failed(member, call));
        }
    }

    fn commands(&mut self, now: Timestamp, state: &ControlState) -> Vec<(Command, Origin)> {
        if now < self.membership_due {
            return Vec::new();
        }
        self.membership_due = now + MEMBERSHIP_INTERVAL;
        let commands = self.membership.on_tick(now, state);
        self.membership_open += commands.len();
        commands.into_iter().map(|command| (command, Origin::Membership)).collect()
    }

    fn call(&mut self, context: &mut Context<'_>, member: u8, call: Call) {
        self.calls.push((member, call, context.now + CALL_TIMEOUT));
        let packet = match call {
            Call::Probe => Packet::Probe,
            Call::Fence(term) => Packet::Fence(term),
            Call::Promote(term) => Packet::Promote(term),
        };
        context.send(Address::Member(member), packet);
    }

    /// Performs what the failover manager wants; gives its proposals.
    fn failover_actions(
        &mut self,
        context: &mut Context<'_>,
        state: &ControlState,
    ) -> Vec<(Command, Origin)> {
        let mut proposals = Vec::new();
        for action in self.failover.advance(context.now, state) {
            match action {
                FailoverAction::Propose { proposal, command } => {
                    proposals.push((command, Origin::Failover(proposal)));
                }
                FailoverAction::Probe(target) => {
                    self.call(context, member_index(&target.member), Call::Probe);
                }
                FailoverAction::Fence { target, term } => {
                    self.call(context, member_index(&target.member), Call::Fence(term));
                }
                FailoverAction::Promote { target, term } => {
                    let member = member_index(&target.member);
                    self.call(context, member, Call::Promote(term));
                    if context.is(Variant::PromoteEveryMember) {
                        let others = (0..MEMBERS).filter(|other| *other != member);
                        others.for_each(|other| {
                            context.send(Address::Member(other), Packet::Promote(term));
                        });
                    }
                }
            }
        }
        proposals
    }
}

/// The report of a call that got no answer.
fn failed(member: u8, call: Call) -> FailoverEvent {
    let (group, member) = (group_name(), member_name(member));
    match call {
        Call::Probe => FailoverEvent::Probed { group, member, status: None },
        Call::Fence(term) => {
            FailoverEvent::Fenced { group, member, term, result: Err(CallFailure::Failed) }
        }
        Call::Promote(term) => {
            FailoverEvent::Promoted { group, member, term, result: Err(CallFailure::Failed) }
        }
    }
}

impl Machine {
    /// Takes a member's answer, once.
    pub(super) fn take_back_end(
        &mut self,
        context: &mut Context<'_>,
        from: Address,
        packet: Packet,
    ) {
        let Address::Member(index) = from else { return };
        let duties = self.process.as_mut().and_then(|process| process.duties.as_mut());
        let Some(duties) = duties else { return };
        let (group, member) = (group_name(), member_name(index));
        let (call, event) = match packet {
            Packet::Probed(status) => {
                (Call::Probe, FailoverEvent::Probed { group, member, status: Some(status) })
            }
            Packet::Fenced(term, result) => {
                (Call::Fence(term), FailoverEvent::Fenced { group, member, term, result })
            }
            Packet::Promoted(term, result) => {
                (Call::Promote(term), FailoverEvent::Promoted { group, member, term, result })
            }
            _ => return,
        };
        if duties.take_call(index, call) {
            duties.failover.handle(context.now, event);
        }
    }

    /// Does what is due of a leader's duties, once the state holds what earlier leaders committed.
    pub(super) fn run_duties(&mut self, context: &mut Context<'_>) {
        let Some(process) = &mut self.process else { return };
        if process.outage.is_some() {
            return;
        }
        let begins_early = context.is(Variant::DutiesBeforeOwnTerm);
        if !begins_early && !process.replica.has_applied_own_term() {
            return;
        }
        let Some(duties) = &mut process.duties else { return };
        duties.expire(context.now);
        let mut proposals = duties.commands(context.now, &process.state);
        proposals.extend(duties.failover_actions(context, &process.state));
        for (command, origin) in proposals {
            self.propose(context, &command, origin);
        }
        self.run_promotions(context);
    }
}
