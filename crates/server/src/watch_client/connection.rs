//! The connection to a control replica: closed, opening or open.
//!
//! This module owns the socket and staggers the connection attempts to the given replicas. The state machine
//! decides which replicas are tried and with which timeout.

use corktack_protocol::control::{ControlMessage, ProxyMessage};
use corktack_protocol::frame::{FrameCodec, FrameError};
use corktack_protocol::liveness::Liveness;
use futures_util::future::{BoxFuture, FutureExt, pending};
use futures_util::stream::FuturesUnordered;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Delay before the next replica is tried in parallel with one that has not accepted yet. A round trip
/// between the users' farthest regions takes 40 ms: a shorter delay connects to more replicas than needed,
/// a longer one costs more time when the first replica is unreachable.
const CONNECT_STAGGER: Duration = Duration::from_millis(50);

type Frames = Framed<TcpStream, FrameCodec<ProxyMessage, ControlMessage>>;

/// What happened on a connection.
#[derive(Debug)]
pub(super) enum ConnectionEvent {
    /// The connection is open; the address of the replica, where the socket reports it.
    Opened(Option<SocketAddr>),
    /// The connection could not be opened, or was lost.
    Lost(FrameError),
    /// A message arrived.
    Message(Box<ControlMessage>),
}

/// State of the connection to a control replica.
pub(super) enum Connection {
    /// No connection exists or is being opened.
    Closed,
    /// Replicas are being connected to.
    Opening(BoxFuture<'static, std::io::Result<Frames>>),
    /// A replica has accepted the connection.
    Open(Box<Frames>),
}

impl Connection {
    /// Starts to open a connection to the first of the replicas that accepts; each attempt has
    /// `connect_timeout`.
    pub(super) fn open(replicas: Vec<SocketAddr>, connect_timeout: Duration) -> Self {
        Self::Opening(connect_first(replicas, connect_timeout).boxed())
    }

    /// Waits for the next event. Cancel-safe: the future may be dropped and the function called again.
    pub(super) async fn next_event(&mut self) -> ConnectionEvent {
        match self {
            Self::Closed => pending().await,
            Self::Opening(attempt) => match attempt.await {
                Ok(frames) => {
                    let replica = frames.get_ref().peer_addr().ok();
                    *self = Self::Open(Box::new(frames));
                    ConnectionEvent::Opened(replica)
                }
                Err(error) => self.close_lost(error.into()),
            },
            Self::Open(frames) => match frames.next().await {
                Some(Ok(message)) => ConnectionEvent::Message(Box::new(message)),
                Some(Err(error)) => self.close_lost(error),
                None => {
                    self.close_lost(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into())
                }
            },
        }
    }

    /// Sends a message on an open connection; without one the message is dropped. A send that exceeds
    /// `send_timeout` fails with `TimedOut`.
    pub(super) async fn send(
        &mut self,
        message: ProxyMessage,
        send_timeout: Duration,
    ) -> Result<(), FrameError> {
        let Self::Open(frames) = self else {
            return Ok(());
        };
        let timed_out = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
        timeout(send_timeout, frames.send(message)).await.map_err(timed_out)?
    }

    fn close_lost(&mut self, error: FrameError) -> ConnectionEvent {
        *self = Self::Closed;
        ConnectionEvent::Lost(error)
    }
}

/// Connects to the first replica that accepts. Attempts start [`CONNECT_STAGGER`] apart, whether the
/// earlier ones have failed or are still unanswered, so that an unreachable machine costs little time.
async fn connect_first(
    replicas: Vec<SocketAddr>,
    connect_timeout: Duration,
) -> std::io::Result<Frames> {
    let mut attempts: FuturesUnordered<_> = replicas
        .into_iter()
        .zip(0..)
        .map(|(replica, index)| async move {
            sleep(CONNECT_STAGGER * index).await;
            connect(replica, connect_timeout).await
        })
        .collect();
    let mut last_error = std::io::Error::from(std::io::ErrorKind::AddrNotAvailable);
    while let Some(connected) = attempts.next().await {
        match connected {
            Ok(frames) => return Ok(frames),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

async fn connect(replica: SocketAddr, connect_timeout: Duration) -> std::io::Result<Frames> {
    let timed_out = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream =
        timeout(connect_timeout, TcpStream::connect(replica)).await.map_err(timed_out)??;
    Liveness::WITHIN_DEPLOYMENT.apply(&stream)?;
    Ok(Framed::new(stream, FrameCodec::default()))
}
