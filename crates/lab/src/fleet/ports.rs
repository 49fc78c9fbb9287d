//! Free loopback ports for the processes of a fleet.

use std::net::{SocketAddr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};

/// Lowest port that is tried. The range lies below the one from which the system draws
/// ports for outgoing connections, or such a connection could take a port between its
/// choice here and the start of the process that is to listen on it.
const FIRST_PORT: u16 = 18_000;
/// Ports that are tried.
const PORTS: u16 = 14_000;
/// Distance between the first ports tried by processes with neighbouring ids.
const PROCESS_STRIDE: u32 = 197;

/// Picks a loopback address that is free now and was not picked before by this process.
///
/// # Errors
/// [`std::io::ErrorKind::AddrInUse`] when no port of the range is free.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: OnceLock<AtomicU32> = OnceLock::new();
    let next = NEXT.get_or_init(|| AtomicU32::new(std::process::id().wrapping_mul(PROCESS_STRIDE)));
    for _ in 0..PORTS {
        let step = next.fetch_add(1, Ordering::Relaxed) % u32::from(PORTS);
        let port = FIRST_PORT + step as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}
