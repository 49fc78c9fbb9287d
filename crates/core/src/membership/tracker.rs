//! Heartbeats of the proxies: who came, who is silent, and what the control state should hold of it.
//!
//! Owns, of each proxy, its last heartbeat and what was proposed of it. Relies on the leader's clock and on
//! control replicas that pass heartbeats on.

use super::platform::PlatformList;
use crate::identity::{Incarnation, ProxyName, ZoneName};
use crate::state::ControlState;
use crate::state::command::{Command, ProxyRegistration};
use crate::time::Timestamp;
use crate::view::{ProxyState, ProxyView, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Fewest silent proxies that are blamed on the leader itself. Chosen, not measured: with fewer, a small fleet
/// that loses most of its proxies waits for a grace period more.
const IMPLAUSIBLE_MINIMUM: usize = 3;

/// Times of the membership. Chosen, not measured: with lower ones, proxies that are frozen for a moment lose
/// their groups; with higher ones, groups of proxies that are gone are taken over later.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// A proxy without a heartbeat for this long is down.
    pub heartbeat_timeout: Duration,
    /// What a new leader gives every proxy, and every leader when over half are silent.
    pub grace_period: Duration,
    /// Between two proposals of the same batch while its outcome is not known.
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
    /// The proxy.
    pub proxy: ProxyName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Address of its owner interface.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Revision in force there.
    pub revision: Revision,
    /// Whether it is stopping.
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

    /// Whether the control state must change: another incarnation or place, or a return.
    /// A proxy that is stopping is not taken up again, so that no group moves to it.
    fn is_news(&self, stored: Option<&ProxyView>) -> bool {
        let Some(stored) = stored.filter(|stored| stored.state != ProxyState::Down) else {
            return !self.draining;
        };
        stored.incarnation != self.incarnation
            || stored.address != self.address
            || stored.zone != self.zone
    }
}

/// The last word of one proxy.
#[derive(Clone, Debug)]
struct LastHeartbeat {
    at: Timestamp,
    heartbeat: ProxyHeartbeat,
    /// The incarnation before; what is still under way from it is left out.
    former: Option<Incarnation>,
}

/// On how many proxies a revision is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// Proxies that have it.
    pub on: usize,
    /// Proxies that are not down.
    pub of: usize,
    /// Those that have not reported it.
    pub missing: Vec<ProxyName>,
}

/// Tracks the heartbeats of all proxies.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    heartbeats: BTreeMap<ProxyName, LastHeartbeat>,
    /// Proxies of the state that have sent no heartbeat yet count from here.
    leading_since: Timestamp,
    platform: PlatformList,
    implausible_since: Option<Timestamp>,
    proposed_at: Option<Timestamp>,
}

impl Membership {
    /// A tracker for a replica that just became leader.
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

    /// Takes in a heartbeat that reached the cell at `now`.
    pub fn on_report(&mut self, now: Timestamp, heartbeat: ProxyHeartbeat) {
        let Some(last) = self.heartbeats.get_mut(&heartbeat.proxy) else {
            let name = heartbeat.proxy.clone();
            self.heartbeats.insert(name, LastHeartbeat { at: now, heartbeat, former: None });
            return;
        };
        let same_incarnation = last.heartbeat.incarnation == heartbeat.incarnation;
        let silent = now.saturating_since(last.at) >= self.settings.heartbeat_timeout;
        if !same_incarnation && last.former == Some(heartbeat.incarnation) && !silent {
            return;
        }
        if !same_incarnation {
            last.former = Some(last.heartbeat.incarnation);
        }
        last.at = now;
        last.heartbeat = heartbeat;
    }

    /// Takes in the platform's list.
    pub fn on_platform(&mut self, list: PlatformList) {
        self.platform = list;
    }

    /// Notes that the commands of the last tick were committed or lost.
    pub fn on_outcome(&mut self) {
        self.proposed_at = None;
    }

    /// Commands to propose, at most one of each sort. While their outcome is not
    /// known no further ones are given.
    pub fn on_tick(&mut self, now: Timestamp, state: &ControlState) -> Vec<Command> {
        let waiting = |at| now.saturating_since(at) < self.settings.proposal_timeout;
        if self.proposed_at.is_some_and(waiting) {
            return Vec::new();
        }
        let down = self.silent_proxies(now, state);
        let down = self.plausible(now, state, down);
        self.forget(state, now);
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
        now.saturating_since(last.at) >= self.settings.heartbeat_timeout
    }

    fn registrations(&self, now: Timestamp, state: &ControlState) -> Vec<ProxyRegistration> {
        let fresh = self.heartbeats.values().filter(|last| !self.is_silent(now, last));
        let news = fresh.filter(|last| last.heartbeat.is_news(state.proxy(&last.heartbeat.proxy)));
        news.map(|last| last.heartbeat.registration()).collect()
    }

    /// Proxies that say they are stopping, or that the platform calls leaving.
    fn draining_proxies(
        &self,
        now: Timestamp,
        state: &ControlState,
    ) -> Vec<(ProxyName, Incarnation)> {
        let mut draining = self.platform.leaving_proxies(state);
        for last in self.heartbeats.values() {
            let heartbeat = &last.heartbeat;
            let stored = state.proxy(&heartbeat.proxy);
            let owns = stored.is_some_and(|stored| {
                stored.state == ProxyState::Live || stored.incarnation != heartbeat.incarnation
            });
            if heartbeat.draining && owns && !self.is_silent(now, last) {
                draining.insert((heartbeat.proxy.clone(), heartbeat.incarnation));
            }
        }
        Vec::from_iter(draining)
    }

    /// Proxies of the state that sent no heartbeat in time.
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

    /// Holds back an implausible number of proxies for a further grace period.
    fn plausible(
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

    /// Drops what is known of proxies that are silent and down or unknown.
    fn forget(&mut self, state: &ControlState, now: Timestamp) {
        let timeout = self.settings.heartbeat_timeout;
        self.heartbeats.retain(|name, last| {
            let up = state.proxy(name).is_some_and(|proxy| proxy.state != ProxyState::Down);
            up || now.saturating_since(last.at) < timeout
        });
    }

    /// On which proxies that are not down a revision is in force. A new leader
    /// counts a proxy once it has sent a heartbeat.
    #[must_use]
    pub fn in_force(&self, revision: Revision, state: &ControlState) -> InForce {
        let mut result = InForce::default();
        let watched = state.proxies().filter(|(_, proxy)| proxy.state != ProxyState::Down);
        for (name, proxy) in watched {
            let heartbeat = self.heartbeats.get(name).map(|last| &last.heartbeat);
            let has_it = heartbeat
                .is_some_and(|it| it.incarnation == proxy.incarnation && it.revision >= revision);
            result.of += 1;
            if has_it {
                result.on += 1;
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
