//! The edge's side of a link, and helpers that build requests and batches.

use super::GROUP;
use bytes::BytesMut;
use corktack_core::identity::{ClassName, GroupName, Incarnation, ProxyName};
use corktack_core::position::Position;
use corktack_protocol::frame::{FrameCodec, FrameError};
use corktack_protocol::peer::{
    Access, Batch, EdgeMessage, Failure, OpenRequest, OwnerMessage, PreparedStatement, ServedBy,
    StreamId, TransactionStatus,
};
use futures_util::{SinkExt, StreamExt};
use pgwire::messages::extendedquery::{Bind, Execute, Flush, Parse, Sync};
use pgwire::messages::simplequery::Query;
use pgwire::messages::{DecodeContext, Message, PgWireBackendMessage};
use std::net::SocketAddr;
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::codec::Framed;

pub struct TestEdge {
    frames: Framed<TcpStream, FrameCodec<EdgeMessage, OwnerMessage>>,
    last_stream: u64,
    /// Messages of other streams that arrived while one stream was awaited.
    waiting: Vec<OwnerMessage>,
}

/// The complete answer to one batch.
#[derive(Debug, Default)]
pub struct Answer {
    pub rows: Vec<String>,
    pub tags: Vec<String>,
    /// SQLSTATE and text of errors.
    pub errors: Vec<(String, String)>,
    /// The tag of each message in order, with `P` for a position.
    pub order: String,
    pub positions: Vec<Position>,
    pub ready: Option<(TransactionStatus, ServedBy)>,
    pub failure: Option<Failure>,
}

pub fn query(text: &str) -> Batch {
    let mut messages = BytesMut::new();
    Query::new(text.to_owned()).encode(&mut messages).unwrap();
    Batch { prepared: Vec::new(), messages: messages.to_vec() }
}

/// Builds a batch of Bind, Execute and Sync of a prepared statement.
pub fn execute(name: &str, text: &str) -> Batch {
    let mut messages = BytesMut::new();
    let portal = || Some(String::new());
    Bind::new(portal(), Some(name.to_owned()), vec![], vec![], vec![])
        .encode(&mut messages)
        .unwrap();
    Execute::new(portal(), 0).encode(&mut messages).unwrap();
    Sync::new().encode(&mut messages).unwrap();
    let statement = PreparedStatement {
        name: name.to_owned(),
        query: text.to_owned(),
        parameter_types: Vec::new(),
    };
    Batch { prepared: vec![statement], messages: messages.to_vec() }
}

/// Replaces the Sync at the end of a batch by a Flush.
pub fn flushed(mut batch: Batch) -> Batch {
    let mut messages = BytesMut::new();
    Sync::new().encode(&mut messages).unwrap();
    let before = batch.messages.len() - messages.len();
    batch.messages.truncate(before);
    messages.clear();
    Flush::new().encode(&mut messages).unwrap();
    batch.messages.extend_from_slice(&messages);
    batch
}

/// Builds a batch that contains only a Sync.
pub fn sync() -> Batch {
    let mut messages = BytesMut::new();
    Sync::new().encode(&mut messages).unwrap();
    Batch { prepared: Vec::new(), messages: messages.to_vec() }
}

/// Builds a batch of Parse and Sync of a statement.
pub fn parse(name: &str, text: &str) -> Batch {
    let mut messages = BytesMut::new();
    let parse = Parse::new(Some(name.to_owned()), text.to_owned(), Vec::new());
    parse.encode(&mut messages).unwrap();
    Sync::new().encode(&mut messages).unwrap();
    Batch { prepared: Vec::new(), messages: messages.to_vec() }
}

/// Builds a batch of Bind and Sync of a prepared statement.
pub fn bind(name: &str, text: &str) -> Batch {
    let mut messages = BytesMut::new();
    let portal = Some(String::new());
    Bind::new(portal, Some(name.to_owned()), vec![], vec![], vec![]).encode(&mut messages).unwrap();
    Sync::new().encode(&mut messages).unwrap();
    Batch { prepared: execute(name, text).prepared, messages: messages.to_vec() }
}

/// Builds a batch of Parse, Bind, Execute and Sync of a statement.
pub fn parse_and_execute(name: &str, text: &str) -> Batch {
    let mut messages = BytesMut::new();
    let parse = Parse::new(Some(name.to_owned()), text.to_owned(), Vec::new());
    parse.encode(&mut messages).unwrap();
    messages.extend_from_slice(&execute(name, text).messages);
    Batch { prepared: Vec::new(), messages: messages.to_vec() }
}

pub fn request(access: Access, batch: Batch) -> OpenRequest {
    OpenRequest {
        group: GroupName::new(GROUP).unwrap(),
        class: ClassName::new("gold").unwrap(),
        access,
        minimum: None,
        timeout_ms: 5_000,
        idempotency_key: None,
        batch,
    }
}

fn stream_of(message: &OwnerMessage) -> Option<StreamId> {
    match message {
        OwnerMessage::Data { stream, .. }
        | OwnerMessage::Position { stream, .. }
        | OwnerMessage::Ready { stream, .. }
        | OwnerMessage::Failed { stream, .. } => Some(*stream),
        OwnerMessage::Hello { .. } | OwnerMessage::Stopping => None,
    }
}

impl TestEdge {
    pub async fn connect(address: SocketAddr) -> Self {
        Self::from_socket(TcpStream::connect(address).await.unwrap()).await
    }

