//! Client of the operators' interface: several servers, tried in turn.
//!
//! Owns the order of the servers and the pauses between rounds over them. Relies on the change id that every
//! resend carries for a change to take effect once.

mod error;
mod lines;
mod request;

pub use error::{ClientError, LostAnswer};
pub use lines::Lines;
pub use request::{Request, resource_path};

use awc::http::{StatusCode, header};
use awc::{Client, ClientRequest};
use corktack_control::api::CHANGE_ID_HEADER;
use error::refusal;
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use std::time::{Duration, Instant};

/// Largest answer accepted, in bytes. Chosen, not measured; it bounds the memory that a wrong server can take,
/// and a lower value refuses lists of large fleets.
const BODY_LIMIT: usize = 64 * 1024 * 1024;
/// Shortest and longest pause before the servers are tried again; it doubles with each round, and is drawn
/// between half and all of that. Chosen, not measured; lower values ask more often during an election, higher
/// ones let operators wait after it.
const RETRY_MINIMUM: Duration = Duration::from_millis(50);
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
            return Ok(Ok(Lines::new(Box::pin(chunks))));
        }
        let status = response.status();
        let bytes = match response.body().limit(BODY_LIMIT).await {
            Ok(bytes) => bytes,
            Err(error) => return Ok(Err(LostAnswer::Body(error.to_string()))),
        };
        refusal(server, status, &bytes).map(Err)
    }
}

fn check_server(server: &str) -> Result<(), ClientError> {
    let address = server.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    match address.and_then(|address| address.parse::<std::net::SocketAddr>().ok()) {
        Some(_) => Ok(()),
        None => Err(ClientError::Server(server.to_owned())),
    }
}
