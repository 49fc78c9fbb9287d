//! Settings of a control replica. The process that runs the replica provides them; this module reads no file.

use crate::registry_calls::RegistryCalls;
use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::{Incarnation, ReplicaId};
use corktack_core::limits::LimitBounds;
use corktack_core::registry::CellRepairSettings;
use corktack_protocol::cell::CellName;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

/// Default timeouts for replicas within one region: the election timeout is six heartbeat intervals, the
/// timeout of a proxy is three. Shorter timeouts replace leaders and proxies that are only slow; longer ones
/// delay the recovery after a loss.
const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const DEFAULT_PROXY_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const DEFAULT_PROXY_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// A lower value writes snapshots more often; a higher one makes a start read a longer log.
const DEFAULT_SNAPSHOT_ENTRIES: u64 = 4_096;
/// A lower value sends more snapshots to lagging watchers; a higher one uses more memory.
const DEFAULT_WATCH_CHANGES: usize = 8_192;
/// Timeouts of a request, of a call to a back end and of a probe. Shorter timeouts abort calls that are only
/// slow; longer ones delay whatever waits for the result.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_BACK_END_TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a leader after which a voter requests to join, as the others may have removed it. A shorter
/// time sends requests during elections; a longer one delays the return of a removed replica.
const DEFAULT_VOTER_REQUEST_AFTER: Duration = Duration::from_secs(2);
/// More workers serve more operators and proxies in parallel; each worker is a thread.
const DEFAULT_WORKERS: usize = 2;

/// How a replica with an empty data folder finds its cell. A replica with a log on disk takes the cell from
/// the log and uses the addresses given here only for its first connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellStart {
    /// The replica is one of the initial voters of a new cell.
    Bootstrap(CellConfig),
    /// The replica waits to be added as a learner by these members.
    Join(Vec<CellMember>),
}

/// The platform's list of live and leaving machines: `{"live":[ADDRESS],"leaving":[ADDRESS]}`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSource {
    /// Address of the HTTP server that serves the list.
    pub address: SocketAddr,
    /// Path of the list, with a leading slash.
    pub path: String,
    /// Time between two polls.
    pub interval: Duration,
}

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of the cell; connections from other cells are refused.
    pub cell: CellName,
    /// Identity of this replica. A replica that lost its disk must return with a new identity.
    pub replica: ReplicaId,
    /// Incarnation of the process, generated at its start.
    pub incarnation: Incarnation,
    /// How a replica with an empty data folder finds its cell.
    pub start: CellStart,
    /// Folder of the log and the snapshots; no other process may write to this folder.
    pub data_folder: PathBuf,
    /// Shortest time without a leader before the replica starts an election.
    pub election_timeout: Duration,
    /// Shortest time from the start of the replica to its first election.
    pub first_election_timeout: Duration,
    /// Interval of the leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Interval of a proxy's heartbeats, and of the summaries of these heartbeats to the leader.
    pub proxy_heartbeat_interval: Duration,
    /// Time without a heartbeat after which a proxy counts as down.
    pub proxy_heartbeat_timeout: Duration,
    /// Settings of failover: when and how a primary is replaced.
    pub failover: corktack_core::failover::FailoverSettings,
    /// Timeout of a fence or a promotion, including the connection.
    pub back_end_timeout: Duration,
    /// Timeout of a probe, including the connection.
    pub probe_timeout: Duration,
    /// Number of log entries after which a snapshot is made.
    pub snapshot_entries: u64,
    /// Number of changes kept for watchers; a watcher that is further behind gets a snapshot or lists again.
    pub watch_changes: usize,
    /// Longest time that a request waits for its outcome before the replica responds with status 503.
    pub request_timeout: Duration,
    /// Source of the platform's list, if the platform serves one.
    pub platform: Option<PlatformSource>,
    /// Bearer token that operators must present. Without a token, operators are only served on loopback.
    pub operator_token: Option<String>,
    /// Number of threads of the resource interface, and of arbiters for the watch of proxies.
    pub workers: usize,
    /// How the leader grows and repairs the cell by itself; if absent, operators change the cell.
    pub cell_repair: Option<CellRepairSettings>,
    /// How the leader reaches registered back ends; if absent, their primaries are not replaced.
    pub registry_calls: Option<RegistryCalls>,
    /// Parameters by which the limits of tenants are enforced.
    pub limits: LimitBounds,
    /// How long after its start a replica refuses registry changes while the cell has fewer voters than it
    /// should have. With so few voters, fewer lost disks than the cell should tolerate could lose the
    /// changes.
    pub formation_grace: Duration,
    /// Addresses to which a replica without a cell sends its join request: the proxies' listeners of other
    /// replicas.
    pub join_addresses: Vec<SocketAddr>,
    /// Time without a leader after which a voter sends its join request, because the others may have removed
    /// it while it was cut off.
    pub voter_request_after: Duration,
    /// Address at which other replicas reach this replica; needed to join a cell.
    pub cell_address: Option<SocketAddr>,
    /// Seed for the jitter of elections and reconnections.
    pub seed: u64,
}

impl ControlSettings {
    /// Creates settings with the defaults for everything else.
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
            join_addresses: Vec::new(),
            voter_request_after: DEFAULT_VOTER_REQUEST_AFTER,
            cell_address: None,
            workers: DEFAULT_WORKERS,
            seed: replica.0,
        }
    }
}

/// Bound listeners that a control replica takes over.
#[derive(Debug)]
pub struct ControlListeners {
    /// Listener for other control replicas of the cell.
    pub cell: TcpListener,
    /// Listener for proxies, and for replicas that request to join the cell.
    pub proxies: TcpListener,
    /// HTTP listener for operators.
    pub operators: TcpListener,
}
