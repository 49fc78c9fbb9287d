//! A gateway together with its watch of control, and the observations that the gateway sends through the
//! watch.
//!
//! [`RunningGateway`] owns both until the process ends; [`RunningGateway::stop`] performs a planned stop.

use crate::watch_client::WatchHandle;
use corktack_core::position::Term;
use corktack_gateway::{GatewayHandle, MemberReach, Wire};
use corktack_protocol::control::{MemberHealth, Observation};
use tokio::sync::mpsc;

/// Forwards to control which members the gateway could reach and which not.
pub(super) async fn forward_reach_reports(
    mut reach_reports: mpsc::UnboundedReceiver<MemberReach>,
    observations: mpsc::UnboundedSender<Observation>,
) {
    while let Some(MemberReach { group, member, reached }) = reach_reports.recv().await {
        let health =
            if reached { MemberHealth::Replica(Term(0)) } else { MemberHealth::Unreachable };
        // The receiver is dropped only at the end of the process.
        let _ = observations.send(Observation { group, member, health });
    }
}

/// Handles of a running gateway and its watch of control.
#[derive(Debug)]
pub struct RunningGateway<W: Wire> {
    pub(super) watch: WatchHandle,
    pub(super) gateway: GatewayHandle<W>,
}

impl<W: Wire> RunningGateway<W> {
    /// Waits until the configuration in force is confirmed current and holds a document, so that callers
    /// can be served.
    pub async fn wait_until_ready(&self) {
        let mut confirmed_current = self.watch.confirmed_current();
        let mut views = self.watch.views();
        // Both channels close only at the end of the process.
        drop(confirmed_current.wait_for(Option::is_some).await);
        drop(views.wait_for(|view| view.document.is_some()).await);
    }

    /// Performs a planned stop: reports to control that the gateway is draining, notifies callers, ends
    /// sessions as they become idle, and then ends the watch.
    pub async fn stop(self) {
        self.watch.drain();
        self.gateway.drain().await;
        self.watch.stop().await;
    }
}
