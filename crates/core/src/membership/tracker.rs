//! Tracks the heartbeats of the proxies and proposes the resulting changes of the control state.
//!
//! The tracker holds the last heartbeat of each proxy and the time of the last proposal. Control
//! replicas forward heartbeats to the leader, whose clock decides which proxies are silent.

use super::platform::PlatformList;
use crate::identity::{Incarnation, ProxyName, ZoneName};
use crate::state::ControlState;
use crate::state::command::{Command, ProxyRegistration};
use crate::time::Timestamp;
use crate::view::{ProxyState, ProxyView, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Least number of silent proxies for which the leader assumes that it was itself cut off. With a
/// lower number, a small fleet that loses most of its proxies waits for a further grace period.
const IMPLAUSIBLE_MINIMUM: usize = 3;

/// Timeouts of the membership. With lower values, proxies that are frozen for a moment lose
/// their groups; with higher values, the groups of lost proxies are taken over later.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time without a heartbeat after which a proxy is declared down.
    pub heartbeat_timeout: Duration,
    /// Extra time that a new leader grants to every proxy, and any leader when over half of the
    /// proxies are silent.
    pub grace_period: Duration,
    /// How long the leader waits for the outcome of a proposal before it proposes again.
    pub proposal_timeout: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_timeout: Duration::from_secs(3),
            grace_period: Duration::from_secs(3),
            proposal_timeout: Duration::from_secs(2),
        }
    }
}

/// A heartbeat of a proxy, received directly or through another replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyHeartbeat {
    /// Name of the proxy.
    pub proxy: ProxyName,
    /// Incarnation of the proxy process.
    pub incarnation: Incarnation,
    /// Address of the proxy's owner interface.
    pub address: SocketAddr,
    /// Zone that the proxy runs in.
    pub zone: ZoneName,
    /// Revision of the configuration in force on the proxy.
    pub revision: Revision,
    /// Whether the proxy is stopping.
    pub draining: bool,
}

impl ProxyHeartbeat {
    fn registration(&self) -> ProxyRegistration {
        ProxyRegistration {
            proxy: self.proxy.clone(),
            incarnation: self.incarnation,
            address: self.address,
            zone: self.zone.clone(),
        }
    }

    /// Reports whether the proxy must be registered: it is new, has returned, or its incarnation,
    /// address or zone changed. A stopping proxy is not registered again, so that no group moves to it.
    fn needs_registration(&self, stored: Option<&ProxyView>) -> bool {
        let Some(stored) = stored.filter(|stored| stored.state != ProxyState::Down) else {
            return !self.draining;
        };
        stored.incarnation != self.incarnation
            || stored.address != self.address
            || stored.zone != self.zone
    }
}

/// Last heartbeat of one proxy.
#[derive(Clone, Debug)]
struct LastHeartbeat {
    received_at: Timestamp,
    heartbeat: ProxyHeartbeat,
    /// Previous incarnation of the proxy, whose delayed heartbeats are ignored.
    previous_incarnation: Option<Incarnation>,
}

/// Number of proxies on which a revision is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// Number of proxies on which the revision is in force.
    pub applied: usize,
    /// Number of proxies that are not down.
    pub total: usize,
    /// Proxies that are not down and have not reported the revision.
    pub missing: Vec<ProxyName>,
}

/// Tracks the heartbeats of all proxies.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    heartbeats: BTreeMap<ProxyName, LastHeartbeat>,
    /// Start of the grace period of stored proxies that have sent no heartbeat to this leader yet.
    leading_since: Timestamp,
    platform: PlatformList,
    implausible_since: Option<Timestamp>,
    proposed_at: Option<Timestamp>,
}

impl Membership {
    /// Returns a tracker for a replica that just became leader.
    #[must_use]
    pub const fn new(settings: MembershipSettings, now: Timestamp) -> Self {
        Self {
            settings,
            heartbeats: BTreeMap::new(),
            leading_since: now,
            platform: PlatformList { live: BTreeSet::new(), leaving: BTreeSet::new() },
            implausible_since: None,
            proposed_at: None,
        }
    }

    /// Records a heartbeat that reached the cell at `now`. A heartbeat of the previous incarnation
    /// is ignored unless the proxy has been silent for the heartbeat timeout.
    pub fn on_heartbeat(&mut self, now: Timestamp, heartbeat: ProxyHeartbeat) {
        let Some(last) = self.heartbeats.get_mut(&heartbeat.proxy) else {
            let name = heartbeat.proxy.clone();
            self.heartbeats.insert(
                name,
                LastHeartbeat { received_at: now, heartbeat, previous_incarnation: None },
            );
            return;
        };
        let same_incarnation = last.heartbeat.incarnation == heartbeat.incarnation;
        let silent = now.saturating_since(last.received_at) >= self.settings.heartbeat_timeout;
        if !same_incarnation && last.previous_incarnation == Some(heartbeat.incarnation) && !silent
        {
            return;
        }
        if !same_incarnation {
            last.previous_incarnation = Some(last.heartbeat.incarnation);
        }
        last.received_at = now;
        last.heartbeat = heartbeat;
    }

    /// Replaces the platform's list.
    pub fn on_platform_list(&mut self, list: PlatformList) {
        self.platform = list;
    }

