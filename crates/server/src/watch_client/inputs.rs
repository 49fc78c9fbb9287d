//! Channels and requests between the watch and its proxy.

use corktack_core::limits::AllowanceReport;
use corktack_gateway::LimitUpdate;
use corktack_protocol::control::Observation;
use tokio::sync::mpsc;

/// A request of the [`WatchHandle`](super::WatchHandle) to the watch's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    /// Report to control from now on that the proxy is draining.
    Drain,
    /// Close the connection and end the task.
    Stop,
}

/// What the proxy reports through the watch, and the channel for messages of control that are not
/// configuration.
#[derive(Debug)]
pub struct WatchInputs {
    /// The proxy's observations of back ends' health.
    pub observations: mpsc::UnboundedReceiver<Observation>,
    /// Reports on tenants' limits to control's leader; closed where the proxy has no tenants.
    pub allowance_reports: mpsc::UnboundedReceiver<AllowanceReport>,
    /// Receives grants of tenants' limits and the terms of newly elected leaders.
    pub limit_updates: mpsc::UnboundedSender<LimitUpdate>,
}

impl WatchInputs {
    /// Returns the inputs of a proxy without tenants.
    #[must_use]
    pub fn without_limits(observations: mpsc::UnboundedReceiver<Observation>) -> Self {
        let (allowance_reports, limit_updates) =
            (mpsc::unbounded_channel().1, mpsc::unbounded_channel().0);
        Self { observations, allowance_reports, limit_updates }
    }
}
