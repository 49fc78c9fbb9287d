//! Back ends, a control state and a leader, for the tests of failover.

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

/// A stand-in member of a group.
#[derive(Clone, Debug)]
pub struct Node {
    pub role: MemberRole,
    pub promised: Term,
    pub last: Position,
    /// Whether control reaches it.
    pub seen: bool,
    /// Whether the other members reach it.
    pub connected: bool,
}

type NodeKey = (GroupName, MemberName);

/// Everything around one leader.
pub struct World {
    pub cell: Cell,
    pub now: Timestamp,
    pub manager: FailoverManager,
    pub nodes: BTreeMap<NodeKey, Node>,
    /// Highest committed position of each group.
    pub committed: BTreeMap<GroupName, Position>,
    /// The member that was promoted in each term.
    pub promoted: BTreeMap<(GroupName, Term), MemberName>,
    /// All that the leader asked for.
    pub actions: Vec<FailoverAction>,
    /// Whether outcomes of proposals are lost, after they took effect or before.
    pub lose_outcomes: Option<bool>,
    /// Of four calls to members this many fail, by turns before and after they took effect.
    pub flaky: u64,
    calls: u64,
    inbox: Vec<FailoverEvent>,
    deposed: Option<Deposed>,
}

/// A leader that does not know that there is another one: its state stands still,
/// its proposals are lost, but it still reaches the members.
struct Deposed {
    manager: FailoverManager,
    state: ControlState,
    inbox: Vec<FailoverEvent>,
}

pub fn settings() -> FailoverSettings {
    FailoverSettings::default()
}

