//! Encodes messages of a back end, and callers that work on raw bytes.

use bytes::{BufMut, BytesMut};
use corktack_protocol::peer::Batch;
use pgwire::messages::data::{DataRow, FieldDescription, ParameterDescription, RowDescription};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{CommandComplete, ErrorResponse};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage as Answer, PgWireFrontendMessage as Message,
    ProtocolVersion,
};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub fn encode(messages: &[Answer]) -> Vec<u8> {
    let mut output = BytesMut::new();
    for message in messages {
        message.encode(&mut output).unwrap();
    }
    output.to_vec()
}

pub fn decode(batch: &Batch) -> Vec<Message> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    let mut buffer = BytesMut::from(batch.messages.as_slice());
    let mut messages = Vec::new();
    while let Some(message) = Message::decode(&mut buffer, &context).unwrap() {
        messages.push(message);
    }
    messages
}

/// Returns the text of the simple query that makes up the whole batch.
pub fn query_text(batch: &Batch) -> String {
    match decode(batch).as_slice() {
        [Message::Query(query)] => query.query.clone(),
        other => panic!("expected one query, got {other:?}"),
    }
}

pub fn columns() -> Answer {
    let field = FieldDescription::new("value".to_owned(), 0, 0, 25, -1, -1, 0);
    Answer::RowDescription(RowDescription::new(vec![field]))
}

pub fn row(value: &str) -> Answer {
    let mut data = BytesMut::new();
    data.put_i32(i32::try_from(value.len()).unwrap());
    data.put_slice(value.as_bytes());
    Answer::DataRow(DataRow::new(data, 1))
}

pub fn complete(tag: &str) -> Answer {
    Answer::CommandComplete(CommandComplete::new(tag.to_owned()))
}

pub fn error(code: &str, message: &str) -> Answer {
    let field = |message_type, text: &str| (message_type, text.to_owned());
    let fields = vec![field(b'S', "ERROR"), field(b'C', code), field(b'M', message)];
    Answer::ErrorResponse(ErrorResponse::new(fields))
}

/// Returns a successful back end's answer to the batch.
pub fn answers(batch: &Batch, value: &str) -> Vec<u8> {
    let mut answers = Vec::new();
    for message in decode(batch) {
        match message {
            Message::Query(_) => answers.extend([columns(), row(value), complete("SELECT 1")]),
            Message::Parse(_) => answers.push(Answer::ParseComplete(ParseComplete::new())),
            Message::Bind(_) => answers.push(Answer::BindComplete(BindComplete::new())),
            Message::Describe(describe) => {
                if describe.target_type == b'S' {
                    let no_parameters = ParameterDescription::new(Vec::new());
                    answers.push(Answer::ParameterDescription(no_parameters));
                }
                answers.push(columns());
            }
            Message::Execute(_) => answers.extend([row(value), complete("SELECT 1")]),
            Message::Close(_) => answers.push(Answer::CloseComplete(CloseComplete::new())),
            _ => {}
        }
    }
    encode(&answers)
}

/// A caller that sends and reads raw bytes.
pub struct RawCaller {
    pub stream: TcpStream,
}

impl RawCaller {
    pub async fn connect(address: SocketAddr) -> Self {
        Self { stream: TcpStream::connect(address).await.unwrap() }
    }

    /// Connects and starts a session.
    pub async fn start(address: SocketAddr) -> Self {
        let mut caller = Self::connect(address).await;
        caller.send(&startup(&[("user", "clerk"), ("database", "cdr")])).await;
        caller.read_types_until_ready().await;
        caller
    }

    /// Connects and starts a session. Also returns the message that cancels the session's request.
    pub async fn start_with_cancel(address: SocketAddr) -> (Self, Vec<u8>) {
        let mut caller = Self::connect(address).await;
        caller.send(&startup(&[("user", "clerk"), ("database", "cdr")])).await;
        let mut key = Vec::new();
        loop {
            match caller.read().await {
                ('K', body) => key = body,
                ('Z', _) => break,
                _ => {}
            }
        }
        (caller, first_message(80_877_102, &key))
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.unwrap();
    }

    /// Reads the next message and returns its type and body.
    pub async fn read(&mut self) -> (char, Vec<u8>) {
        let message_type = self.stream.read_u8().await.unwrap();
        let length = self.stream.read_u32().await.unwrap() as usize;
        let mut body = vec![0; length - 4];
        self.stream.read_exact(&mut body).await.unwrap();
        (char::from(message_type), body)
    }

    /// Fills the buffer from the connection.
    pub async fn read_bytes(&mut self, bytes: &mut [u8]) {
        self.stream.read_exact(bytes).await.unwrap();
    }

    /// Returns the SQLSTATE of the next `ErrorResponse`; skips other messages.
    pub async fn read_error_code(&mut self) -> String {
        loop {
            let (message_type, body) = self.read().await;
            if message_type == 'E' {
                let text = String::from_utf8(body).unwrap();
                let code = text.split('\0').find_map(|field| field.strip_prefix('C'));
                return code.unwrap().to_owned();
            }
        }
    }

    /// Returns the transaction status of the next `ReadyForQuery`; skips other messages.
    pub async fn read_ready_status(&mut self) -> char {
        loop {
            if let ('Z', body) = self.read().await {
                return char::from(body[0]);
            }
        }
    }

    /// Reads `count` messages and returns their types.
    pub async fn read_message_types(&mut self, count: usize) -> String {
        let mut message_types = String::new();
        for _ in 0..count {
            message_types.push(self.read().await.0);
        }
        message_types
    }

    /// Reads messages up to `ReadyForQuery` and returns their types.
    pub async fn read_types_until_ready(&mut self) -> String {
        let mut message_types = String::new();
        while !message_types.ends_with('Z') {
            message_types.push(self.read().await.0);
        }
        message_types
    }

    /// Reads up to the end of the stream.
    pub async fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        self.stream.read_to_end(&mut bytes).await.unwrap();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Encodes a first message with a request code and the rest of its body.
pub fn first_message(code: u32, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 8).unwrap();
    [&length.to_be_bytes()[..], &code.to_be_bytes(), body].concat()
}

pub fn startup(parameters: &[(&str, &str)]) -> Vec<u8> {
    let mut body = BytesMut::new();
    body.put_u32(196_608);
    for (name, value) in parameters {
        body.put_slice(format!("{name}\0{value}\0").as_bytes());
    }
    body.put_u8(0);
    let mut message = BytesMut::new();
    message.put_u32(u32::try_from(body.len()).unwrap() + 4);
    message.put_slice(&body);
    message.to_vec()
}

pub fn message(message_type: char, body: &[u8]) -> Vec<u8> {
    let mut message = vec![message_type as u8];
    message.extend(u32::try_from(body.len() + 4).unwrap().to_be_bytes());
    message.extend(body);
    message
}

pub fn query(text: &str) -> Vec<u8> {
    message('Q', format!("{text}\0").as_bytes())
}
