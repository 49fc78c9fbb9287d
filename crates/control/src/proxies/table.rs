//! The proxies connected to this replica, and their summary for the leader.
//!
//! Owns what each proxy reported since the last summary. Relies on the consensus thread to bring summaries
//! to the leader, here or elsewhere.

use crate::consensus::{ConsensusHandle, ConsensusInput};
use crate::stop::StopSignal;
use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use corktack_core::limits::AllowanceGrant;
use corktack_core::view::Revision;
use corktack_protocol::cell::ProxyReport;
use corktack_protocol::control::{MemberHealth, Observation};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{MissedTickBehavior, interval, sleep};

/// Parts of the table with a lock of their own. Chosen, not measured; fewer make connections wait for each
/// other, more cost a lock each.
const SHARDS: usize = 16;
/// Ticks between two summaries that carry every observation, not only the changes:
/// a new leader, or one that missed a summary, then knows all of them again. Chosen, not measured; a lower
/// value sends more, a higher one adds to the time until such a leader knows them.
const FULL_SUMMARY_EVERY: u64 = 5;
/// Wait before every summary, for what arrives together to go out together. Two
/// summaries are never closer, whatever the proxies send. Chosen, not measured; a lower value sends more
/// summaries in a burst, a higher one adds to the time until the leader knows of a fault.
const BATCHING_INTERVAL: Duration = Duration::from_millis(20);

/// What a summary carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Extent {
    /// Only the observations that no summary has carried yet, between two ticks. The
    /// next tick repeats them, as this summary may be lost to an election.
    Unsent,
    /// The heartbeats since the last tick and the observations they brought.
    Changes,
    /// The heartbeats since the last tick and every observation.
    Full,
}

/// Number of one connection, to tell a proxy's connections apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// Who a proxy is, by its hello.
#[derive(Clone, Debug)]
pub(crate) struct ProxyIdentity {
    pub(crate) proxy: ProxyName,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
}

/// A proxy's heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatReport {
    pub(crate) revision: Revision,
    pub(crate) draining: bool,
    pub(crate) observations: Vec<Observation>,
}

type MemberKey = (GroupName, MemberName);

struct ConnectedProxy {
    connection: ConnectionId,
    /// Takes what the leader gives of tenants' limits.
    grants: mpsc::UnboundedSender<AllowanceGrant>,
    identity: ProxyIdentity,
    revision: Revision,
    draining: bool,
    /// Whether a heartbeat came since the last tick.
    reported: bool,
    health: BTreeMap<MemberKey, MemberHealth>,
    /// Observed since the last tick.
    changed: BTreeSet<MemberKey>,
    /// Those of the changed that no summary has carried yet.
    unsent: BTreeSet<MemberKey>,
}

type Shard = HashMap<ProxyName, ConnectedProxy>;

/// The proxies connected to this replica, in shards each under its own lock.
#[derive(Clone)]
pub(crate) struct ProxyTable {
    shards: Arc<[Mutex<Shard>; SHARDS]>,
    hasher: RandomState,
    observed: Arc<Notify>,
}

impl ProxyTable {
    pub(crate) fn new() -> Self {
        let shards = std::array::from_fn(|_| Mutex::default());
        Self { shards: Arc::new(shards), hasher: RandomState::new(), observed: Arc::default() }
    }

