//! Client of the operators' interface: several servers, tried in turn.

use crate::manifest::key_parts;
use awc::http::{Method, StatusCode, header};
use awc::{Client, ClientRequest};
use corktack_control::api::{BINDINGS, CHANGE_ID_HEADER, CLASSES, ErrorBody, ErrorCode, GROUPS};
use corktack_core::resources::{Kind, ResourceKey, ResourceSpec, ResourceVersion};
use futures_util::{Stream, StreamExt};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::pin::Pin;
use std::time::{Duration, Instant};

/// Largest answer accepted, in bytes.
const BODY_LIMIT: usize = 64 * 1024 * 1024;
/// Shortest wait before the servers are tried again.
const RETRY_MINIMUM: Duration = Duration::from_millis(50);
/// Longest wait before the servers are tried again.
const RETRY_MAXIMUM: Duration = Duration::from_secs(1);

/// How the client reaches the control replicas.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// `http://IP:PORT` of control replicas.
    pub servers: Vec<String>,
    /// Bearer token.
    pub token: Option<String>,
    /// Longest wait for one answer.
    pub answer_timeout: Duration,
    /// Longest time over all tries of one request.
    pub request_timeout: Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            token: None,
            answer_timeout: Duration::from_secs(10),
            request_timeout: Duration::from_secs(30),
        }
    }
}

/// Why no answer came from a server.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LostAnswer {
    /// It could not be reached, or the connection was lost.
    #[error("{0}")]
    Connection(String),
    /// The answer's body was cut.
    #[error("the answer was cut: {0}")]
    Body(String),
    /// It says that it can give no answer now.
    #[error("{0}")]
    Unavailable(String),
}

/// Why a request was not answered, or refused.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A server is not of the form `http://IP:PORT`.
    #[error("server {0:?} is not of the form http://IP:PORT")]
    Server(String),
    /// No server answered in time.
    #[error("no server answered in time; the last one tried, {server}: {lost}{}", resend(.change.as_deref()))]
    Unanswered {
        /// The server tried last.
        server: String,
        /// Why it did not answer.
        lost: LostAnswer,
        /// The change whose outcome is not known.
        change: Option<String>,
    },
    /// The request was refused.
    #[error("{}", refusal_text(.0))]
    Refused(Box<ErrorBody>),
    /// The answer is not one of the interface's.
    #[error("server {server} answered {status} with a body that is not understood")]
    Answer {
        /// The server.
        server: String,
        /// Status of the answer.
        status: u16,
        /// Why.
        source: serde_json::Error,
    },
}

fn resend(change: Option<&str>) -> String {
    change.map_or_else(String::new, |id| {
        format!("; whether change {id} took effect is not known: look before you repeat it")
    })
}

fn refusal_text(body: &ErrorBody) -> String {
    match (&body.field, &body.reason) {
        (Some(field), Some(reason)) => format!("{field}: {reason}"),
        _ => body.message.clone(),
    }
}

impl ClientError {
    /// The code of a refusal.
    #[must_use]
    pub fn code(&self) -> Option<ErrorCode> {
        match self {
            Self::Refused(body) => Some(body.code),
            _ => None,
        }
    }

    /// Whether what is stored stands against the request.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        let conflicts = [ErrorCode::Conflict, ErrorCode::InUse, ErrorCode::CellChange];
        self.code().is_some_and(|code| conflicts.contains(&code))
    }
}

/// Draws the id of one change. Every resend of the change carries the same one.
#[must_use]
pub fn draw_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// The kind's segment in the interface's paths.
#[must_use]
pub const fn kind_segment(kind: Kind) -> &'static str {
    match kind {
        Kind::DatabaseGroup => GROUPS,
        Kind::PriorityClass => CLASSES,
        Kind::Binding => BINDINGS,
    }
}

/// One request; the same for every server that is tried.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Option<Value>,
    /// Id of the change, the same on every try.
    pub change: Option<String>,
}

