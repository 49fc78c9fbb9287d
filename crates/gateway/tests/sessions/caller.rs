//! A caller that talks to a gateway over a real socket.

use crate::wire::take_line;
use bytes::BytesMut;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The answer to one query: its lines without `ready`, and the transaction state from `ready`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    pub lines: Vec<String>,
    pub state: String,
}

impl Answered {
    /// Returns the code of the failure; empty for a success.
    pub fn code(&self) -> &str {
        let error = self.lines.iter().find_map(|line| line.strip_prefix("error|"));
        error.map_or("", |error| error.split('|').next().unwrap_or_default())
    }

    pub fn is_success(&self) -> bool {
        self.code().is_empty()
    }
}

/// A caller with an open session.
pub struct Caller {
    stream: TcpStream,
    buffer: BytesMut,
    queries: u64,
    name: &'static str,
}

impl Caller {
    /// Connects to a gateway and starts a session; `name` is also the caller's key.
    pub async fn start(gateway: SocketAddr, database: &str, name: &'static str) -> Self {
        let stream = TcpStream::connect(gateway).await.expect("the gateway listens");
        let mut caller = Self { stream, buffer: BytesMut::new(), queries: 0, name };
        caller.send(&format!("start|{database}|{name}\n")).await;
        assert!(caller.line().await.expect("an answer").starts_with("ready|idle"));
        caller
    }

    /// Starts a session that the gateway refuses; returns the lines that the gateway sends before it closes
    /// the connection.
    pub async fn refused(gateway: SocketAddr, database: &str, name: &'static str) -> Vec<String> {
        let stream = TcpStream::connect(gateway).await.expect("the gateway listens");
        let caller = Self { stream, buffer: BytesMut::new(), queries: 0, name };
        caller.answers_to(&format!("start|{database}|{name}\n")).await
    }

    /// Reports whether the gateway closes the connection without sending a line first.
    pub async fn closes_silently(mut self) -> bool {
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

    /// Sends bytes and returns all lines received until the gateway closes the connection.
    pub async fn answers_to(mut self, bytes: &str) -> Vec<String> {
        self.send(bytes).await;
        let mut lines = Vec::new();
        while let Some(line) = self.line().await {
            lines.push(line);
        }
        lines
    }

    /// Returns the id of the last query.
    pub fn last_id(&self) -> String {
        format!("{}-{}", self.name, self.queries)
    }

    /// Sends a statement and waits for its whole answer.
    pub async fn query(&mut self, text: &str) -> Answered {
        self.query_unless_closed(text).await.expect("a whole answer")
    }

    /// Sends a statement and waits for its whole answer; none if the gateway closes the connection, or has
    /// closed it, without any part of an answer.
    pub async fn query_unless_closed(&mut self, text: &str) -> Option<Answered> {
        let query = self.next_query(text);
        self.stream.write_all(query.as_bytes()).await.ok()?;
        self.answered().await
    }

    /// Sends two statements at once and waits for the whole answer to each.
    pub async fn query_two(&mut self, first: &str, second: &str) -> [Answered; 2] {
        let queries = self.next_query(first) + &self.next_query(second);
        self.send(&queries).await;
        let first = self.answered().await.expect("a whole answer");
        [first, self.answered().await.expect("a whole second answer")]
    }

    fn next_query(&mut self, text: &str) -> String {
        self.queries += 1;
        format!("query|{}|{text}\n", self.last_id())
    }

    /// Waits for a whole answer; none if the connection ends without any part of it.
    async fn answered(&mut self) -> Option<Answered> {
        let mut lines = Vec::new();
        loop {
            let Some(line) = self.line().await else {
                assert!(lines.is_empty(), "a part of an answer: {lines:?}");
                return None;
            };
            if let Some(ready) = line.strip_prefix("ready|") {
                let state = ready.split('|').next().unwrap_or_default().to_owned();
                return Some(Answered { lines, state });
            }
            lines.push(line);
        }
    }

    /// Repeats a query that is refused as busy until it succeeds, as the gateway detects some changes only by
    /// failed attempts.
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
