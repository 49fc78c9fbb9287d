//! Start of a connection: negotiation, cancel requests, limit, first answers.

use super::cancel::CancelKey;
use super::stream::{MessageStream, StreamError};
use crate::shared::{ConnectionPermit, Shared};
use crate::sql::SqlError;
use pgwire::messages::PgWireBackendMessage as Message;
use pgwire::messages::response::{GssEncResponse, SslResponse};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, SecretKey, Startup,
};
use pgwire::messages::{PgWireFrontendMessage, SslNegotiationMetaMessage};
use std::sync::Arc;

/// Connections of this application name are served over the limit.
pub const CONTROL_APPLICATION: &str = "corktack-control";

const APPLICATION_NAME: &str = "application_name";
const PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("TimeZone", "UTC"),
];

/// Reads until the startup message; serves a cancel request on the way.
///
/// # Errors
/// The connection broke or violated the protocol.
pub async fn read_startup(
    stream: &mut MessageStream,
    shared: &Shared,
) -> Result<Option<Startup>, StreamError> {
    while let Some(message) = stream.read().await? {
        match message {
            PgWireFrontendMessage::SslNegotiation(negotiation) => {
                refuse_encryption(stream, &negotiation).await?;
            }
            PgWireFrontendMessage::CancelRequest(request) => {
                let secret = request.secret_key.as_i32();
                if let Some(secret) = secret {
                    shared.cancels.cancel(CancelKey { process: request.pid, secret });
                }
                return Ok(None);
            }
            PgWireFrontendMessage::Startup(startup) => {
                stream.context.awaiting_frontend_startup = false;
                return Ok(Some(startup));
            }
            _ => return Ok(None),
        }
    }
    Ok(None)
}

async fn refuse_encryption(
    stream: &mut MessageStream,
    negotiation: &SslNegotiationMetaMessage,
) -> Result<(), StreamError> {
    match negotiation {
        SslNegotiationMetaMessage::PostgresSsl(_) => {
            stream.put(Message::SslResponse(SslResponse::Refuse))?;
        }
        SslNegotiationMetaMessage::PostgresGss(_) => {
            stream.put(Message::GssEncResponse(GssEncResponse::Refuse))?;
        }
        SslNegotiationMetaMessage::None => stream.context.awaiting_frontend_ssl = false,
    }
    stream.flush().await
}

/// Admits a connection under the limit, after its cost. Control takes no place.
///
/// # Errors
/// The limit is reached.
pub async fn admit(
    shared: &Arc<Shared>,
    startup: &Startup,
) -> Result<Option<ConnectionPermit>, SqlError> {
    let application = startup.parameters.get(APPLICATION_NAME).map(String::as_str);
    if application == Some(CONTROL_APPLICATION) {
        return Ok(None);
    }
    let permit = shared.take_connection().ok_or(SqlError::TooManyConnections)?;
    tokio::time::sleep(shared.connection_cost).await;
    Ok(Some(permit))
}

/// Sends the answers to a startup message.
///
/// # Errors
/// The connection broke.
pub async fn welcome(
    stream: &mut MessageStream,
    startup: &Startup,
    key: CancelKey,
) -> Result<(), StreamError> {
    let unknown = startup.parameters.keys().filter(|name| name.starts_with("_pq_."));
    let unknown: Vec<String> = unknown.cloned().collect();
    if startup.protocol_number_minor > 0 || !unknown.is_empty() {
        let answer = NegotiateProtocolVersion::new(0, unknown);
        stream.put(Message::NegotiateProtocolVersion(answer))?;
    }
    stream.put(Message::Authentication(Authentication::Ok))?;
    for (name, value) in PARAMETERS {
        stream.put_parameter(name, value)?;
    }
    if let Some(name) = startup.parameters.get(APPLICATION_NAME) {
        stream.put_parameter(APPLICATION_NAME, name)?;
    }
    let secret = SecretKey::I32(key.secret);
    stream.put(Message::BackendKeyData(BackendKeyData::new(key.process, secret)))?;
    stream.put_ready(None)?;
    stream.flush().await
}
