//! What a hollow node sees of back ends, as the probes of a real owner would.
//!
//! The owner of a group, and its second observer at a slower pace, look at all members
//! and report each change. A hollow node looks into the hollow groups' memory instead of
//! probing over sockets: thousands of probing nodes fit in one process that way. A dead
//! member is missed only once a probe to it would have timed out.

use super::group::HollowGroup;
use super::second_observers::SecondObservers;
use corktack_core::identity::{GroupName, ProxyName};
use corktack_core::view::{Revision, View, ViewChange};
use corktack_protocol::control::{ControlMessage, MemberHealth, Observation};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two probes of an owner, as `corktack proxy` has by default.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a probe of an owner counts as unanswered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// A second observer probes this many times slower than the owner.
const OBSERVER_SLOWDOWN: u32 = 2;

/// Hollow groups by name.
pub type HollowGroups = HashMap<GroupName, Arc<HollowGroup>>;

/// What a message changed in a node's configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    /// All may have changed.
    pub all: bool,
    /// Whether proxies changed.
    pub proxies: bool,
    /// Groups that changed.
    pub groups: Vec<GroupName>,
}

impl Changed {
    /// Everything.
    #[must_use]
    pub const fn everything() -> Self {
        Self { all: true, proxies: true, groups: Vec::new() }
    }

    /// What applying a message changes.
    #[must_use]
    pub fn by(message: &ControlMessage) -> Self {
        let mut changed = Self::default();
        match message {
            ControlMessage::Snapshot(_) => return Self::everything(),
            ControlMessage::HeartbeatAck { .. }
            | ControlMessage::Cell(_)
            | ControlMessage::Led { .. }
            | ControlMessage::Allowances(_) => {}
            ControlMessage::Delta(delta) => {
                for change in &delta.changes {
                    match change {
                        ViewChange::PutGroup(name, _) | ViewChange::DeleteGroup(name) => {
                            changed.groups.push(name.clone());
                        }
                        ViewChange::PutProxy(..) | ViewChange::DeleteProxy(_) => {
                            changed.proxies = true;
                        }
                        _ => {}
                    }
                }
            }
        }
        changed
    }

    /// Names of the groups of a configuration that changed.
    pub fn names<'a>(&'a self, view: &'a View) -> impl Iterator<Item = &'a GroupName> {
        let all = self.all.then(|| view.groups.keys());
        all.into_iter().flatten().chain(&self.groups)
    }
}

#[derive(Debug)]
struct Duty {
    group: Arc<HollowGroup>,
    interval: Duration,
    since: Instant,
    due: Instant,
    last: Vec<Option<MemberHealth>>,
}

/// The probes of one hollow node.
#[derive(Debug)]
pub struct Observer {
    proxy: ProxyName,
    groups: Arc<HollowGroups>,
    seconds: Arc<SecondObservers>,
    followed: Revision,
    owned: BTreeSet<GroupName>,
    duties: BTreeMap<GroupName, Duty>,
}

impl Observer {
    /// The probes of a node that owns and observes nothing yet.
    #[must_use]
    pub fn new(proxy: ProxyName, groups: Arc<HollowGroups>, seconds: Arc<SecondObservers>) -> Self {
        let (owned, duties) = (BTreeSet::new(), BTreeMap::new());
        Self { proxy, groups, seconds, followed: Revision(0), owned, duties }
    }

    /// The probes of the same node in its next life.
    #[must_use]
    pub fn restarted(self) -> Self {
        Self::new(self.proxy, self.groups, self.seconds)
    }

    /// Takes the configuration in force after a change.
    pub fn follow(&mut self, now: Instant, view: &View, changed: &Changed) {
        self.seconds.follow(self.followed, view, changed);
        self.followed = view.revision;
        if changed.all {
            self.owned.clear();
        }
        for name in changed.names(view) {
            let owner = view.groups.get(name).and_then(|group| group.owner.as_ref());
            if owner == Some(&self.proxy) {
                self.owned.insert(name.clone());
            } else {
                self.owned.remove(name);
            }
        }
        self.take_duties(now);
    }

    /// A duty that stays, in the same role, goes on; one that is new starts afresh.
    fn take_duties(&mut self, now: Instant) {
        let observed = self.seconds.groups_of(&self.proxy);
        let owned = self.owned.iter().map(|name| (name, PROBE_INTERVAL));
        let slower = PROBE_INTERVAL * OBSERVER_SLOWDOWN;
        let second = observed.difference(&self.owned).map(|name| (name, slower));
        let mut duties = BTreeMap::new();
        for (name, interval) in owned.chain(second) {
            let kept = self.duties.remove(name).filter(|duty| duty.interval == interval);
            let Some(group) = self.groups.get(name) else { continue };
            let fresh = || Duty {
                group: Arc::clone(group),
                interval,
                since: now,
                due: now,
                last: vec![None; group.size()],
            };
            duties.insert(name.clone(), kept.unwrap_or_else(fresh));
        }
        self.duties = duties;
    }

    /// When the next probe is due.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.duties.values().map(|duty| duty.due).min()
    }

    /// Looks at the members that are due; gives what changed.
    pub fn look(&mut self, now: Instant) -> Vec<Observation> {
        let mut observations = Vec::new();
        for (name, duty) in self.duties.iter_mut().filter(|(_, duty)| duty.due <= now) {
            duty.due = now + duty.interval;
            for place in 0..duty.last.len() {
                let (member, health) = duty.group.health(place);
                let health = match health {
                    Ok(health) => health,
                    Err(dead) if now >= dead.max(duty.since) + PROBE_TIMEOUT => {
                        MemberHealth::Unreachable
                    }
                    // The probe under way has not timed out yet.
                    Err(_) => continue,
                };
                if duty.last[place].replace(health) != Some(health) {
                    observations.push(Observation { group: name.clone(), member, health });
                }
            }
        }
        observations
    }
}
