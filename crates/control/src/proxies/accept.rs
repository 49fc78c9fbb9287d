//! Accepts connections of proxies and distributes them over the arbiters.

use super::connection::serve_proxy;
use super::server::ProxyServer;
use actix_rt::ArbiterHandle;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed accept, most likely because no file descriptor is free. A shorter delay spins until
/// one is free; a longer one makes proxies wait.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts proxies until the replica stops; the arbiters take turns, and each connection stays on one
/// arbiter.
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
            Ok((stream, _)) => spawn_connection(stream, &server, arbiter),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves a connection on the arbiter. The socket is passed as a `std` stream, because it must be registered
/// with the reactor of that arbiter.
fn spawn_connection(stream: TcpStream, server: &ProxyServer, arbiter: &ArbiterHandle) {
    let Ok(stream) = stream.into_std() else { return };
    let connection = server.next_connection_id();
    let server = server.clone();
    arbiter.spawn(async move {
        if let Ok(stream) = TcpStream::from_std(stream) {
            serve_proxy(stream, connection, server).await;
        }
    });
}