impl Request {
    /// A write of one resource under a new change id.
    ///
    /// # Errors
    /// The declared part has no JSON form.
    pub fn put(
        key: &ResourceKey,
        spec: &ResourceSpec,
        expected: Option<ResourceVersion>,
    ) -> Result<Self, serde_json::Error> {
        let spec = match spec {
            ResourceSpec::DatabaseGroup(spec) => serde_json::to_value(spec),
            ResourceSpec::PriorityClass(spec) => serde_json::to_value(spec),
            ResourceSpec::Binding(spec) => serde_json::to_value(spec),
        }?;
        let body = match expected {
            Some(version) => json!({"metadata": {"resourceVersion": version}, "spec": spec}),
            None => json!({"spec": spec}),
        };
        let path = resource_path(key);
        let change = Some(draw_change_id());
        Ok(Self { method: Method::PUT, path, body: Some(body), change })
    }

    /// A delete of one resource under a new change id.
    #[must_use]
    pub fn delete(key: &ResourceKey, expected: Option<ResourceVersion>) -> Self {
        let mut path = resource_path(key);
        if let Some(version) = expected {
            path.push_str(&format!("?resourceVersion={}", version.0));
        }
        Self { method: Method::DELETE, path, body: None, change: Some(draw_change_id()) }
    }
    /// A read.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), body: None, change: None }
    }
}

/// Path of one resource.
#[must_use]
pub fn resource_path(key: &ResourceKey) -> String {
    let (kind, name) = key_parts(key);
    format!("/v1/{}/{name}", kind_segment(kind))
}

/// Client of the operators' interface.
pub struct ApiClient {
    settings: ClientSettings,
    http: Client,
}

impl ApiClient {
    /// A client; nothing is connected yet.
    ///
    /// # Errors
    /// [`ClientError::Server`] for an address that is not `http://IP:PORT`.
    pub fn new(settings: ClientSettings) -> Result<Self, ClientError> {
        for server in &settings.servers {
            check_server(server)?;
        }
        let http = Client::builder().timeout(settings.answer_timeout).finish();
        Ok(Self { settings, http })
    }

