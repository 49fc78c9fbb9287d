//! Selection of free loopback ports for the processes of a fleet.

use std::net::{SocketAddr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};

/// Lowest port that is tried. The range lies below the system's ephemeral ports; otherwise an
/// outgoing connection could take a port between its selection here and the start of the process
/// that listens on it.
const MIN_PORT: u16 = 18_000;
/// Number of ports in the range.
const PORT_COUNT: u16 = 14_000;
/// Distance between the first ports tried by processes with consecutive ids.
const PROCESS_STRIDE: u32 = 197;

/// Returns a loopback address that is free now. A process gets an address again only after it has
/// tried the whole range.
///
/// # Errors
/// [`std::io::ErrorKind::AddrInUse`] when no port of the range is free.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT_OFFSET: OnceLock<AtomicU32> = OnceLock::new();
    let next_offset =
        NEXT_OFFSET.get_or_init(|| AtomicU32::new(std::process::id().wrapping_mul(PROCESS_STRIDE)));
    for _ in 0..PORT_COUNT {
        let offset = next_offset.fetch_add(1, Ordering::Relaxed) % u32::from(PORT_COUNT);
        let port = MIN_PORT + offset as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}