    /// Connects with a receive buffer of 4096 bytes, so that the owner's answers back up soon.
    pub async fn connect_with_small_buffer(address: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        Self::from_socket(socket.connect(address).await.unwrap()).await
    }

    async fn from_socket(socket: TcpStream) -> Self {
        let frames = Framed::new(socket, FrameCodec::default());
        let mut edge = Self { frames, last_stream: 0, waiting: Vec::new() };
        edge.hello().await;
        assert!(matches!(edge.receive().await, Some(OwnerMessage::Hello { .. })));
        edge
    }

    pub async fn hello(&mut self) {
        let proxy = ProxyName::new("proxy-2").unwrap();
        self.send(EdgeMessage::Hello { proxy, incarnation: Incarnation(3) }).await;
    }

    pub fn into_frames(self) -> Framed<TcpStream, FrameCodec<EdgeMessage, OwnerMessage>> {
        self.frames
    }

    pub async fn send(&mut self, message: EdgeMessage) {
        self.try_send(message).await.unwrap();
    }

    /// Sends on a link that the owner may have closed.
    pub async fn try_send(&mut self, message: EdgeMessage) -> Result<(), FrameError> {
        self.frames.send(message).await
    }

    pub async fn send_raw(&mut self, bytes: &[u8]) {
        use tokio::io::AsyncWriteExt;
        self.frames.get_mut().write_all(bytes).await.unwrap();
    }

    /// Receives the next message; returns `None` when the owner closed the link.
    pub async fn receive(&mut self) -> Option<OwnerMessage> {
        self.frames.next().await.and_then(Result::ok)
    }

    pub async fn open(&mut self, request: OpenRequest) -> StreamId {
        self.last_stream += 1;
        let stream = StreamId(self.last_stream);
        self.send(EdgeMessage::Open { stream, request: Box::new(request) }).await;
        stream
    }

    pub async fn write(&mut self, text: &str) -> StreamId {
        self.open(request(Access::Write, query(text))).await
    }

    pub async fn read(&mut self, text: &str, minimum: Option<Position>) -> StreamId {
        let mut request = request(Access::Read, query(text));
        request.minimum = minimum;
        self.open(request).await
    }

    /// Opens a stream to an unknown group, which the owner refuses at once.
    pub async fn open_unknown_group(&mut self) -> StreamId {
        let mut request = request(Access::Write, query("write never"));
        request.group = GroupName::new("unknown").unwrap();
        self.open(request).await
    }

    pub async fn batch(&mut self, stream: StreamId, text: &str) {
        self.send_batch(stream, query(text)).await;
    }

    pub async fn send_batch(&mut self, stream: StreamId, batch: Batch) {
        self.send(EdgeMessage::Batch { stream, batch }).await;
    }

    /// Receives the complete answer to a batch of a stream, and grants a window for each part.
    pub async fn answer(&mut self, stream: StreamId) -> Answer {
        let mut answer = Answer::default();
        while answer.ready.is_none() && answer.failure.is_none() {
            match self.next_message_of(stream).await {
                OwnerMessage::Data { messages, .. } => {
                    let bytes = messages.len() as u32;
                    answer.add_messages(messages);
                    self.send(EdgeMessage::Window { stream, bytes }).await;
                }
                OwnerMessage::Position { position, .. } => {
                    answer.positions.push(position);
                    answer.order.push('P');
                }
                OwnerMessage::Ready { status, served_by, .. } => {
                    answer.ready = Some((status, served_by));
                }
                OwnerMessage::Failed { failure, .. } => answer.failure = Some(failure),
                OwnerMessage::Hello { .. } | OwnerMessage::Stopping => {}
            }
        }
        answer
    }

    /// Reports whether messages of a stream arrived while other streams were awaited.
    pub fn has_waiting(&self, stream: StreamId) -> bool {
        self.waiting.iter().any(|message| stream_of(message) == Some(stream))
    }

    pub async fn next_message_of(&mut self, stream: StreamId) -> OwnerMessage {
        let index = self.waiting.iter().position(|message| stream_of(message) == Some(stream));
        if let Some(index) = index {
            return self.waiting.remove(index);
        }
        loop {
            let message = self.receive().await.expect("the link is open");
            if stream_of(&message) == Some(stream) {
                return message;
            }
            self.waiting.push(message);
        }
    }
}

impl Answer {
    fn add_messages(&mut self, messages: Vec<u8>) {
        let mut buffer = BytesMut::from(messages.as_slice());
        let context = DecodeContext::default();
        while !buffer.is_empty() {
            self.order.push(char::from(buffer[0]));
            match PgWireBackendMessage::decode(&mut buffer, &context).unwrap().unwrap() {
                PgWireBackendMessage::DataRow(row) => {
                    let text = String::from_utf8_lossy(&row.data[4..]).into_owned();
                    self.rows.push(text);
                }
                PgWireBackendMessage::CommandComplete(complete) => self.tags.push(complete.tag),
                PgWireBackendMessage::ErrorResponse(error) => {
                    let field = |code| {
                        let found = error.fields.iter().find(|(field, _)| *field == code);
                        found.map(|(_, value)| value.clone()).unwrap_or_default()
                    };
                    self.errors.push((field(b'C'), field(b'M')));
                }
                _ => {}
            }
        }
    }
}