impl World {
    /// Groups of members `m0`, `m1`, ... that have elected `m0` at term 1, not adopted yet.
    pub fn new(groups: usize, members: u16) -> Self {
        let mut world = Self {
            cell: Cell::new(),
            now: Timestamp::from_millis(1_000),
            manager: FailoverManager::new(settings()),
            nodes: BTreeMap::new(),
            committed: BTreeMap::new(),
            promoted: BTreeMap::new(),
            actions: Vec::new(),
            lose_outcomes: None,
            flaky: 0,
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
                let node = Node { role, promised: Term(1), last, seen: true, connected: true };
                world.nodes.insert((name(&group), name(&format!("m{member}"))), node);
            }
            world.committed.insert(name(&group), Position { term: Term(1), index: 10 });
        }
        world
    }

    /// As [`World::new`], run until the primaries are adopted and owners see them.
    pub fn steady(groups: usize, members: u16) -> Self {
        let mut world = Self::new(groups, members);
        world.run(2_000);
        for group in 0..groups {
            world.owner_sees(&format!("g{group}"), "m0", MemberHealth::Primary(Term(1)));
        }
        world.run(1_000);
        world.actions.clear();
        world
    }

    pub fn node(&mut self, group: &str, member: &str) -> &mut Node {
        self.nodes.get_mut(&(name(group), name(member))).expect("a node")
    }

    /// Cuts a member off from control and from the other members.
    pub fn cut(&mut self, group: &str, member: &str) {
        let node = self.node(group, member);
        node.seen = false;
        node.connected = false;
    }

    pub fn owner_sees(&mut self, group: &str, member: &str, health: MemberHealth) {
        let proxy = self.cell.group(group).owner.expect("an owner");
        let (group, member) = (name(group), name(member));
        self.inbox.push(FailoverEvent::Observed { proxy, group, member, health });
    }

    /// Cuts the primary off and lets its owner miss it.
    pub fn lose_primary(&mut self, group: &str) -> MemberName {
        let primary = self.cell.group(group).primary.expect("a primary");
        self.cut(group, primary.as_str());
        self.owner_sees(group, primary.as_str(), MemberHealth::Unreachable);
        primary
    }

    /// A new leader that knows only the control state.
    pub fn change_leader(&mut self) {
        self.manager = FailoverManager::new(settings());
        self.inbox.clear();
    }

    /// As [`World::change_leader`], while the old leader goes on.
    pub fn split_leaders(&mut self) {
        let manager = std::mem::replace(&mut self.manager, FailoverManager::new(settings()));
        let inbox = std::mem::take(&mut self.inbox);
        self.deposed = Some(Deposed { manager, state: self.cell.state.clone(), inbox });
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

    /// Runs until a predicate holds of the cell; panics after a minute.
    pub fn run_until(&mut self, mut done: impl FnMut(&Cell) -> bool) -> Duration {
        let start = self.now;
        while !done(&self.cell) {
            assert!(self.now - start < Duration::from_secs(60), "not done within a minute");
            self.step(|_| true);
        }
        self.now - start
    }

    /// One step; actions that `perform` turns down are not performed. Tells whether
    /// all were.
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
                let lost = self.lose_outcomes;
                let apply = lost != Some(false);
                let outcome = apply.then(|| self.cell.apply(command).outcome);
                let outcome = outcome.filter(|_| lost.is_none());
                FailoverEvent::Proposed { proposal, outcome }
            }
            FailoverAction::Probe(CallTarget { group, member, .. }) => {
                let node = &self.nodes[&(group.clone(), member.clone())];
                let status = node.seen.then(|| MemberStatus {
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
                let result = self.disturb(|world| world.fence(&key, term));
                FailoverEvent::Fenced { group, member, term, result }
            }
            FailoverAction::Promote { target: CallTarget { group, member, .. }, term } => {
                let key = (group.clone(), member.clone());
                let result = self.disturb(|world| world.promote(&key, term));
                FailoverEvent::Promoted { group, member, term, result }
            }
        }
    }

    /// Makes a call fail as [`World::flaky`] says.
    fn disturb<T>(
        &mut self,
        call: impl FnOnce(&mut Self) -> Result<T, CallFailure>,
    ) -> Result<T, CallFailure> {
        self.calls += 1;
        let draw = self.calls.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        if draw % 4 >= self.flaky {
            return call(self);
        }
        if draw % 8 < 4 {
            drop(call(self));
        }
        Err(CallFailure::Failed)
    }

    pub fn fence(&mut self, key: &NodeKey, term: Term) -> Result<FenceAnswer, CallFailure> {
        let node = self.nodes.get_mut(key).filter(|node| node.seen).ok_or(CallFailure::Failed)?;
        if node.promised > term {
            return Err(CallFailure::HigherTerm(Some(node.promised)));
        }
        if node.promised < term {
            node.promised = term;
            node.role = MemberRole::Fenced;
        }
        Ok(FenceAnswer { promised: node.promised, last_position: node.last })
    }

    /// Promotes a member, checking both invariants of the failover module.
    pub fn promote(&mut self, key: &NodeKey, term: Term) -> Result<Position, CallFailure> {
        let node = self.nodes.get_mut(key).filter(|node| node.seen).ok_or(CallFailure::Failed)?;
        if node.promised > term {
            return Err(CallFailure::HigherTerm(Some(node.promised)));
        }
        if node.promised < term || node.role == MemberRole::Replica {
            return Err(CallFailure::Failed);
        }
        let (group, member) = key.clone();
        let earlier = self.promoted.insert((group.clone(), term), member.clone());
        assert!(earlier.is_none_or(|it| it == member), "two primaries of {group} at {term}");
        if node.role == MemberRole::Fenced {
            assert!(node.last >= self.committed[&group], "{group} lost a committed entry");
        }
        node.role = MemberRole::Primary;
        if self.write(key) { Ok(self.committed[&group]) } else { Err(CallFailure::Failed) }
    }

    /// A write on a member that thinks it is primary; tells whether it was committed.
    pub fn write(&mut self, key: &NodeKey) -> bool {
        let node = self.nodes.get_mut(key).expect("a node");
        let term = node.promised;
        node.last = Position { term, index: node.last.index + 1 };
        let (last, connected) = (node.last, node.connected);
        let mut count = 1;
        let group = &key.0;
        let peers = self.nodes.iter_mut().filter(|(it, _)| it.0 == *group && *it != key);
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
            let known = self.committed.get_mut(group).expect("a group");
            *known = (*known).max(last);
        }
        committed
    }

    /// Writes on all members that think they are primary.
    pub fn write_everywhere(&mut self) {
        let primaries = self.nodes.iter().filter(|(_, it)| it.role == MemberRole::Primary);
        let primaries: Vec<_> = primaries.map(|(key, _)| key.clone()).collect();
        for key in primaries {
            self.write(&key);
        }
    }

    /// Whether the announced primary is the one that members follow, and writes pass.
    pub fn is_healthy(&mut self, group: &str) -> bool {
        let view = self.cell.group(group);
        let Some(primary) = view.primary else { return false };
        let key = (name(group), primary);
        let node = &self.nodes[&key];
        let leads = node.role == MemberRole::Primary && node.promised == view.term;
        leads && self.write(&key)
    }

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
