//! Reads and writes one connection to an owner.
//!
//! The module owns the socket. It makes sure who answers before any request is written, and ends the
//! connection when the configuration in force says that the owner's incarnation is over.

use super::connection::OwnerLink;
use super::error::LinkError;
use super::event::StreamEvent;
use crate::route::OwnerIncarnation;
use crate::times::{CONNECT_TIMEOUT, UNACKNOWLEDGED_LIMIT};
use corktack_core::view::{ProxyState, View};
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::peer::{EdgeMessage, Failure, NotRunReason, OwnerMessage};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_util::codec::Framed;

type OwnerConnection = Framed<TcpStream, FrameCodec<EdgeMessage, OwnerMessage>>;

/// What a connection task works with.
pub(super) struct LinkTask {
    pub(super) link: Rc<OwnerLink>,
    pub(super) hello: EdgeMessage,
    pub(super) owner: OwnerIncarnation,
    pub(super) address: SocketAddr,
    pub(super) outgoing: mpsc::UnboundedReceiver<EdgeMessage>,
    pub(super) view: watch::Receiver<Arc<View>>,
}

impl LinkTask {
    /// Serves the connection until it fails, then lets its streams know.
    pub(super) async fn run(mut self) {
        let link = self.link.clone();
        let error = self.serve().await;
        link.fail();
        let proxy = self.owner.proxy.as_str();
        log::warn!(owner = proxy, cause = error.to_string().as_str(); "connection to an owner ended");
    }

    async fn serve(&mut self) -> LinkError {
        let mut view = self.view.clone();
        let connection = tokio::select! {
            connection = self.connect() => connection,
            () = owner_down(&mut view, &self.owner) => return LinkError::OwnerDown,
        };
        let (sink, source) = match connection {
            Ok(connection) => connection.split(),
            Err(error) => return error,
        };
        let result = tokio::select! {
            result = write(&self.link, &mut self.outgoing, sink) => result,
            result = read(&self.link, source) => result,
            () = owner_down(&mut view, &self.owner) => Err(LinkError::OwnerDown),
        };
        result.err().unwrap_or(LinkError::Closed)
    }

    /// Connects and makes sure of who answers, before any request is written: what
    /// another process was not sent it cannot have run.
    async fn connect(&self) -> Result<OwnerConnection, LinkError> {
        let greeted = async {
            let mut connection = connect(self.address).await?;
            connection.send(self.hello.clone()).await?;
            self.read_hello(&mut connection).await?;
            Ok(connection)
        };
        timeout(CONNECT_TIMEOUT, greeted).await.unwrap_or(Err(LinkError::ConnectTimeout))
    }

    /// An owner that is stopping may say so before its name.
    async fn read_hello(&self, connection: &mut OwnerConnection) -> Result<(), LinkError> {
        loop {
            match connection.next().await.ok_or(LinkError::Closed)?? {
                OwnerMessage::Stopping => self.link.note_stopping(),
                OwnerMessage::Hello { proxy, incarnation } => {
                    let is_owner = OwnerIncarnation { proxy, incarnation } == self.owner;
                    return if is_owner { Ok(()) } else { Err(LinkError::WrongOwner) };
                }
                _ => return Err(LinkError::NoHello),
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Result<OwnerConnection, LinkError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    Ok(Framed::new(stream, FrameCodec::default()))
}

async fn write(
    link: &OwnerLink,
    outgoing: &mut mpsc::UnboundedReceiver<EdgeMessage>,
    mut sink: SplitSink<OwnerConnection, EdgeMessage>,
) -> Result<(), LinkError> {
    while let Some(message) = outgoing.recv().await {
        let mut next = Some(message);
        while let Some(message) = next {
            if link.begin_write(&message) {
                sink.feed(message).await?;
            }
            next = outgoing.try_recv().ok();
        }
        sink.flush().await?;
    }
    Ok(())
}

async fn read(link: &OwnerLink, mut source: SplitStream<OwnerConnection>) -> Result<(), LinkError> {
    while let Some(message) = source.next().await {
        dispatch(link, message?)?;
    }
    Err(LinkError::Closed)
}

fn dispatch(link: &OwnerLink, message: OwnerMessage) -> Result<(), LinkError> {
    match message {
        OwnerMessage::Hello { .. } => {}
        OwnerMessage::Data { stream, messages } => {
            link.deliver_data(stream, messages)?;
        }
        OwnerMessage::Position { stream, position } => {
            link.deliver(stream, StreamEvent::Position(position));
        }
        OwnerMessage::Ready { stream, status, served_by } => {
            link.deliver(stream, StreamEvent::Ready { status, served_by });
        }
        OwnerMessage::Failed { stream, failure } => {
            if let Failure::NotRun { reason: NotRunReason::Stopping, .. } = failure {
                link.note_stopping();
            }
            link.deliver(stream, StreamEvent::Failed(failure));
        }
        OwnerMessage::Stopping => link.note_stopping(),
    }
    Ok(())
}

/// Returns once the configuration in force says that this incarnation of the owner is over.
async fn owner_down(view: &mut watch::Receiver<Arc<View>>, owner: &OwnerIncarnation) {
    let over = |view: &Arc<View>| match view.proxies.get(&owner.proxy) {
        Some(proxy) => proxy.incarnation != owner.incarnation || proxy.state == ProxyState::Down,
        None => true,
    };
    if view.wait_for(over).await.is_err() {
        // Nobody feeds the view any more: the process is ending.
        std::future::pending::<()>().await;
    }
}
