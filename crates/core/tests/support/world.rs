//! Simulated members, a control state and a leader on a virtual clock, for the tests of failover.

use super::*;
use corktack_core::backend::{MemberRole, MemberStatus};
use corktack_core::failover::{
    CallFailure, CallTarget, FailoverAction, FailoverEvent, FailoverManager, FailoverSettings,
    FenceAnswer, MemberHealth,
};
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::position::Position;
use corktack_core::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// One step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);

/// A simulated member of a group.
#[derive(Clone, Debug)]
pub struct Node {
    pub role: MemberRole,
    pub promised: Term,
    pub last: Position,
    /// Whether control reaches the member.
    pub reachable: bool,
    /// Whether the other members reach the member.
    pub connected: bool,
}

type NodeKey = (GroupName, MemberName);

/// The control state, the members and the leader of a test.
pub struct World {
    pub cell: Cell,
    pub now: Timestamp,
    pub manager: FailoverManager,
    pub nodes: BTreeMap<NodeKey, Node>,
    /// Highest committed position of each group.
    pub committed: BTreeMap<GroupName, Position>,
    /// Member that was promoted in each term.
    pub promoted: BTreeMap<(GroupName, Term), MemberName>,
    /// All actions that the leader requested and that were performed.
    pub actions: Vec<FailoverAction>,
    /// Whether outcomes of proposals are lost: `Some(true)` after the command was applied,
    /// `Some(false)` before.
    pub lost_outcomes: Option<bool>,
    /// Number of calls out of four to members that fail, some before and some after they took effect.
    pub failing_of_four: u64,
    calls: u64,
    inbox: Vec<FailoverEvent>,
    deposed: Option<DeposedLeader>,
}

/// A deposed leader that does not know of its successor: its state does not change and its
/// proposals are lost, but it still reaches the members.
struct DeposedLeader {
    manager: FailoverManager,
    state: ControlState,
    inbox: Vec<FailoverEvent>,
}

pub fn settings() -> FailoverSettings {
    FailoverSettings::default()
}

impl World {
    /// Returns a world of groups with the members `m0`, `m1`, ..., which have elected `m0` at term
    /// 1. The primaries are not adopted yet.
    pub fn new(groups: usize, members: u16) -> Self {
        let mut world = Self {
            cell: Cell::new(),
            now: Timestamp::from_millis(1_000),
            manager: FailoverManager::new(settings()),
            nodes: BTreeMap::new(),
            committed: BTreeMap::new(),
            promoted: BTreeMap::new(),
            actions: Vec::new(),
            lost_outcomes: None,
            failing_of_four: 0,
            calls: 0,
            inbox: Vec::new(),
            deposed: None,
        };
        world.cell.apply(Command::RegisterProxies(fleet(6)));
        for group in 0..groups {
            let group = format!("g{group}");
            world.cell.put(&group, group_spec(&group, members), None).expect("accepted");
            for member in 0..members {
                let role = if member == 0 { MemberRole::Primary } else { MemberRole::Replica };
                let last = Position { term: Term(1), index: 10 };
                let node = Node { role, promised: Term(1), last, reachable: true, connected: true };
                world.nodes.insert((name(&group), name(&format!("m{member}"))), node);
            }
            world.committed.insert(name(&group), Position { term: Term(1), index: 10 });
        }
        world
    }

    /// Returns a world as [`World::new`], run until the primaries are adopted and reported by their
    /// owners.
    pub fn steady(groups: usize, members: u16) -> Self {
        let mut world = Self::new(groups, members);
        world.run(2_000);
        for group in 0..groups {
            world.report_by_owner(&format!("g{group}"), "m0", MemberHealth::Primary(Term(1)));
        }
        world.run(1_000);
        world.actions.clear();
        world
    }

    pub fn node(&mut self, group: &str, member: &str) -> &mut Node {
        self.nodes.get_mut(&(name(group), name(member))).expect("a node")
    }

    /// Disconnects a member from control and from the other members.
    pub fn isolate(&mut self, group: &str, member: &str) {
        let node = self.node(group, member);
        node.reachable = false;
        node.connected = false;
    }

