//! The proxies connected to this replica, and the summaries of their heartbeats for the leader.
//!
//! The table keeps what each proxy reported since the last summary. The consensus thread brings the summaries
//! to the leader, on this or another replica.

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

/// Number of shards of the table, each with its own lock. With fewer shards, connections wait for each other;
/// each further shard costs a lock.
const SHARDS: usize = 16;
/// Number of ticks from one full summary to the next. A full summary carries every observation, so that a new
/// leader, or a leader that missed a summary, knows all of them again. A lower value sends more data; a
/// higher value delays the time at which such a leader knows all observations.
const TICKS_PER_FULL_SUMMARY: u64 = 5;
/// Delay before every summary, which combines heartbeats that arrive close together. It is also the shortest
/// time between two summaries, whatever the proxies send. A shorter delay sends more summaries in a burst; a
/// longer one delays the leader's knowledge of a fault.
const SUMMARY_DELAY: Duration = Duration::from_millis(20);

/// Which heartbeats and observations a summary carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SummaryScope {
    /// Only the observations that no summary has carried yet; sent between two ticks. The next tick repeats
    /// these observations, because an election may lose this summary.
    Unsent,
    /// The proxies with a heartbeat since the last tick, with their observations since then.
    Changes,
    /// The proxies with a heartbeat since the last tick, with all their observations.
    Full,
}

/// Identifies one connection among the connections of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// Identity of a proxy, from its hello.
#[derive(Clone, Debug)]
pub(crate) struct ProxyIdentity {
    pub(crate) proxy: ProxyName,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
}

/// Content of a proxy's heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatReport {
    pub(crate) revision: Revision,
    pub(crate) draining: bool,
    pub(crate) observations: Vec<Observation>,
}

type MemberKey = (GroupName, MemberName);

struct ConnectedProxy {
    connection: ConnectionId,
    /// Channel to the connection for the leader's allowance grants.
    grants: mpsc::UnboundedSender<AllowanceGrant>,
    identity: ProxyIdentity,
    revision: Revision,
    draining: bool,
    /// Whether a heartbeat arrived since the last tick.
    has_heartbeat: bool,
    health: BTreeMap<MemberKey, MemberHealth>,
    /// Members observed since the last tick.
    changed: BTreeSet<MemberKey>,
    /// Members in `changed` whose observation no summary has carried yet.
    unsent: BTreeSet<MemberKey>,
}

type Shard = HashMap<ProxyName, ConnectedProxy>;

/// The proxies connected to this replica, in shards with a lock each.
#[derive(Clone)]
pub(crate) struct ProxyTable {
    shards: Arc<[Mutex<Shard>; SHARDS]>,
    hasher: RandomState,
    observations_arrived: Arc<Notify>,
}

impl ProxyTable {
    pub(crate) fn new() -> Self {
        let shards = std::array::from_fn(|_| Mutex::default());
        Self {
            shards: Arc::new(shards),
            hasher: RandomState::new(),
            observations_arrived: Arc::default(),
        }
    }

