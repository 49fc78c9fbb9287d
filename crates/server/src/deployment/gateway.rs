//! A gateway with its watch of control, and what passes between them.
//!
//! Owns both for the time of the process. A planned stop ends in one place, [`RunningGateway::stop`].

use crate::watch_client::WatchHandle;
use corktack_core::position::Term;
use corktack_gateway::{GatewayHandle, MemberReach, Wire};
use corktack_protocol::control::{MemberHealth, Observation};
use tokio::sync::mpsc;

/// Passes what the gateway found of members on to control.
pub(super) async fn observe(
    mut found: mpsc::UnboundedReceiver<MemberReach>,
    observations: mpsc::UnboundedSender<Observation>,
) {
    while let Some(MemberReach { group, member, reached }) = found.recv().await {
        let health =
            if reached { MemberHealth::Replica(Term(0)) } else { MemberHealth::Unreachable };
        // Nobody listens at the end of the process only.
        let _ = observations.send(Observation { group, member, health });
    }
}

/// A gateway with its watch of control.
#[derive(Debug)]
pub struct RunningGateway<W: Wire> {
    pub(super) watch: WatchHandle,
    pub(super) gateway: GatewayHandle<W>,
}

impl<W: Wire> RunningGateway<W> {
    /// Waits until the configuration in force is proved to be current and callers can be served.
    pub async fn until_ready(&self) {
        let mut proved = self.watch.proved();
        let mut views = self.watch.views();
        // Both end only with the process.
        drop(proved.wait_for(Option::is_some).await);
        drop(views.wait_for(|view| view.document.is_some()).await);
    }

    /// Stops as planned: tells control, gives callers notice, ends sessions as they fall quiet.
    pub async fn stop(self) {
        self.watch.drain();
        self.gateway.drain().await;
        self.watch.stop().await;
    }
}
