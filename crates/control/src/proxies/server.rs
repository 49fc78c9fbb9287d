//! Accepts proxies and spreads their connections over arbiters.

use super::connection::serve_proxy;
use super::proofs::Proofs;
use super::table::{ConnectionId, ProxyTable};
use crate::consensus::{ConsensusHandle, ReplicaStatus};
use crate::feed::Feed;
use crate::metrics::Metrics;
use crate::stop::StopSignal;
use actix_rt::ArbiterHandle;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause after a failed accept (out of file descriptors, most likely).
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

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
    fn next_connection(&self) -> ConnectionId {
        ConnectionId(self.connections.fetch_add(1, Ordering::Relaxed))
    }
}

/// Accepts proxies until the stop; each connection stays on one arbiter.
pub(crate) async fn accept_proxies(
    listener: TcpListener,
    server: ProxyServer,
    arbiters: Vec<ArbiterHandle>,
) {
    for arbiter in arbiters.iter().cycle() {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = server.stop.stopped() => return,
        };
        match accepted {
            Ok((stream, _)) => hand_over(stream, &server, arbiter),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// The socket moves to the arbiter's own reactor as a plain file descriptor.
fn hand_over(stream: TcpStream, server: &ProxyServer, arbiter: &ArbiterHandle) {
    let Ok(stream) = stream.into_std() else { return };
    let connection = server.next_connection();
    let server = server.clone();
    arbiter.spawn(async move {
        if let Ok(stream) = TcpStream::from_std(stream) {
            serve_proxy(stream, connection, server).await;
        }
    });
}