    fn shard(&self, proxy: &ProxyName) -> MutexGuard<'_, Shard> {
        let index = self.hasher.hash_one(proxy) as usize % SHARDS;
        lock(&self.shards[index])
    }

    /// Adds a proxy; a newer connection replaces an older one of the same proxy.
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
            has_heartbeat: true,
            health: BTreeMap::new(),
            changed: BTreeSet::new(),
            unsent: BTreeSet::new(),
            identity,
        };
        self.shard(&proxy.identity.proxy.clone()).insert(proxy.identity.proxy.clone(), proxy);
    }

    /// Sends the leader's allowance grant to its proxy, if the proxy is still connected to this replica.
    pub(crate) fn send_grant(&self, grant: AllowanceGrant) {
        if let Some(entry) = self.shard(&grant.gateway).get(&grant.gateway) {
            // If the connection ends now, the proxy reports its allowances again through another replica.
            let _ = entry.grants.send(grant);
        }
    }

    /// Removes a proxy, unless a newer connection of the proxy has replaced this connection.
    pub(crate) fn disconnect(&self, connection: ConnectionId, proxy: &ProxyName) {
        let mut shard = self.shard(proxy);
        if shard.get(proxy).is_some_and(|entry| entry.connection == connection) {
            shard.remove(proxy);
        }
    }

    /// Records a heartbeat; observations trigger a summary. Returns whether the connection is still the
    /// newest of the proxy.
    pub(crate) fn record_heartbeat(
        &self,
        connection: ConnectionId,
        proxy: &ProxyName,
        report: HeartbeatReport,
    ) -> bool {
        let has_observations = !report.observations.is_empty();
        match self.shard(proxy).get_mut(proxy) {
            Some(entry) if entry.connection == connection => entry.record_heartbeat(report),
            _ => return false,
        }
        if has_observations {
            self.observations_arrived.notify_one();
        }
        true
    }

    fn take_summary(&self, scope: SummaryScope) -> Vec<ProxyReport> {
        let mut reports = Vec::new();
        for shard in self.shards.iter() {
            let mut shard = lock(shard);
            reports.extend(shard.values_mut().filter_map(|proxy| proxy.take_report(scope)));
        }
        reports
    }
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    // A panic while the lock was held cannot leave the map inconsistent.
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectedProxy {
    fn record_heartbeat(&mut self, report: HeartbeatReport) {
        self.has_heartbeat = true;
        self.revision = self.revision.max(report.revision);
        self.draining |= report.draining;
        for observation in report.observations {
            let key = (observation.group, observation.member);
            self.changed.insert(key.clone());
            self.unsent.insert(key.clone());
            self.health.insert(key, observation.health);
        }
    }

    /// Returns the proxy's part of a summary, if any, and clears what the summary now carries.
    fn take_report(&mut self, scope: SummaryScope) -> Option<ProxyReport> {
        let unsent = std::mem::take(&mut self.unsent);
        if scope == SummaryScope::Unsent {
            return (!unsent.is_empty()).then(|| self.report_with(|key| unsent.contains(key)));
        }
        if !std::mem::take(&mut self.has_heartbeat) {
            return None;
        }
        let changed = std::mem::take(&mut self.changed);
        Some(self.report_with(|key| scope == SummaryScope::Full || changed.contains(key)))
    }

    fn report_with(&self, is_included: impl Fn(&MemberKey) -> bool) -> ProxyReport {
        let included = self.health.iter().filter(|(key, _)| is_included(key));
        let observations = included.map(|(key, health)| observation(key, *health)).collect();
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

/// Sends summaries to the leader until the replica stops: one every `summary_interval`, and one with the
/// unsent observations soon after observations arrive.
pub(crate) async fn send_summaries(
    table: ProxyTable,
    summary_interval: Duration,
    consensus: ConsensusHandle,
    stop: StopSignal,
) {
    tokio::select! {
        () = run_summaries(table, summary_interval, consensus) => (),
        () = stop.stopped() => (),
    }
}

async fn run_summaries(table: ProxyTable, summary_interval: Duration, consensus: ConsensusHandle) {
    let mut ticks = interval(summary_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tick_scopes = (0_u64..).map(scope_of_tick);
    loop {
        let scope = tokio::select! {
            // A summary at a tick carries unsent observations as well. Ticks are polled first, so that a
            // flood of observations cannot delay them.
            biased;
            _ = ticks.tick() => tick_scopes.next().unwrap_or(SummaryScope::Full),
            () = table.observations_arrived.notified() => SummaryScope::Unsent,
        };
        sleep(SUMMARY_DELAY).await;
        let reports = table.take_summary(scope);
        if !reports.is_empty() && consensus.send(ConsensusInput::ProxyReports(reports)).is_err() {
            return;
        }
    }
}

const fn scope_of_tick(tick: u64) -> SummaryScope {
    if tick.is_multiple_of(TICKS_PER_FULL_SUMMARY) {
        SummaryScope::Full
    } else {
        SummaryScope::Changes
    }
}