    /// Delivers a report of the group's owner on a member.
    pub fn report_by_owner(&mut self, group: &str, member: &str, health: MemberHealth) {
        let proxy = self.cell.group(group).owner.expect("an owner");
        let (group, member) = (name(group), name(member));
        self.inbox.push(FailoverEvent::Observed { proxy, group, member, health });
    }

    /// Isolates the primary and lets its owner report it as unreachable.
    pub fn lose_primary(&mut self, group: &str) -> MemberName {
        let primary = self.cell.group(group).primary.expect("a primary");
        self.isolate(group, primary.as_str());
        self.report_by_owner(group, primary.as_str(), MemberHealth::Unreachable);
        primary
    }

    /// Replaces the leader by a new one that knows only the control state.
    pub fn change_leader(&mut self) {
        self.manager = FailoverManager::new(settings());
        self.inbox.clear();
    }

    /// Replaces the leader as [`World::change_leader`], while the old leader keeps running.
    pub fn split_leaders(&mut self) {
        let manager = std::mem::replace(&mut self.manager, FailoverManager::new(settings()));
        let inbox = std::mem::take(&mut self.inbox);
        self.deposed = Some(DeposedLeader { manager, state: self.cell.state.clone(), inbox });
    }

    fn step_deposed(&mut self) {
        let Some(mut deposed) = self.deposed.take() else { return };
        for event in std::mem::take(&mut deposed.inbox) {
            deposed.manager.handle(self.now, event);
        }
        for action in deposed.manager.advance(self.now, &deposed.state) {
            let event = match action {
                FailoverAction::Propose { proposal, .. } => {
                    FailoverEvent::Proposed { proposal, outcome: None }
                }
                call => self.answer(call),
            };
            deposed.inbox.push(event);
        }
        self.deposed = Some(deposed);
    }

