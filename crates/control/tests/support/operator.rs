//! An operator's HTTP client.

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use corktack_control::api::{ErrorBody, StatusBody, WatchLine, WriteBody};
use futures_util::{Stream, StreamExt};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A complete HTTP response.
pub struct Response {
    pub status: StatusCode,
    pub retry_after: bool,
    pub change_id: Option<String>,
    pub body: Bytes,
}

impl Response {
    /// Parses the JSON body.
    pub fn read<T: DeserializeOwned>(&self) -> T {
        let text = String::from_utf8_lossy(&self.body);
        serde_json::from_slice(&self.body).unwrap_or_else(|error| panic!("{error}: {text}"))
    }

    /// Checks that a change was accepted and returns the body.
    pub fn accepted(&self) -> WriteBody {
        assert_eq!(self.status, StatusCode::OK, "{:?}", self.body);
        self.read()
    }

    /// Checks that the request failed with `status` and returns the error body.
    pub fn refused(&self, status: StatusCode) -> ErrorBody {
        assert_eq!(self.status, status, "{:?}", self.body);
        self.read()
    }
}

/// A client of one replica's resource interface.
#[derive(Clone)]
pub struct Operator {
    address: SocketAddr,
    pub token: Option<String>,
}

impl Operator {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, token: None }
    }

    pub async fn send(
        &self,
        method: Method,
        path: &str,
        change_id: Option<&str>,
        body: Option<&Value>,
    ) -> Response {
        self.try_send(method, path, change_id, body).await.expect("the replica answers")
    }

    /// Sends a request; returns `None` if the replica does not respond.
    pub async fn try_send(
        &self,
        method: Method,
        path: &str,
        change_id: Option<&str>,
        body: Option<&Value>,
    ) -> Option<Response> {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        let mut request = client.request(method, format!("http://{}{path}", self.address));
        if let Some(change_id) = change_id {
            request = request.insert_header(("Change-Id", change_id));
        }
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let mut response = sent.ok()?;
        let header = |name| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
        let (retry_after, change_id) = (header("Retry-After").is_some(), header("Change-Id"));
        let status = response.status();
        let body = response.body().await.ok()?;
        Some(Response { status, retry_after, change_id, body })
    }

    pub async fn get(&self, path: &str) -> Response {
        self.send(Method::GET, path, None, None).await
    }

    pub async fn put(&self, path: &str, body: Value) -> Response {
        self.send(Method::PUT, path, None, Some(&body)).await
    }

    pub async fn put_class(&self, name: &str, priority: u32, version: Option<u64>) -> Response {
        self.put(&format!("/v1/classes/{name}"), class_body(priority, version)).await
    }

    pub async fn status(&self) -> StatusBody {
        self.get("/v1/status").await.read()
    }

    /// Starts a watch from a revision; returns the response if the watch is refused.
    pub async fn watch(&self, from: u64) -> Result<WatchLines, Response> {
        let client = awc::Client::builder().disable_timeout().finish();
        let url = format!("http://{}/v1/watch?from={from}", self.address);
        let mut response = client.get(url).send().await.expect("the replica answers");
        if response.status() == StatusCode::OK {
            let body = response.map(|chunk| chunk.expect("the stream goes on"));
            return Ok(WatchLines { body: Box::pin(body), buffer: Vec::new() });
        }
        let status = response.status();
        let body = response.body().await.expect("the answer has a body");
        Err(Response { status, retry_after: false, change_id: None, body })
    }
}

/// Returns the PUT body of a priority class.
pub fn class_body(priority: u32, version: Option<u64>) -> Value {
    json!({ "spec": { "priority": priority }, "metadata": { "resourceVersion": version } })
}

/// The lines of a watch, parsed from the chunks of the body.
pub struct WatchLines {
    body: Pin<Box<dyn Stream<Item = Bytes>>>,
    buffer: Vec<u8>,
}

impl WatchLines {
    /// Returns the next line that has events, or `None` at the end of the stream.
    pub async fn next(&mut self) -> Option<WatchLine> {
        loop {
            while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let line: WatchLine = serde_json::from_slice(&line).expect("a line is JSON");
                if !line.events.is_empty() {
                    return Some(line);
                }
            }
            self.buffer.extend(self.body.next().await?);
        }
    }
}
