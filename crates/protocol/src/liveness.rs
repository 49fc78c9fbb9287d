//! Socket options by which the kernel detects a TCP connection whose far end no longer answers.
//!
//! A connection may go silent for good without a reset, while new ones to the same machine work: the
//! machine lost its power, or a firewall dropped the connection's state. The kernel detects this by data
//! that stays unacknowledged, and on an idle connection by keepalive probes. It cannot detect a far end
//! whose kernel acknowledges data that the process never reads: where that matters, the protocol has
//! answers to its messages.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

/// Timeouts after which a connection counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// Longest time that sent data may stay unacknowledged.
    pub unacknowledged_timeout: Duration,
    /// Idle time before the first keepalive probe, in whole seconds.
    pub idle_before_probe: Duration,
    /// Time between two keepalive probes, in whole seconds.
    pub probe_interval: Duration,
    /// Number of unanswered probes after which the connection counts as lost.
    pub max_unanswered_probes: u32,
}

impl Liveness {
    /// For connections between processes of a deployment, and to back ends. A round trip between the
    /// farthest regions takes 40 ms; on a link that loses 3 packets in 10, 1 packet in 100 is still
    /// unacknowledged after 2 s.
    pub const WITHIN_DEPLOYMENT: Self = Self {
        unacknowledged_timeout: Duration::from_secs(2),
        idle_before_probe: Duration::from_secs(1),
        probe_interval: Duration::from_secs(1),
        max_unanswered_probes: 2,
    };
    /// For connections to callers, which may be far away and idle for long. Lower values disconnect callers
    /// whose link fails for some seconds; higher ones keep the resources of callers that are gone.
    pub const TO_CALLERS: Self = Self {
        unacknowledged_timeout: Duration::from_secs(10),
        idle_before_probe: Duration::from_secs(15),
        probe_interval: Duration::from_secs(5),
        max_unanswered_probes: 3,
    };

    /// Sets `TCP_NODELAY`, the user timeout and the keepalive options on a connection.
    ///
    /// # Errors
    /// The error of a socket option that could not be set; the connection works without it.
    pub fn apply(&self, stream: &impl AsFd) -> io::Result<()> {
        let socket = SockRef::from(stream);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(self.unacknowledged_timeout))?;
        let keepalive = TcpKeepalive::new()
            .with_time(self.idle_before_probe)
            .with_interval(self.probe_interval)
            .with_retries(self.max_unanswered_probes);
        socket.set_tcp_keepalive(&keepalive)
    }
}
