//! Memory and file descriptors of the machine that a process runs on, and the share of them for clients.

use corktack_core::clients::ClientLimits;
use rustix::process::Resource;
use std::time::Duration;

/// Share of the descriptors for the connections of clients; the others are for files and for connections within
/// the deployment. A higher share leaves too few for connections to members and other processes.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.8;
/// Connections of clients that only ask for the state of the process: probes and metrics.
const MAX_PROBE_CONNECTIONS: usize = 256;
/// Share of the memory for the bytes held for clients. The rest is for the process itself, its idle
/// connections, and what the allocator keeps of freed memory.
const CLIENT_MEMORY_SHARE: f64 = 0.3;
/// Shares of the memory for answers that arrive from members, and for statements of other gateways. Both exist
/// in several copies, so that each takes some times its share for a moment.
const ANSWER_MEMORY_SHARE: f64 = 0.1;
const PEER_MEMORY_SHARE: f64 = 0.05;
/// Longest time in which a client may send a message or a request body: several times that of the largest on a
/// link of 2 Mbit/s. A shorter time disconnects clients behind slow links.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Rate at which the large messages of all clients together are read, in bytes per second. Reading and passing on
/// 16 MB takes some percent of a core. A higher rate lets a crowd take the time of ordinary callers; a lower one
/// delays large messages that come together.
const MAX_BYTES_PER_SECOND: usize = 16 * 1024 * 1024;

/// Resources of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessResources {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may open.
    pub file_descriptors: usize,
}

/// Memory that is assumed if the system does not tell, in bytes.
const FALLBACK_MEMORY_BYTES: usize = 160 * 1024 * 1024;
/// Descriptors that are assumed if the system sets no limit.
const FALLBACK_DESCRIPTORS: usize = 65_536;
const MEMORY_FILE: &str = "/proc/meminfo";
const BYTES_PER_KIB: usize = 1024;

impl ProcessResources {
    /// Returns the memory of the machine and the descriptors that the operating system allows.
    #[must_use]
    pub fn of_system() -> Self {
        let file_descriptors = rustix::process::getrlimit(Resource::Nofile).current;
        Self {
            memory_bytes: system_memory_bytes(),
            file_descriptors: file_descriptors
                .and_then(|limit| usize::try_from(limit).ok())
                .unwrap_or(FALLBACK_DESCRIPTORS),
        }
    }

    /// Returns the limits for the clients that a process is there for: callers, or members and operators.
    #[must_use]
    pub fn client_limits(&self) -> ClientLimits {
        ClientLimits {
            max_connections: (self.file_descriptors as f64 * CLIENT_DESCRIPTOR_SHARE) as usize,
            max_bytes: (self.memory_bytes as f64 * CLIENT_MEMORY_SHARE) as usize,
            message_timeout: MESSAGE_TIMEOUT,
            bytes_per_second: MAX_BYTES_PER_SECOND,
        }
    }

    /// Returns the memory for answers that arrive from members.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        (self.memory_bytes as f64 * ANSWER_MEMORY_SHARE) as usize
    }

    /// Returns the memory for statements of other gateways.
    #[must_use]
    pub fn peer_bytes(&self) -> usize {
        (self.memory_bytes as f64 * PEER_MEMORY_SHARE) as usize
    }

    /// Returns the limits for clients that only ask for the state of the process. They send no bodies.
    #[must_use]
    pub const fn probe_limits(&self) -> ClientLimits {
        ClientLimits {
            max_connections: MAX_PROBE_CONNECTIONS,
            max_bytes: 0,
            message_timeout: MESSAGE_TIMEOUT,
            bytes_per_second: MAX_BYTES_PER_SECOND,
        }
    }
}

fn system_memory_bytes() -> usize {
    let total = std::fs::read_to_string(MEMORY_FILE).ok().and_then(|text| total_bytes(&text));
    total.unwrap_or_else(|| {
        log::warn!(
            file = MEMORY_FILE, assumed = FALLBACK_MEMORY_BYTES;
            "memory of the machine is not known"
        );
        FALLBACK_MEMORY_BYTES
    })
}

/// Returns the total in a text like that of `/proc/meminfo`.
fn total_bytes(text: &str) -> Option<usize> {
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: usize = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}
