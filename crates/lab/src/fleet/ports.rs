//! Free loopback ports for the processes of a fleet.

use std::net::{SocketAddr, TcpListener};

/// Picks `count` loopback addresses that are free now.
///
/// All are held at once while they are picked, so no two are equal.
///
/// # Errors
/// The system's error when a port cannot be had.
pub fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind(("127.0.0.1", 0))).collect::<Result<_, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
