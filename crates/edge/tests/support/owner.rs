//! A scripted owner: it records the edge's messages and sends what the test tells it to send.

use super::wire;
use corktack_core::identity::{Incarnation, ProxyName};
use corktack_core::position::Position;
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::peer::{
    Batch, EdgeMessage, Failure, OpenRequest, OwnerMessage, ServedBy, StreamId, TransactionStatus,
};
use futures_util::{SinkExt, StreamExt};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Timeout for a message of the edge, so that a test fails instead of hanging.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(60);

enum Command {
    Send(OwnerMessage),
    SendBytes(Vec<u8>),
    Close,
}

type Connections = Rc<RefCell<Vec<mpsc::UnboundedSender<Command>>>>;

/// An owner whose answers the test scripts.
pub struct FakeOwner {
    pub address: SocketAddr,
    received: mpsc::UnboundedReceiver<EdgeMessage>,
    ended: mpsc::UnboundedReceiver<()>,
    connections: Connections,
}

impl FakeOwner {
    pub async fn start(name: &str) -> Self {
        Self::start_with(name, None).await
    }

    /// Starts an owner that sends `first` before its handshake.
    pub async fn start_with(name: &str, first: Option<OwnerMessage>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (events, received) = mpsc::unbounded_channel();
        let (ends, ended) = mpsc::unbounded_channel();
        let connections = Connections::default();
        let hello = OwnerMessage::Hello {
            proxy: ProxyName::new(name).unwrap(),
            incarnation: Incarnation(7),
        };
        let accepted = connections.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (commands, queue) = mpsc::unbounded_channel();
                if let Some(message) = first.clone() {
                    commands.send(Command::Send(message)).unwrap_or_default();
                }
                commands.send(Command::Send(hello.clone())).unwrap_or_default();
                accepted.borrow_mut().push(commands);
                let (events, ends) = (events.clone(), ends.clone());
                actix_rt::spawn(async move {
                    serve(stream, queue, events).await;
                    ends.send(()).unwrap_or_default();
                });
            }
        });
        Self { address, received, ended, connections }
    }

    /// Returns the next message other than `Hello` and `Window`.
    pub async fn next_message(&mut self) -> EdgeMessage {
        loop {
            match timeout(MESSAGE_TIMEOUT, self.received.recv()).await.expect("a message").unwrap()
            {
                EdgeMessage::Hello { .. } | EdgeMessage::Window { .. } => {}
                message => return message,
            }
        }
    }

    /// Returns the next message other than `Hello`.
    pub async fn next_message_or_window(&mut self) -> EdgeMessage {
        loop {
            match self.received.recv().await.unwrap() {
                EdgeMessage::Hello { .. } => {}
                message => return message,
            }
        }
    }

    /// Reports whether no message other than `Hello` and `Window` has arrived.
    pub fn received_nothing_more(&mut self) -> bool {
        while let Ok(message) = self.received.try_recv() {
            if !matches!(message, EdgeMessage::Hello { .. } | EdgeMessage::Window { .. }) {
                return false;
            }
        }
        true
    }

    pub async fn expect_open(&mut self) -> (StreamId, OpenRequest) {
        match self.next_message().await {
            EdgeMessage::Open { stream, request } => (stream, *request),
            other => panic!("expected Open, got {other:?}"),
        }
    }

    pub async fn expect_batch(&mut self) -> (StreamId, Batch) {
        match self.next_message().await {
            EdgeMessage::Batch { stream, batch } => (stream, batch),
            other => panic!("expected Batch, got {other:?}"),
        }
    }

    /// Waits until a connection of the edge has ended.
    pub async fn wait_until_connection_ended(&mut self) {
        self.ended.recv().await.unwrap();
    }

    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    fn command(&self, command: Command) {
        let connections = self.connections.borrow();
        connections.last().unwrap().send(command).unwrap_or_default();
    }

    pub fn send(&self, message: OwnerMessage) {
        self.command(Command::Send(message));
    }

    pub fn send_bytes(&self, bytes: &[u8]) {
        self.command(Command::SendBytes(bytes.to_vec()));
    }

    pub fn close_connection(&self) {
        self.command(Command::Close);
    }

    pub fn send_data(&self, stream: StreamId, messages: Vec<u8>) {
        self.send(OwnerMessage::Data { stream, messages });
    }

    pub fn send_position(&self, stream: StreamId, position: Position) {
        self.send(OwnerMessage::Position { stream, position });
    }

    pub fn send_ready(&self, stream: StreamId, status: TransactionStatus) {
        self.send(OwnerMessage::Ready { stream, status, served_by: ServedBy::Primary });
    }

    pub fn send_failure(&self, stream: StreamId, failure: Failure) {
        self.send(OwnerMessage::Failed { stream, failure });
    }

    /// Answers every message of the batch; rows contain `value`.
    pub fn answer_batch(
        &self,
        stream: StreamId,
        batch: &Batch,
        value: &str,
        status: TransactionStatus,
    ) {
        self.send_data(stream, wire::answers(batch, value));
        self.send_ready(stream, status);
    }

    /// Waits for the next new transaction and answers its first batch.
    pub async fn serve_one_request(&mut self, value: &str) -> OpenRequest {
        let (stream, request) = self.expect_open().await;
        self.answer_batch(stream, &request.batch, value, TransactionStatus::Idle);
        request
    }
}

async fn serve(
    stream: TcpStream,
    mut commands: mpsc::UnboundedReceiver<Command>,
    events: mpsc::UnboundedSender<EdgeMessage>,
) {
    let mut framed = Framed::new(stream, FrameCodec::<OwnerMessage, EdgeMessage>::default());
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(Command::Send(message)) => {
                    if framed.send(message).await.is_err() {
                        return;
                    }
                }
                Some(Command::SendBytes(bytes)) => {
                    if framed.get_mut().write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Some(Command::Close) | None => return,
            },
            message = framed.next() => match message {
                Some(Ok(message)) => drop(events.send(message)),
                _ => return,
            },
        }
    }
}
