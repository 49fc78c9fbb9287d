//! The task that connects to an owner and reads and writes the connection.
//!
//! The task checks in the handshake that the expected incarnation answers before it writes any request,
//! and ends the connection when the configuration in force says that this incarnation has ended.

use super::connection::OwnerLink;
use super::error::LinkError;
use super::event::StreamEvent;
use crate::route::OwnerIncarnation;
use crate::times::{CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT};
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

/// Inputs of a connection task.
pub(super) struct LinkTask {
    pub(super) link: Rc<OwnerLink>,
    pub(super) hello: EdgeMessage,
    pub(super) owner: OwnerIncarnation,
    pub(super) address: SocketAddr,
    pub(super) outgoing: mpsc::UnboundedReceiver<EdgeMessage>,
    pub(super) view: watch::Receiver<Arc<View>>,
}

impl LinkTask {
    /// Serves the connection until it fails, then notifies its streams.
    pub(super) async fn run(mut self) {
        let link = self.link.clone();
        let error = self.serve().await;
        link.fail();
        let proxy = self.owner.proxy.as_str();
        log::warn!(
            owner = proxy, cause = error.to_string().as_str();
            "connection to an owner ended, its open streams are lost"
        );
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
            result = write_messages(&self.link, &mut self.outgoing, sink) => result,
            result = read_messages(&self.link, source) => result,
            () = owner_down(&mut view, &self.owner) => Err(LinkError::OwnerDown),
        };
        result.err().unwrap_or(LinkError::Closed)
    }

    /// Connects and checks the owner's identity before any request is written, so that no other process
    /// can have run a request meant for this owner.
    async fn connect(&self) -> Result<OwnerConnection, LinkError> {
        let handshake = async {
            let mut connection = connect(self.address).await?;
            connection.send(self.hello.clone()).await?;
            self.read_hello(&mut connection).await?;
            Ok(connection)
        };
        timeout(CONNECT_TIMEOUT, handshake).await.unwrap_or(Err(LinkError::ConnectTimeout))
    }

    /// Reads up to the owner's handshake. An owner that is stopping may announce its stop before the
    /// handshake.
    async fn read_hello(&self, connection: &mut OwnerConnection) -> Result<(), LinkError> {
        loop {
            match connection.next().await.ok_or(LinkError::Closed)?? {
                OwnerMessage::Stopping => self.link.set_stopping(),
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
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(Framed::new(stream, FrameCodec::default()))
}

async fn write_messages(
    link: &OwnerLink,
    outgoing: &mut mpsc::UnboundedReceiver<EdgeMessage>,
    mut sink: SplitSink<OwnerConnection, EdgeMessage>,
) -> Result<(), LinkError> {
    while let Some(message) = outgoing.recv().await {
        let mut pending = Some(message);
        while let Some(message) = pending {
            if link.begin_write(&message) {
                sink.feed(message).await?;
            }
            pending = outgoing.try_recv().ok();
        }
        sink.flush().await?;
    }
    Ok(())
}

async fn read_messages(
    link: &OwnerLink,
    mut source: SplitStream<OwnerConnection>,
) -> Result<(), LinkError> {
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
                link.set_stopping();
            }
            link.deliver(stream, StreamEvent::Failed(failure));
        }
        OwnerMessage::Stopping => link.set_stopping(),
    }
    Ok(())
}

/// Returns once the configuration in force says that this incarnation of the owner has ended.
async fn owner_down(view: &mut watch::Receiver<Arc<View>>, owner: &OwnerIncarnation) {
    let has_ended = |view: &Arc<View>| match view.proxies.get(&owner.proxy) {
        Some(proxy) => proxy.incarnation != owner.incarnation || proxy.state == ProxyState::Down,
        None => true,
    };
    if view.wait_for(has_ended).await.is_err() {
        // The sender of the configuration is dropped only when the process ends.
        std::future::pending::<()>().await;
    }
}
