//! Client of the operators' interface of the control replicas.
//!
//! Tries several servers in turn and backs off between rounds over them. Every retry of a change carries
//! the same change id, so that the change takes effect only once.

mod error;
mod lines;
mod request;

pub use error::{ClientError, LostAnswer};
pub use lines::Lines;
pub use request::{Request, resource_path};

use awc::http::{StatusCode, header};
use awc::{Client, ClientRequest};
use corktack_control::api::CHANGE_ID_HEADER;
use error::classify_failure;
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use std::time::{Duration, Instant};

/// Largest response body accepted, in bytes. Bounds the memory that a faulty server can use; a lower value
/// refuses lists of large fleets.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Shortest and longest delay before the servers are tried again. The delay doubles with each round; the
/// actual sleep is drawn at random between half of the delay and the whole. Lower values send more requests
/// during an election, higher values make operators wait after it.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Servers, credentials and time-outs of an [`ApiClient`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Control replicas in the form `http://IP:PORT`, in the order in which they are tried.
    pub servers: Vec<String>,
    /// Bearer token that is sent with each request.
    pub token: Option<String>,
    /// Timeout of one attempt on one server.
    pub answer_timeout: Duration,
    /// Longest time over all attempts of one request.
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

/// Client of the operators' interface, which retries a request on the servers in turn.
pub struct ApiClient {
    settings: ClientSettings,
    http: Client,
}

impl ApiClient {
    /// Creates a client without connecting it.
    ///
    /// # Errors
    /// Returns [`ClientError::InvalidServer`] if a server is not of the form `http://IP:PORT`.
    pub fn new(settings: ClientSettings) -> Result<Self, ClientError> {
        for server in &settings.servers {
            check_server(server)?;
        }
        let http = Client::builder().timeout(settings.answer_timeout).finish();
        Ok(Self { settings, http })
    }

    /// Sends a request to one server after the other until one answers, and parses the body. The
    /// client tries the next server only if a server does not answer or is unavailable.
    ///
    /// # Errors
    /// Returns [`ClientError`] if the request is refused, if no server answers before the request
    /// timeout, or if the body cannot be parsed.
    pub async fn request<T: DeserializeOwned>(&self, request: Request) -> Result<T, ClientError> {
        let (server, status, bytes) = self.send_with_retries(&request).await?;
        let text: &[u8] = if bytes.is_empty() { b"null" } else { &bytes };
        let status = status.as_u16();
        serde_json::from_slice(text).map_err(|source| ClientError::InvalidBody {
            server,
            status,
            source,
        })
    }

    async fn send_with_retries(
        &self,
        request: &Request,
    ) -> Result<(String, StatusCode, Vec<u8>), ClientError> {
        let deadline = Instant::now() + self.settings.request_timeout;
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            let mut last_failure = None;
            for server in &self.settings.servers {
                match self.try_server(server, request).await? {
                    Ok((status, bytes)) => return Ok((server.clone(), status, bytes)),
                    Err(lost) => last_failure = Some((server.clone(), lost)),
                }
            }
            if let Some((server, lost)) =
                last_failure.filter(|_| Instant::now() + retry_delay >= deadline)
            {
                let change = request.change.clone();
                return Err(ClientError::Unanswered { server, lost, change });
            }
            actix_rt::time::sleep(retry_delay.mul_f64(rand::random_range(0.5..=1.0))).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Sends a request to one server. The inner error means that another server may be tried.
    async fn try_server(
        &self,
        server: &str,
        request: &Request,
    ) -> Result<Result<(StatusCode, Vec<u8>), LostAnswer>, ClientError> {
        let http_request = self.prepare(server, request);
        let send_result = match &request.body {
            Some(body) => http_request.send_json(body).await,
            None => http_request.send().await,
        };
        let mut response = match send_result {
            Ok(response) => response,
            Err(error) => return Ok(Err(LostAnswer::Connection(error.to_string()))),
        };
        let status = response.status();
        let bytes = match response.body().limit(MAX_BODY_BYTES).await {
            Ok(bytes) => bytes.to_vec(),
            Err(error) => return Ok(Err(LostAnswer::Body(error.to_string()))),
        };
        if status.is_success() {
            return Ok(Ok((status, bytes)));
        }
        classify_failure(server, status, &bytes).map(Err)
    }

    fn prepare(&self, server: &str, request: &Request) -> ClientRequest {
        let url = format!("{}{}", server.trim_end_matches('/'), request.path);
        let mut http_request = self.http.request(request.method.clone(), url);
        if let Some(token) = &self.settings.token {
            http_request = http_request.bearer_auth(token);
        }
        if let Some(change) = &request.change {
            http_request = http_request.insert_header((CHANGE_ID_HEADER, change.as_str()));
        }
        http_request.insert_header((header::ACCEPT, "application/json"))
    }

    /// Opens a stream of lines on the server at an index of the list; an index past the end wraps
    /// around.
    ///
    /// # Errors
    /// Returns [`ClientError`] if the request is refused; the inner error means that another server
    /// may be tried.
    pub async fn lines(
        &self,
        server_index: usize,
        request: &Request,
    ) -> Result<Result<Lines, LostAnswer>, ClientError> {
        let server = &self.settings.servers[server_index % self.settings.servers.len()];
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
        let bytes = match response.body().limit(MAX_BODY_BYTES).await {
            Ok(bytes) => bytes,
            Err(error) => return Ok(Err(LostAnswer::Body(error.to_string()))),
        };
        classify_failure(server, status, &bytes).map(Err)
    }
}

fn check_server(server: &str) -> Result<(), ClientError> {
    let address = server.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    match address.and_then(|address| address.parse::<std::net::SocketAddr>().ok()) {
        Some(_) => Ok(()),
        None => Err(ClientError::InvalidServer(server.to_owned())),
    }
}
