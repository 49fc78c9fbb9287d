//! The connection to a control replica, as one of three conditions.

use corktack_protocol::control::{ControlMessage, ProxyMessage};
use corktack_protocol::frame::{FrameCodec, FrameError};
use futures_util::future::{BoxFuture, FutureExt, pending};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

type Frames = Framed<TcpStream, FrameCodec<ProxyMessage, ControlMessage>>;

/// What came of waiting on a connection.
#[derive(Debug)]
pub(super) enum Arrival {
    /// It is open now.
    Opened,
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
    /// Starts to open a connection.
    pub(super) fn open(replica: SocketAddr, limit: Duration) -> Self {
        Self::Opening(connect(replica, limit).boxed())
    }

    /// Waits for the next thing to happen. May be dropped and called again.
    pub(super) async fn next(&mut self) -> Arrival {
        match self {
            Self::Closed => pending().await,
            Self::Opening(opening) => match opening.await {
                Ok(frames) => {
                    *self = Self::Open(Box::new(frames));
                    Arrival::Opened
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

async fn connect(replica: SocketAddr, limit: Duration) -> std::io::Result<Frames> {
    let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = timeout(limit, TcpStream::connect(replica)).await.map_err(late)??;
    stream.set_nodelay(true)?;
    Ok(Framed::new(stream, FrameCodec::default()))
}
