//! Accepts proxies and spreads their connections over arbiters.
//!
//! Owns the listener; each connection owns its socket.

use super::connection::serve_proxy;
use super::server::ProxyServer;
use actix_rt::ArbiterHandle;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept (out of file descriptors, most likely). Chosen, not measured; a lower value
/// spins while none is free, a higher one lets proxies wait for longer.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

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