    fn shard(&self, proxy: &ProxyName) -> MutexGuard<'_, Shard> {
        let number = self.hasher.hash_one(proxy) as usize % SHARDS;
        lock(&self.shards[number])
    }

    /// Enters a proxy; its newest connection replaces an older one.
    pub(crate) fn connect(
        &self,
        connection: ConnectionId,
        identity: ProxyIdentity,
        revision: Revision,
        grants: mpsc::UnboundedSender<AllowanceGrant>,
    ) {
        let proxy = ConnectedProxy {
            connection,
            grants,
            revision,
            draining: false,
            reported: true,
            health: BTreeMap::new(),
            changed: BTreeSet::new(),
            unsent: BTreeSet::new(),
            identity,
        };
        self.shard(&proxy.identity.proxy.clone()).insert(proxy.identity.proxy.clone(), proxy);
    }

    /// Passes on what the leader gives to a proxy that is still connected here.
    pub(crate) fn grant(&self, grant: AllowanceGrant) {
        if let Some(entry) = self.shard(&grant.gateway).get(&grant.gateway) {
            // A connection that ends now makes the proxy report again through another replica.
            let _ = entry.grants.send(grant);
        }
    }

    /// Removes a proxy, unless a newer connection has replaced this one.
    pub(crate) fn disconnect(&self, connection: ConnectionId, proxy: &ProxyName) {
        let mut shard = self.shard(proxy);
        if shard.get(proxy).is_some_and(|entry| entry.connection == connection) {
            shard.remove(proxy);
        }
    }

    /// Notes a heartbeat; observations make a summary due. Gives whether the
    /// connection is still the proxy's newest.
    pub(crate) fn heartbeat(
        &self,
        connection: ConnectionId,
        proxy: &ProxyName,
        report: HeartbeatReport,
    ) -> bool {
        let observed = !report.observations.is_empty();
        match self.shard(proxy).get_mut(proxy) {
            Some(entry) if entry.connection == connection => entry.note(report),
            _ => return false,
        }
        if observed {
            self.observed.notify_one();
        }
        true
    }

    fn summary(&self, extent: Extent) -> Vec<ProxyReport> {
        let mut reports = Vec::new();
        for shard in self.shards.iter() {
            let mut shard = lock(shard);
            reports.extend(shard.values_mut().filter_map(|proxy| proxy.report(extent)));
        }
        reports
    }
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    // A panic while the lock was held leaves a map that is still whole.
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectedProxy {
    fn note(&mut self, report: HeartbeatReport) {
        self.reported = true;
        self.revision = self.revision.max(report.revision);
        self.draining |= report.draining;
        for observation in report.observations {
            let key = (observation.group, observation.member);
            self.changed.insert(key.clone());
            self.unsent.insert(key.clone());
            self.health.insert(key, observation.health);
        }
    }

    /// The proxy's part of a summary, if it has one.
    fn report(&mut self, extent: Extent) -> Option<ProxyReport> {
        let unsent = std::mem::take(&mut self.unsent);
        if extent == Extent::Unsent {
            return (!unsent.is_empty()).then(|| self.report_of(|key| unsent.contains(key)));
        }
        if !std::mem::take(&mut self.reported) {
            return None;
        }
        let changed = std::mem::take(&mut self.changed);
        Some(self.report_of(|key| extent == Extent::Full || changed.contains(key)))
    }

    fn report_of(&self, wanted: impl Fn(&MemberKey) -> bool) -> ProxyReport {
        let observed = self.health.iter().filter(|(key, _)| wanted(key));
        let observations = observed.map(|(key, health)| observation(key, *health)).collect();
        ProxyReport {
            proxy: self.identity.proxy.clone(),
            incarnation: self.identity.incarnation,
            address: self.identity.address,
            zone: self.identity.zone.clone(),
            revision: self.revision,
            draining: self.draining,
            observations,
        }
    }
}

fn observation((group, member): &MemberKey, health: MemberHealth) -> Observation {
    Observation { group: group.clone(), member: member.clone(), health }
}

/// Sends a summary to the leader every `spacing`, and one of what is unsent soon after
/// observations arrive, until the stop.
pub(crate) async fn send_summaries(
    table: ProxyTable,
    spacing: Duration,
    consensus: ConsensusHandle,
    stop: StopSignal,
) {
    tokio::select! {
        () = run_summaries(table, spacing, consensus) => (),
        () = stop.stopped() => (),
    }
}

async fn run_summaries(table: ProxyTable, spacing: Duration, consensus: ConsensusHandle) {
    let mut ticks = interval(spacing);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tick_extents = (0_u64..).map(extent_of_tick);
    loop {
        let extent = tokio::select! {
            // A tick carries what is unsent as well, and no flood of observations puts it off.
            biased;
            _ = ticks.tick() => tick_extents.next().unwrap_or(Extent::Full),
            () = table.observed.notified() => Extent::Unsent,
        };
        sleep(BATCHING_INTERVAL).await;
        let reports = table.summary(extent);
        if !reports.is_empty() && consensus.send(ConsensusInput::Reports(reports)).is_err() {
            return;
        }
    }
}

const fn extent_of_tick(number: u64) -> Extent {
    if number.is_multiple_of(FULL_SUMMARY_EVERY) { Extent::Full } else { Extent::Changes }
}