    pub fn run(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.step(|_| true);
        }
    }

    /// Runs until `done` holds and returns the time it took; panics after 60 s.
    pub fn run_until(&mut self, mut done: impl FnMut(&Cell) -> bool) -> Duration {
        let start = self.now;
        while !done(&self.cell) {
            assert!(
                self.now - start < Duration::from_secs(60),
                "the condition did not hold within 60 s"
            );
            self.step(|_| true);
        }
        self.now - start
    }

    /// Runs one step. Stops at the first action that `perform` rejects; returns whether all
    /// actions were performed.
    pub fn step(&mut self, mut perform: impl FnMut(&FailoverAction) -> bool) -> bool {
        self.step_deposed();
        for event in std::mem::take(&mut self.inbox) {
            self.manager.handle(self.now, event);
        }
        let actions = self.manager.advance(self.now, &self.cell.state);
        self.now = self.now + STEP;
        for action in actions {
            if !perform(&action) {
                return false;
            }
            self.actions.push(action.clone());
            let event = self.answer(action);
            self.inbox.push(event);
        }
        true
    }

    fn answer(&mut self, action: FailoverAction) -> FailoverEvent {
        match action {
            FailoverAction::Propose { proposal, command } => {
                let lost = self.lost_outcomes;
                let apply = lost != Some(false);
                let outcome = apply.then(|| self.cell.apply(command).outcome);
                let outcome = outcome.filter(|_| lost.is_none());
                FailoverEvent::Proposed { proposal, outcome }
            }
            FailoverAction::Probe(CallTarget { group, member, .. }) => {
                let node = &self.nodes[&(group.clone(), member.clone())];
                let status = node.reachable.then(|| MemberStatus {
                    member: member.clone(),
                    role: node.role,
                    promised_term: node.promised,
                    last_position: node.last,
                    applied_position: node.last,
                });
                FailoverEvent::Probed { group, member, status }
            }
            FailoverAction::Fence { target: CallTarget { group, member, .. }, term } => {
                let key = (group.clone(), member.clone());
                let result = self.call_with_faults(|world| world.fence(&key, term));
                FailoverEvent::Fenced { group, member, term, result }
            }
            FailoverAction::Promote { target: CallTarget { group, member, .. }, term } => {
                let key = (group.clone(), member.clone());
                let result = self.call_with_faults(|world| world.promote(&key, term));
                FailoverEvent::Promoted { group, member, term, result }
            }
        }
    }

    /// Performs a call, or makes it fail according to [`World::failing_of_four`].
    fn call_with_faults<T>(
        &mut self,
        call: impl FnOnce(&mut Self) -> Result<T, CallFailure>,
    ) -> Result<T, CallFailure> {
        self.calls += 1;
        let draw = self.calls.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        if draw % 4 >= self.failing_of_four {
            return call(self);
        }
        if draw % 8 < 4 {
            drop(call(self));
        }
        Err(CallFailure::Failed)
    }

    pub fn fence(&mut self, key: &NodeKey, term: Term) -> Result<FenceAnswer, CallFailure> {
        let node =
            self.nodes.get_mut(key).filter(|node| node.reachable).ok_or(CallFailure::Failed)?;
        if node.promised > term {
            return Err(CallFailure::HigherTerm(Some(node.promised)));
        }
        if node.promised < term {
            node.promised = term;
            node.role = MemberRole::Fenced;
        }
        Ok(FenceAnswer { promised: node.promised, last_position: node.last })
    }

    /// Promotes a member, and checks that its term has no other primary and that it holds every
    /// committed entry.
    pub fn promote(&mut self, key: &NodeKey, term: Term) -> Result<Position, CallFailure> {
        let node =
            self.nodes.get_mut(key).filter(|node| node.reachable).ok_or(CallFailure::Failed)?;
        if node.promised > term {
            return Err(CallFailure::HigherTerm(Some(node.promised)));
        }
        if node.promised < term || node.role == MemberRole::Replica {
            return Err(CallFailure::Failed);
        }
        let (group, member) = key.clone();
        let earlier = self.promoted.insert((group.clone(), term), member.clone());
        assert!(
            earlier.is_none_or(|promoted| promoted == member),
            "two primaries of {group} at {term}"
        );
        if node.role == MemberRole::Fenced {
            assert!(node.last >= self.committed[&group], "{group} lost a committed entry");
        }
        node.role = MemberRole::Primary;
        if self.write(key) { Ok(self.committed[&group]) } else { Err(CallFailure::Failed) }
    }

    /// Writes on a member that considers itself primary; returns whether the write was committed.
    pub fn write(&mut self, key: &NodeKey) -> bool {
        let node = self.nodes.get_mut(key).expect("a node");
        let term = node.promised;
        node.last = Position { term, index: node.last.index + 1 };
        let (last, connected) = (node.last, node.connected);
        let mut count = 1;
        let group = &key.0;
        let peers = self.nodes.iter_mut().filter(|(peer, _)| peer.0 == *group && *peer != key);
        let mut members = 1;
        for (_, peer) in peers {
            members += 1;
            if connected && peer.connected && peer.promised <= term {
                peer.promised = term;
                peer.role = MemberRole::Replica;
                peer.last = last;
                count += 1;
            }
        }
        let committed = count > members / 2;
        if committed {
            let position = self.committed.get_mut(group).expect("a group");
            *position = (*position).max(last);
        }
        committed
    }

    /// Writes on all members that consider themselves primary.
    pub fn write_everywhere(&mut self) {
        let primaries = self.nodes.iter().filter(|(_, node)| node.role == MemberRole::Primary);
        let primaries: Vec<_> = primaries.map(|(key, _)| key.clone()).collect();
        for key in primaries {
            self.write(&key);
        }
    }

    /// Reports whether the announced primary has the role and term of the view and commits a write.
    pub fn is_healthy(&mut self, group: &str) -> bool {
        let view = self.cell.group(group);
        let Some(primary) = view.primary else { return false };
        let key = (name(group), primary);
        let node = &self.nodes[&key];
        let is_primary = node.role == MemberRole::Primary && node.promised == view.term;
        is_primary && self.write(&key)
    }

    /// Returns the terms of all proposed [`FailoverStep::Begin`] steps.
    pub fn terms_begun(&self) -> Vec<Term> {
        let commands = self.actions.iter().filter_map(|action| match action {
            FailoverAction::Propose { command: Command::Failover(batch), .. } => Some(batch),
            _ => None,
        });
        let begun = commands.flatten().filter_map(|(_, step)| match step {
            FailoverStep::Begin { term } => Some(*term),
            _ => None,
        });
        begun.collect()
    }
}
