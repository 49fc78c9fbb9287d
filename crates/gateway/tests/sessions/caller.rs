//! A caller over a real socket.

use crate::wire::take_line;
use bytes::BytesMut;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The lines of one answer, without `ready`, and the state after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    pub lines: Vec<String>,
    pub state: String,
}

impl Answered {
    /// The code of the failure; empty for a success.
    pub fn code(&self) -> &str {
        let error = self.lines.iter().find_map(|line| line.strip_prefix("error|"));
        error.map_or("", |error| error.split('|').next().unwrap_or_default())
    }

    pub fn is_success(&self) -> bool {
        self.code().is_empty()
    }
}

pub struct Caller {
    stream: TcpStream,
    buffer: BytesMut,
    queries: u64,
    name: &'static str,
}

impl Caller {
    pub async fn start(gateway: SocketAddr, database: &str, name: &'static str) -> Self {
        let stream = TcpStream::connect(gateway).await.expect("the gateway listens");
        let mut caller = Self { stream, buffer: BytesMut::new(), queries: 0, name };
        caller.send(&format!("start|{database}|{name}\n")).await;
        assert!(caller.line().await.expect("an answer").starts_with("ready|idle"));
        caller
    }

    /// As [`Caller::start`], where the gateway refuses: gives what it says before it closes.
    pub async fn refused(gateway: SocketAddr, database: &str, name: &'static str) -> Vec<String> {
        let stream = TcpStream::connect(gateway).await.expect("the gateway listens");
        let caller = Self { stream, buffer: BytesMut::new(), queries: 0, name };
        caller.answers_to(&format!("start|{database}|{name}\n")).await
    }

    /// Whether the gateway closes the connection without a word.
    pub async fn sees_a_close(mut self) -> bool {
        self.line().await.is_none()
    }

    async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("the gateway reads");
    }

    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(line) = take_line(&mut self.buffer) {
                return Some(line);
            }
            if self.stream.read_buf(&mut self.buffer).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Everything that comes after these bytes, until the gateway closes the connection.
    pub async fn answers_to(mut self, bytes: &str) -> Vec<String> {
        self.send(bytes).await;
        let mut lines = Vec::new();
        while let Some(line) = self.line().await {
            lines.push(line);
        }
        lines
    }

    /// Id of the last query.
    pub fn last_id(&self) -> String {
        format!("{}-{}", self.name, self.queries)
    }

    pub async fn query(&mut self, text: &str) -> Answered {
        self.queries += 1;
        let id = self.last_id();
        self.send(&format!("query|{id}|{text}\n")).await;
        let mut lines = Vec::new();
        loop {
            let line = self.line().await.expect("a whole answer");
            if let Some(ready) = line.strip_prefix("ready|") {
                let state = ready.split('|').next().unwrap_or_default().to_owned();
                return Answered { lines, state };
            }
            lines.push(line);
        }
    }

    /// Queries until one succeeds; for what a gateway finds out only by trying.
    pub async fn until_served(&mut self, text: &str) -> Answered {
        loop {
            let answered = self.query(text).await;
            if answered.is_success() {
                return answered;
            }
            assert_eq!(answered.code(), "busy", "{answered:?}");
        }
    }
}