    /// Records that the commands of the last tick were committed or lost.
    pub fn on_proposal_outcome(&mut self) {
        self.proposed_at = None;
    }

    /// Returns the commands to propose, at most one of each kind. Returns none while the outcome of
    /// the last commands is unknown, for at most the proposal timeout.
    pub fn on_tick(&mut self, now: Timestamp, state: &ControlState) -> Vec<Command> {
        let is_waiting =
            |proposed_at| now.saturating_since(proposed_at) < self.settings.proposal_timeout;
        if self.proposed_at.is_some_and(is_waiting) {
            return Vec::new();
        }
        let down = self.silent_proxies(now, state);
        let down = self.defer_if_implausible(now, state, down);
        self.remove_stale(state, now);
        let batches = [
            batch(Command::RegisterProxies, self.registrations(now, state)),
            batch(Command::ProxiesDraining, self.draining_proxies(now, state)),
            batch(Command::ProxiesDown, down),
            batch(Command::MembersLeaving, self.platform.changed_members(state)),
        ];
        let commands: Vec<_> = batches.into_iter().flatten().collect();
        self.proposed_at = (!commands.is_empty()).then_some(now);
        commands
    }

    fn is_silent(&self, now: Timestamp, last: &LastHeartbeat) -> bool {
        now.saturating_since(last.received_at) >= self.settings.heartbeat_timeout
    }

    fn registrations(&self, now: Timestamp, state: &ControlState) -> Vec<ProxyRegistration> {
        let fresh = self.heartbeats.values().filter(|last| !self.is_silent(now, last));
        let changed = fresh
            .filter(|last| last.heartbeat.needs_registration(state.proxy(&last.heartbeat.proxy)));
        changed.map(|last| last.heartbeat.registration()).collect()
    }

    /// Returns the proxies that report to be stopping, or that the platform lists as leaving.
    fn draining_proxies(
        &self,
        now: Timestamp,
        state: &ControlState,
    ) -> Vec<(ProxyName, Incarnation)> {
        let mut draining = self.platform.leaving_proxies(state);
        for last in self.heartbeats.values() {
            let heartbeat = &last.heartbeat;
            let stored = state.proxy(&heartbeat.proxy);
            let is_undrained = stored.is_some_and(|stored| {
                stored.state == ProxyState::Live || stored.incarnation != heartbeat.incarnation
            });
            if heartbeat.draining && is_undrained && !self.is_silent(now, last) {
                draining.insert((heartbeat.proxy.clone(), heartbeat.incarnation));
            }
        }
        Vec::from_iter(draining)
    }

    /// Returns the stored proxies that sent no heartbeat in time.
    fn silent_proxies(
        &self,
        now: Timestamp,
        state: &ControlState,
    ) -> Vec<(ProxyName, Incarnation)> {
        let grace_over = now.saturating_since(self.leading_since) >= self.settings.grace_period;
        let watched = state.proxies().filter(|(_, proxy)| proxy.state != ProxyState::Down);
        let silent = watched.filter(|(name, _)| match self.heartbeats.get(*name) {
            Some(last) => self.is_silent(now, last),
            None => grace_over,
        });
        silent.map(|(name, proxy)| (name.clone(), proxy.incarnation)).collect()
    }

    /// Returns the silent proxies, or none for a further grace period if their number is implausible.
    fn defer_if_implausible(
        &mut self,
        now: Timestamp,
        state: &ControlState,
        silent: Vec<(ProxyName, Incarnation)>,
    ) -> Vec<(ProxyName, Incarnation)> {
        let watched = state.proxies().filter(|(_, proxy)| proxy.state != ProxyState::Down).count();
        if silent.len() < IMPLAUSIBLE_MINIMUM || silent.len() * 2 <= watched {
            self.implausible_since = None;
            return silent;
        }
        let since = *self.implausible_since.get_or_insert(now);
        let confirmed = now.saturating_since(since) >= self.settings.grace_period;
        if confirmed { silent } else { Vec::new() }
    }

    /// Removes the heartbeats of silent proxies that are down or not stored.
    fn remove_stale(&mut self, state: &ControlState, now: Timestamp) {
        let timeout = self.settings.heartbeat_timeout;
        self.heartbeats.retain(|name, last| {
            let up = state.proxy(name).is_some_and(|proxy| proxy.state != ProxyState::Down);
            up || now.saturating_since(last.received_at) < timeout
        });
    }

    /// Returns on how many proxies that are not down a revision is in force. A new leader
    /// counts the revision of a proxy once the proxy has sent a heartbeat.
    #[must_use]
    pub fn in_force(&self, revision: Revision, state: &ControlState) -> InForce {
        let mut result = InForce::default();
        let watched = state.proxies().filter(|(_, proxy)| proxy.state != ProxyState::Down);
        for (name, proxy) in watched {
            let heartbeat = self.heartbeats.get(name).map(|last| &last.heartbeat);
            let is_applied = heartbeat.is_some_and(|heartbeat| {
                heartbeat.incarnation == proxy.incarnation && heartbeat.revision >= revision
            });
            result.total += 1;
            if is_applied {
                result.applied += 1;
            } else {
                result.missing.push(name.clone());
            }
        }
        result
    }
}

fn batch<T>(command: fn(Vec<T>) -> Command, items: Vec<T>) -> Option<Command> {
    (!items.is_empty()).then(|| command(items))
}