    /// Sends a request to one server after the other until one answers, and reads its body.
    /// Only answers that say "not now" make it try the next one.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn request<T: DeserializeOwned>(&self, request: Request) -> Result<T, ClientError> {
        let (server, status, bytes) = self.answer(&request).await?;
        let text: &[u8] = if bytes.is_empty() { b"null" } else { &bytes };
        let status = status.as_u16();
        serde_json::from_slice(text).map_err(|source| ClientError::Answer {
            server,
            status,
            source,
        })
    }

    async fn answer(
        &self,
        request: &Request,
    ) -> Result<(String, StatusCode, Vec<u8>), ClientError> {
        let deadline = Instant::now() + self.settings.request_timeout;
        let mut wait = RETRY_MINIMUM;
        loop {
            let mut last = None;
            for server in &self.settings.servers {
                match self.try_server(server, request).await? {
                    Ok((status, bytes)) => return Ok((server.clone(), status, bytes)),
                    Err(lost) => last = Some((server.clone(), lost)),
                }
            }
            if let Some((server, lost)) = last.filter(|_| Instant::now() + wait >= deadline) {
                let change = request.change.clone();
                return Err(ClientError::Unanswered { server, lost, change });
            }
            actix_rt::time::sleep(wait.mul_f64(rand::random_range(0.5..=1.0))).await;
            wait = (wait * 2).min(RETRY_MAXIMUM);
        }
    }

    /// The inner error means that another server may be tried.
    async fn try_server(
        &self,
        server: &str,
        request: &Request,
    ) -> Result<Result<(StatusCode, Vec<u8>), LostAnswer>, ClientError> {
        let prepared = self.prepare(server, request);
        let sent = match &request.body {
            Some(body) => prepared.send_json(body).await,
            None => prepared.send().await,
        };
        let mut response = match sent {
            Ok(response) => response,
            Err(error) => return Ok(Err(LostAnswer::Connection(error.to_string()))),
        };
        let status = response.status();
        let bytes = match response.body().limit(BODY_LIMIT).await {
            Ok(bytes) => bytes.to_vec(),
            Err(error) => return Ok(Err(LostAnswer::Body(error.to_string()))),
        };
        if status.is_success() {
            return Ok(Ok((status, bytes)));
        }
        refusal(server, status, &bytes).map(Err)
    }

    fn prepare(&self, server: &str, request: &Request) -> ClientRequest {
        let url = format!("{}{}", server.trim_end_matches('/'), request.path);
        let mut prepared = self.http.request(request.method.clone(), url);
        if let Some(token) = &self.settings.token {
            prepared = prepared.bearer_auth(token);
        }
        if let Some(change) = &request.change {
            prepared = prepared.insert_header((CHANGE_ID_HEADER, change.as_str()));
        }
        prepared.insert_header((header::ACCEPT, "application/json"))
    }

    /// Opens a stream of lines on the server at a place in the list, counted on past its end.
    ///
    /// # Errors
    /// The inner error means that another server may be tried.
    pub async fn lines(
        &self,
        place: usize,
        request: &Request,
    ) -> Result<Result<Lines, LostAnswer>, ClientError> {
        let server = &self.settings.servers[place % self.settings.servers.len()];
        let mut response = match self.prepare(server, request).send().await {
            Ok(response) => response,
            Err(error) => return Ok(Err(LostAnswer::Connection(error.to_string()))),
        };
        if response.status().is_success() {
            let chunks = response.map(|chunk| match chunk {
                Ok(bytes) => Ok(bytes.to_vec()),
                Err(error) => Err(LostAnswer::Body(error.to_string())),
            });
            return Ok(Ok(Lines { chunks: Box::pin(chunks), buffer: Vec::new() }));
        }
        let status = response.status();
        let bytes = match response.body().limit(BODY_LIMIT).await {
            Ok(bytes) => bytes,
            Err(error) => return Ok(Err(LostAnswer::Body(error.to_string()))),
        };
        refusal(server, status, &bytes).map(Err)
    }
}

/// Pieces of a body as they arrive.
type Chunks = Pin<Box<dyn Stream<Item = Result<Vec<u8>, LostAnswer>>>>;

/// A stream cut into lines.
pub struct Lines {
    chunks: Chunks,
    buffer: Vec<u8>,
}

impl Lines {
    /// The next whole line; none at the end of the stream. A cut last line is dropped.
    ///
    /// # Errors
    /// [`LostAnswer`] when the connection is lost.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, LostAnswer> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let rest = self.buffer.split_off(end + 1);
                return Ok(Some(std::mem::replace(&mut self.buffer, rest)));
            }
            match self.chunks.next().await {
                Some(chunk) => self.buffer.extend(chunk?),
                None => return Ok(None),
            }
        }
    }
}

/// Sorts an answer that is no success: another server may be tried, or it is final.
fn refusal(server: &str, status: StatusCode, bytes: &[u8]) -> Result<LostAnswer, ClientError> {
    let unavailable = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::BAD_GATEWAY,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    let body = serde_json::from_slice::<ErrorBody>(bytes);
    if unavailable.contains(&status) {
        let message = body.map_or_else(|_| status.to_string(), |body| body.message);
        return Ok(LostAnswer::Unavailable(message));
    }
    match body {
        Ok(body) => Err(ClientError::Refused(Box::new(body))),
        Err(source) => {
            Err(ClientError::Answer { server: server.to_owned(), status: status.as_u16(), source })
        }
    }
}

fn check_server(server: &str) -> Result<(), ClientError> {
    let address = server.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    match address.and_then(|address| address.parse::<std::net::SocketAddr>().ok()) {
        Some(_) => Ok(()),
        None => Err(ClientError::Server(server.to_owned())),
    }
}
