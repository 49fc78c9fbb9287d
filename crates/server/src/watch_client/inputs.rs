//! What reaches a watch from its proxy.

use corktack_core::limits::AllowanceReport;
use corktack_gateway::LimitUpdate;
use corktack_protocol::control::Observation;
use tokio::sync::mpsc;

/// What the owner of a watch may request of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    /// Report from now on that the proxy is stopping.
    Drain,
    /// Close the connection and end.
    Stop,
}

/// What the proxy reports to the watch, and where the watch passes on what is no configuration.
#[derive(Debug)]
pub struct WatchInputs {
    /// What the proxy observes of back ends.
    pub observations: mpsc::UnboundedReceiver<Observation>,
    /// What the proxy reports of tenants' limits; closed where it has none.
    pub allowances: mpsc::UnboundedReceiver<AllowanceReport>,
    /// Takes what control grants of limits.
    pub limits: mpsc::UnboundedSender<LimitUpdate>,
}

impl WatchInputs {
    /// Of a proxy that knows no tenants.
    #[must_use]
    pub fn without_limits(observations: mpsc::UnboundedReceiver<Observation>) -> Self {
        let (allowances, limits) = (mpsc::unbounded_channel().1, mpsc::unbounded_channel().0);
        Self { observations, allowances, limits }
    }
}
