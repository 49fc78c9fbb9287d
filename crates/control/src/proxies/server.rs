//! State shared by the connections of proxies.

use super::proofs::CurrencyChecks;
use super::table::{ConnectionId, ProxyTable};
use crate::consensus::{ConsensusHandle, ReplicaStatus};
use crate::feed::Feed;
use crate::metrics::Metrics;
use crate::stop::StopSignal;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// Timeout of sending one frame; a proxy that accepts no data for so long is disconnected, and reconnects for
/// a snapshot. A shorter timeout disconnects proxies behind slow links; a longer one keeps frames for lost
/// proxies.
pub(super) const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles and settings that every connection of a proxy uses.
#[derive(Clone)]
pub(crate) struct ProxyServer {
    pub(crate) consensus: ConsensusHandle,
    pub(crate) feed: Feed,
    pub(crate) table: ProxyTable,
    pub(crate) currency_checks: CurrencyChecks,
    pub(crate) metrics: Metrics,
    pub(crate) heartbeat_timeout: Duration,
    pub(crate) next_connection: Arc<AtomicU64>,
    pub(crate) stop: StopSignal,
    pub(crate) status: watch::Receiver<ReplicaStatus>,
}

impl ProxyServer {
    /// Returns a new, unique id for a connection.
    pub(super) fn next_connection_id(&self) -> ConnectionId {
        ConnectionId(self.next_connection.fetch_add(1, Ordering::Relaxed))
    }
}
