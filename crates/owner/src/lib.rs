//! The owner side of a proxy: server connections, wait queue and routing of a group.
//!
//! The crate owns the server connections of the groups that this proxy owns, their wait queues, and probes of
//! their members. It relies on `corktack_core` for the decisions that several proxies share (admission, routing,
//! retry budget), on [`corktack_protocol::peer`] for the messages to edges, and on the configuration in force.
//! Ownership of a group is an optimisation: nothing here relies on there being one owner only.
//!
//! The way of a statement:
//!
//! 1. An edge's message comes on a `link`, which passes it to its stream by `stream_input`. A stream is one
//!    transaction; `stream` serves it from its request to its final answer.
//! 2. `router` finds the request a server connection: a confirmed position by `barrier` where a read has none, a
//!    slot of its `group`'s queue, then a `lease` of an `idle` connection or a new one.
//! 3. `exchange` sends the batches on the lease's `connection` and takes the answers in: `batch` says what a text may
//!    do, `wire` cuts messages, `transcript` stores and replays the answers of keyed writes.
//! 4. `outbound` sends the answer to the edge, in a queue that `backlog` bounds.
//! 5. Where no whole answer comes, [`decisions`] says whether the stream goes back to step 2 or how it ends.
//!
//! Beside the streams, `groups` follows the configuration in force and runs for each group a `probe` of every
//! member, the barriers, and the task that keeps connections `warm`. `context` is what all of them share.

mod backlog;
mod barrier;
mod barrier_queue;
mod batch;
mod connection;
mod context;
pub mod decisions;
mod exchange;
mod group;
mod groups;
mod idle;
mod lease;
mod link;
mod lock;
mod metrics;
mod outbound;
mod probe;
mod router;
mod settings;
mod stream;
mod stream_input;
mod transcript;
mod warm;
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

/// Links stay open this long after the word that the owner stops, so that what edges sent before they heard
/// it still gets its answer. Chosen, not measured: a shorter time cuts off what is on the way over a slow
/// link, which its edge then has to repeat, a longer one adds its length to every stop.
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
