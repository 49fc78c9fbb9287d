//! State shared by the HTTP handlers.

use crate::consensus::{ConsensusHandle, ReplicaStatus};
use crate::feed::Feed;
use crate::proxies::CurrencyChecks;
use crate::stop::StopSignal;
use corktack_core::identity::ReplicaId;
use corktack_protocol::cell::CellName;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::time::Duration;

/// Handles and settings that the HTTP handlers use; clones share the same replica.
#[derive(Clone)]
pub(crate) struct OperatorContext {
    pub(crate) cell: CellName,
    pub(crate) replica: ReplicaId,
    pub(crate) consensus: ConsensusHandle,
    pub(crate) feed: Feed,
    pub(crate) currency_checks: CurrencyChecks,
    pub(crate) status: tokio::sync::watch::Receiver<ReplicaStatus>,
    pub(crate) registry: Arc<Registry>,
    pub(crate) token: Option<Arc<str>>,
    pub(crate) bookmark_interval: Duration,
    pub(crate) stop: StopSignal,
}
