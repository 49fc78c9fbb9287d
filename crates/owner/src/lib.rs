//! The owner side of a proxy: server connections, wait queue and routing of a group.
//!
//! The crate owns the server connections of the groups that this proxy owns, their wait queues, and probes of
//! their members. It relies on `corktack_core` for the decisions that several proxies share (admission,
//! routing, retry budget), on [`corktack_protocol::peer`] for the messages to edges, and on the configuration
//! in force. Ownership of a group is an optimisation: the crate stays correct while two proxies own the same
//! group.
//!
//! How a statement is served:
//!
//! 1. A `link` receives an edge's message and passes it to the message's stream through `stream_input`. A
//!    stream is one transaction; `stream` serves it from its request to its final answer.
//! 2. `router` finds a server connection for the request: it asks `barrier` for a confirmed position if a
//!    read has none, waits for a slot in the `group`'s queue, then takes a `lease` of an `idle` connection or
//!    of a new one.
//! 3. `exchange` sends the batches on the lease's `connection` and receives the answers: `batch` classifies
//!    the statement texts, `wire` splits messages, `transcript` stores and replays the answers of keyed
//!    writes.
//! 4. `outbound` sends the answer to the edge, through a queue that `backlog` bounds.
//! 5. If no complete answer arrives, [`decisions`] says whether the stream goes back to step 2 or how it
//!    ends.
//!
//! Beside the streams, `groups` applies the configuration in force and runs for each group a `probe` of every
//! member, the barriers, and the task that keeps connections `warm`. `context` holds the state that all of
//! these share.

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

use crate::context::OwnerContext;
use actix_rt::Arbiter;
use corktack_core::view::View;
use corktack_protocol::control::Observation;
use corktack_tasks::essential;
use prometheus_client::registry::Registry;
pub use settings::OwnerSettings;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long links stay open after the owner announced that it stops, so that requests that edges sent before
/// they received the announcement still get an answer. A shorter time cuts off requests in transit on a slow
/// link, which their edge then has to repeat; a longer one delays every stop by as much.
const DRAIN_LINGER: Duration = Duration::from_millis(250);

/// Reasons why an owner could not start.
#[derive(Debug, thiserror::Error)]
pub enum OwnerError {
    /// The listener cannot be used.
    #[error("the owner's listener cannot be used")]
    Listener(#[from] std::io::Error),
}

/// Entry point of the owner side of a proxy; [`Owner::start`] returns the running instance.
#[derive(Debug)]
pub struct Owner;

impl Owner {
    /// Starts to serve edges on the listener, for the groups that `view` assigns to this proxy. Must be
    /// called inside an `actix_rt` system.
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
        let arbiters: Vec<Arbiter> =
            (0..settings.arbiters.max(1)).map(|_| Arbiter::new()).collect();
        let handles = arbiters.iter().map(Arbiter::handle).collect();
        let context = Arc::new(OwnerContext::new(settings, handles, view, observations, registry));
        context.spawn(essential("apply-views", groups::apply_views(Arc::clone(&context))));
        context.spawn(essential("accept-edges", link::accept(Arc::clone(&context), listener)));
        Ok(OwnerHandle { context, arbiters, address })
    }
}

/// A running owner. Dropping the handle stops the owner at once, cuts off open streams, and does not wait for
/// its threads; [`OwnerHandle::drain`] lets the streams finish.
#[derive(Debug)]
pub struct OwnerHandle {
    context: Arc<OwnerContext>,
    arbiters: Vec<Arbiter>,
    address: SocketAddr,
}

impl OwnerHandle {
    /// Returns the address that edges connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new streams, waits until the open ones have finished, then stops the owner. When it returns, all
    /// threads and tasks of the owner have ended and its port is free.
    pub async fn drain(mut self) {
        self.context.begin_drain();
        tokio::time::sleep(DRAIN_LINGER).await;
        self.context.wait_for_streams().await;
        self.context.close_links().await;
        let arbiters = std::mem::take(&mut self.arbiters);
        let joined = actix_rt::task::spawn_blocking(move || {
            stop(&arbiters);
            arbiters.into_iter().map(Arbiter::join).filter(Result::is_err).count()
        });
        if !matches!(joined.await, Ok(0)) {
            log::error!("a thread of the owner panicked before its end");
        }
    }
}

impl Drop for OwnerHandle {
    fn drop(&mut self) {
        stop(&self.arbiters);
    }
}

/// Ends the arbiters, which drop every task on them.
fn stop(arbiters: &[Arbiter]) {
    for arbiter in arbiters {
        arbiter.stop();
    }
}
