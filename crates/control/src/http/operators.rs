//! What the handlers work with.

use crate::consensus::{ConsensusHandle, ReplicaStatus};
use crate::feed::Feed;
use crate::proxies::Proofs;
use crate::stop::StopSignal;
use corktack_core::identity::ReplicaId;
use corktack_protocol::cell::CellName;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::time::Duration;

/// Shared by the handlers; clones share what they name.
#[derive(Clone)]
pub(crate) struct Operators {
    pub(crate) cell: CellName,
    pub(crate) replica: ReplicaId,
    pub(crate) consensus: ConsensusHandle,
    pub(crate) feed: Feed,
    pub(crate) proofs: Proofs,
    pub(crate) status: tokio::sync::watch::Receiver<ReplicaStatus>,
    pub(crate) registry: Arc<Registry>,
    pub(crate) token: Option<Arc<str>>,
    pub(crate) bookmark_interval: Duration,
    pub(crate) stop: StopSignal,
}
