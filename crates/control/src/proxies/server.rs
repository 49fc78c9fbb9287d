//! What the connections of proxies share.

use super::proofs::Proofs;
use super::table::{ConnectionId, ProxyTable};
use crate::consensus::{ConsensusHandle, ReplicaStatus};
use crate::feed::Feed;
use crate::metrics::Metrics;
use crate::stop::StopSignal;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// A proxy that takes nothing for this long is cut off; it comes back for a snapshot. Chosen, not measured;
/// a lower value cuts off proxies behind slow links, a higher one keeps frames for those that are gone.
pub(super) const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// What every connection of a proxy needs.
#[derive(Clone)]
pub(crate) struct ProxyServer {
    pub(crate) consensus: ConsensusHandle,
    pub(crate) feed: Feed,
    pub(crate) table: ProxyTable,
    pub(crate) proofs: Proofs,
    pub(crate) metrics: Metrics,
    pub(crate) heartbeat_timeout: Duration,
    pub(crate) connections: Arc<AtomicU64>,
    pub(crate) stop: StopSignal,
    pub(crate) status: watch::Receiver<ReplicaStatus>,
}

impl ProxyServer {
    /// A number for one more connection.
    pub(super) fn next_connection(&self) -> ConnectionId {
        ConnectionId(self.connections.fetch_add(1, Ordering::Relaxed))
    }
}
