//! The owner side of a proxy: server connections, wait queue and routing of a group.
//!
//! Edges connect over the peer protocol ([`corktack_protocol::peer`]). A stream
//! is one transaction: it waits in its group's queue, leases one server
//! connection, and gives it back when the back end is idle again. Ownership of a
//! group is an optimisation: nothing here relies on there being one owner only.

mod barrier;
mod batch;
mod connection;
mod context;
mod exchange;
mod group;
mod groups;
mod lease;
mod link;
mod metrics;
mod probe;
mod router;
mod settings;
mod slot;
mod standing;
mod stream;
mod transcript;
mod wire;

use crate::context::Context;
use corktack_core::view::View;
use corktack_protocol::control::Observation;
use prometheus_client::registry::Registry;
pub use settings::OwnerSettings;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Links stay open this long after the word that the owner stops, so that what
/// edges sent before they heard it still gets its answer.
const DRAIN_LINGER: Duration = Duration::from_millis(250);

/// Why an owner could not start.
#[derive(Debug, thiserror::Error)]
pub enum OwnerError {
    /// The listener cannot be used.
    #[error("the owner's listener cannot be used")]
    Listener(#[from] std::io::Error),
}

/// The owner side of a proxy.
#[derive(Debug)]
pub struct Owner;

impl Owner {
    /// Starts to serve edges on the listener. Must be called inside an `actix_rt` system.
    ///
    /// # Errors
    /// [`OwnerError::Listener`] when the listener cannot be used.
    pub fn start(
        settings: OwnerSettings,
        listener: TcpListener,
        view: watch::Receiver<Arc<View>>,
        observations: mpsc::UnboundedSender<Observation>,
        registry: &mut Registry,
    ) -> Result<OwnerHandle, OwnerError> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let context = Arc::new(Context::new(settings, view, observations, registry));
        context.spawn(groups::follow_view(Arc::clone(&context)));
        context.spawn(link::accept(Arc::clone(&context), listener));
        Ok(OwnerHandle { context, address })
    }
}

/// A running owner. Dropping it stops it at once; [`OwnerHandle::drain`] cuts nothing.
#[derive(Debug)]
pub struct OwnerHandle {
    context: Arc<Context>,
    address: SocketAddr,
}

impl OwnerHandle {
    /// The address that edges connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new streams, lets open ones finish, then stops.
    pub async fn drain(self) {
        self.context.begin_drain();
        tokio::time::sleep(DRAIN_LINGER).await;
        self.context.streams_finished().await;
        self.context.close_links().await;
    }
}

impl Drop for OwnerHandle {
    fn drop(&mut self) {
        self.context.stop();
    }
}
