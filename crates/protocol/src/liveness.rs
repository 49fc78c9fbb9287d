//! How a connection ends whose far end answers no more.
//!
//! A connection may go silent for good without a reset, while new ones to the same machine work: a
//! machine lost its power, a firewall forgot the connection. The kernel notices by what stays
//! unacknowledged, and on an idle connection by probes of its own. It cannot notice a far end whose
//! kernel acknowledges and whose process takes nothing: where that matters, messages are answered.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

/// When a connection counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// How long data may stay unacknowledged.
    pub unacknowledged: Duration,
    /// How long a connection is idle before it is probed, in whole seconds.
    pub idle: Duration,
    /// Time between two probes, in whole seconds.
    pub probe_interval: Duration,
    /// Probes without an answer after which the connection counts as lost.
    pub probes: u32,
}

impl Liveness {
    /// Between processes of a deployment, and to back ends. A round trip between the users' farthest regions
    /// takes 40 ms; on a link that loses three packets in ten, one in a hundred is sent in vain for 2 s.
    pub const WITHIN_DEPLOYMENT: Self = Self {
        unacknowledged: Duration::from_secs(2),
        idle: Duration::from_secs(1),
        probe_interval: Duration::from_secs(1),
        probes: 2,
    };
    /// To callers, which may be far away and idle for long. Chosen, not measured: lower values cut callers
    /// off whose link is lost for some seconds, higher ones keep what callers hold that are gone.
    pub const TO_CALLERS: Self = Self {
        unacknowledged: Duration::from_secs(10),
        idle: Duration::from_secs(15),
        probe_interval: Duration::from_secs(5),
        probes: 3,
    };

    /// Sends small messages at once, and has the kernel watch over the connection.
    ///
    /// # Errors
    /// Of the socket's options; the connection works without them.
    pub fn apply(&self, stream: &impl AsFd) -> io::Result<()> {
        let socket = SockRef::from(stream);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(self.unacknowledged))?;
        let keepalive = TcpKeepalive::new()
            .with_time(self.idle)
            .with_interval(self.probe_interval)
            .with_retries(self.probes);
        socket.set_tcp_keepalive(&keepalive)
    }
}
