//! The connection to a control replica, as one of three conditions.
//!
//! Owns the socket. Decides how the replicas that it is given are tried beside each other; which ones and for
//! how long is the state machine's.

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

/// Time after which the next replica is tried beside one that has not accepted: a round trip between
/// the users' farthest regions takes 40 ms. Chosen, not measured by itself; a lower value connects to more
/// replicas than are needed, a higher one costs more time where the first is dark.
const CONNECT_STAGGER: Duration = Duration::from_millis(50);

type Frames = Framed<TcpStream, FrameCodec<ProxyMessage, ControlMessage>>;

/// What came of waiting on a connection.
#[derive(Debug)]
pub(super) enum Arrival {
    /// It is open now, to this replica.
    Opened(Option<SocketAddr>),
    /// It could not be opened, or is lost.
    Lost(FrameError),
    /// A message came in.
    Message(Box<ControlMessage>),
}

/// The connection to a control replica.
pub(super) enum Connection {
    /// There is none.
    Closed,
    /// It is being opened.
    Opening(BoxFuture<'static, std::io::Result<Frames>>),
    /// It is open.
    Open(Box<Frames>),
}

impl Connection {
    /// Starts to open a connection to one of the replicas.
    pub(super) fn open(replicas: Vec<SocketAddr>, limit: Duration) -> Self {
        Self::Opening(connect_first(replicas, limit).boxed())
    }

    /// Waits for the next thing to happen. May be dropped and called again.
    pub(super) async fn next(&mut self) -> Arrival {
        match self {
            Self::Closed => pending().await,
            Self::Opening(opening) => match opening.await {
                Ok(frames) => {
                    let replica = frames.get_ref().peer_addr().ok();
                    *self = Self::Open(Box::new(frames));
                    Arrival::Opened(replica)
                }
                Err(error) => self.lost(error.into()),
            },
            Self::Open(frames) => match frames.next().await {
                Some(Ok(message)) => Arrival::Message(Box::new(message)),
                Some(Err(error)) => self.lost(error),
                None => self.lost(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into()),
            },
        }
    }

    /// Sends a message; one that cannot be sent within the limit is a lost connection.
    pub(super) async fn send(
        &mut self,
        message: ProxyMessage,
        limit: Duration,
    ) -> Result<(), FrameError> {
        let Self::Open(frames) = self else {
            return Ok(());
        };
        let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
        timeout(limit, frames.send(message)).await.map_err(late)?
    }

    fn lost(&mut self, error: FrameError) -> Arrival {
        *self = Self::Closed;
        Arrival::Lost(error)
    }
}

/// Connects to the first replica that accepts. Each is tried a little after the one before, whether
/// that has failed or is still silent: a machine that is dark costs little time.
async fn connect_first(replicas: Vec<SocketAddr>, limit: Duration) -> std::io::Result<Frames> {
    let mut tries: FuturesUnordered<_> = replicas
        .into_iter()
        .zip(0..)
        .map(|(replica, place)| async move {
            sleep(CONNECT_STAGGER * place).await;
            connect(replica, limit).await
        })
        .collect();
    let mut failure = std::io::Error::from(std::io::ErrorKind::AddrNotAvailable);
    while let Some(connected) = tries.next().await {
        match connected {
            Ok(frames) => return Ok(frames),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

async fn connect(replica: SocketAddr, limit: Duration) -> std::io::Result<Frames> {
    let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = timeout(limit, TcpStream::connect(replica)).await.map_err(late)??;
    Liveness::WITHIN_DEPLOYMENT.apply(&stream)?;
    Ok(Framed::new(stream, FrameCodec::default()))
}
