//! Settings of a control replica, as the process that runs it gives them; no file is read here.

use crate::registry_calls::RegistryCalls;
use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::{Incarnation, ReplicaId};
use corktack_core::limits::LimitBounds;
use corktack_core::registry::CellRepairSettings;
use corktack_protocol::cell::CellName;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

/// Defaults of what is not given, for replicas within one region. Chosen, not measured: an election timeout of
/// six heartbeats, and a proxy's of three. Lower timeouts replace leaders and proxies that are only slow;
/// higher ones add to the time after a loss.
const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const DEFAULT_PROXY_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const DEFAULT_PROXY_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// Chosen, not measured; a lower value writes snapshots more often, a higher one reads a longer log at a start.
const DEFAULT_SNAPSHOT_ENTRIES: u64 = 4_096;
/// Chosen, not measured; a lower value sends more snapshots to those who lag, a higher one takes more memory.
const DEFAULT_WATCH_CHANGES: usize = 8_192;
/// Limits of a request, a call of a back end and a probe. Chosen, not measured; lower values give up on what is
/// only slow, higher ones hold up what waits for it.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_BACK_END_TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Chosen, not measured; more serve more operators and proxies side by side, at a thread each.
const DEFAULT_WORKERS: usize = 2;

/// How a replica with an empty data folder finds its cell. A replica that finds
/// its log on disk goes by the log; the addresses are then only a first hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellStart {
    /// The replica is one of the first voters of a new cell.
    Bootstrap(CellConfig),
    /// The replica waits to be added as a learner by these members.
    Join(Vec<CellMember>),
}

/// The platform's list of live and leaving machines: `{"live":[ADDRESS],"leaving":[ADDRESS]}`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSource {
    /// Where the list is served over HTTP.
    pub address: SocketAddr,
    /// Path of the list, with its leading slash.
    pub path: String,
    /// Time between two polls.
    pub interval: Duration,
}

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of the cell; connections of other cells are refused.
    pub cell: CellName,
    /// This replica. One that lost its disk must come back under a new identity.
    pub replica: ReplicaId,
    /// Incarnation of the process, drawn at its start.
    pub incarnation: Incarnation,
    /// How an empty replica finds its cell.
    pub start: CellStart,
    /// Folder of the log and the snapshots; nothing else may write there.
    pub data_folder: PathBuf,
    /// Shortest time without a leader before an election.
    pub election_timeout: Duration,
    /// Shortest time before the first election after the start.
    pub first_election_timeout: Duration,
    /// Time between heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Time between heartbeats of a proxy, and between summaries of them to the leader.
    pub proxy_heartbeat_interval: Duration,
    /// Silence after which a proxy counts as down.
    pub proxy_heartbeat_timeout: Duration,
    /// When and how a primary is replaced.
    pub failover: corktack_core::failover::FailoverSettings,
    /// Longest wait for a fence or a promotion, its connection included.
    pub back_end_timeout: Duration,
    /// Longest wait for a probe, its connection included.
    pub probe_timeout: Duration,
    /// Log entries after which a snapshot is made.
    pub snapshot_entries: u64,
    /// Changes kept for watchers; one further behind gets a snapshot or lists again.
    pub watch_changes: usize,
    /// Longest time a request waits for its outcome before it is answered 503.
    pub request_timeout: Duration,
    /// The platform's list, where there is one.
    pub platform: Option<PlatformSource>,
    /// Bearer token that operators present. Without one only loopback is served.
    pub operator_token: Option<String>,
    /// Threads of the resource interface, and arbiters of the proxies' watch.
    pub workers: usize,
    /// How the leader grows and repairs the cell by itself; without it operators do.
    pub cell_repair: Option<CellRepairSettings>,
    /// How the leader reaches registered back ends; without it their primaries are not replaced.
    pub registry_calls: Option<RegistryCalls>,
    /// By what the limits of tenants are kept.
    pub limits: LimitBounds,
    /// How long after its start a replica leaves registry changes unacknowledged while the
    /// cell has fewer voters than it should have: with few voters, fewer lost disks than
    /// tolerated could lose them.
    pub formation_grace: Duration,
    /// Where a replica without a cell requests to be added: proxy addresses of other replicas.
    pub join_through: Vec<SocketAddr>,
    /// Address at which other replicas reach this one, needed to join a cell.
    pub cell_address: Option<SocketAddr>,
    /// Seed of the jitter of elections and reconnections.
    pub seed: u64,
}

impl ControlSettings {
    /// Settings with the defaults for everything that is not given.
    #[must_use]
    pub fn new(cell: CellName, replica: ReplicaId, start: CellStart, data_folder: PathBuf) -> Self {
        Self {
            cell,
            replica,
            incarnation: Incarnation(0),
            start,
            data_folder,
            election_timeout: DEFAULT_ELECTION_TIMEOUT,
            first_election_timeout: DEFAULT_ELECTION_TIMEOUT,
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            proxy_heartbeat_interval: DEFAULT_PROXY_HEARTBEAT_INTERVAL,
            proxy_heartbeat_timeout: DEFAULT_PROXY_HEARTBEAT_TIMEOUT,
            failover: corktack_core::failover::FailoverSettings::default(),
            back_end_timeout: DEFAULT_BACK_END_TIMEOUT,
            probe_timeout: DEFAULT_PROBE_TIMEOUT,
            snapshot_entries: DEFAULT_SNAPSHOT_ENTRIES,
            watch_changes: DEFAULT_WATCH_CHANGES,
            request_timeout: DEFAULT_REQUEST_TIMEOUT,
            platform: None,
            operator_token: None,
            cell_repair: None,
            registry_calls: None,
            limits: LimitBounds::default(),
            formation_grace: Duration::ZERO,
            join_through: Vec::new(),
            cell_address: None,
            workers: DEFAULT_WORKERS,
            seed: replica.0,
        }
    }
}

/// Bound listeners of a control replica.
#[derive(Debug)]
pub struct ControlListeners {
    /// For other control replicas.
    pub cell: TcpListener,
    /// For proxies.
    pub proxies: TcpListener,
    /// For operators, over HTTP.
    pub operators: TcpListener,
}
