//! Turns a new connection into a session: startup message, authentication, initial parameters.
//!
//! `codec` decodes the first message, `credentials` holds the users' secrets, and `session` takes over
//! once the caller is admitted. Connections that are refused before that get their error here.

mod options;
mod scram;

use crate::answer;
use crate::caller::CallerSocket;
use crate::codec::FirstMessage;
use crate::context::{ArbiterContext, DrainPhase};
use crate::error::{Rejection, SessionEnd};
use crate::route::group_of_database;
use crate::session::Session;
use crate::sessions::{CancelKey, Registration};
use crate::times::REFUSAL_TIMEOUT;
use corktack_core::binding::CallerIdentity;
use corktack_core::classify::TOKEN_SETTING;
use corktack_core::session::SessionToken;
use corktack_protocol::peer::TransactionStatus;
use pgwire::messages::PgWireBackendMessage as Answer;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{
    Authentication as AuthenticationMessage, BackendKeyData, NegotiateProtocolVersion, SecretKey,
    Startup,
};
use std::net::IpAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Answer to a request for encryption: not supported.
const NO_ENCRYPTION: u8 = b'N';
/// Requests for encryption that a caller may make: one for TLS and one for GSS.
const ENCRYPTION_REQUESTS: usize = 2;
/// Parameters reported at the start of every session, as PostgreSQL client libraries expect them.
const FIXED_PARAMETERS: [(&str, &str); 8] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];
/// Accepted names of the client encoding, in lower case.
const ENCODINGS: [&str; 3] = ["utf8", "utf-8", "unicode"];

/// The contents of a startup message.
#[derive(Debug)]
struct StartupRequest {
    identity: CallerIdentity,
    token: SessionToken,
    has_newer_minor_version: bool,
}

/// Serves a new connection until it ends.
pub async fn serve_connection(context: Rc<ArbiterContext>, stream: TcpStream, source: IpAddr) {
    let _ = stream.set_nodelay(true);
    let limit = context.settings.startup_timeout;
    let mut caller = CallerSocket::new(stream, context.settings.request_timeout);
    let started = tokio::select! {
        started = timeout(limit, start(&context, &mut caller, source)) => {
            started.unwrap_or(Err(Rejection::StartupTimeout.into()))
        }
        () = startup_ended_by_drain(&context) => Err(Rejection::Draining.into()),
    };
    match started {
        Ok(Some((identity, token, registration))) => {
            Session::new(context, caller, identity, registration, token).run().await;
        }
        Ok(None) | Err(SessionEnd::CallerGone | SessionEnd::Io(_)) => {}
        Err(SessionEnd::Fatal(rejection)) => caller.close_with_error(&rejection).await,
    }
}

/// Refuses a new connection with an error. A cancel request is still honoured.
pub async fn refuse_connection(context: &ArbiterContext, stream: TcpStream, rejection: &Rejection) {
    let mut caller = CallerSocket::new(stream, REFUSAL_TIMEOUT);
    match timeout(REFUSAL_TIMEOUT, read_first_message(context, &mut caller)).await {
        Ok(Ok(FirstMessage::Cancel(request))) => cancel_session(context, &request),
        Ok(Err(SessionEnd::CallerGone | SessionEnd::Io(_))) => {}
        _ => caller.close_with_error(rejection).await,
    }
}

/// Waits until the edge drains and then for [`REFUSAL_TIMEOUT`], the time that a caller gets to
/// complete its startup during a drain.
async fn startup_ended_by_drain(context: &ArbiterContext) {
    let mut drain_phase = context.drain_phase.clone();
    if drain_phase.wait_for(|phase| *phase != DrainPhase::Running).await.is_err() {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(REFUSAL_TIMEOUT).await;
}

/// Authenticates a caller and starts its session. Returns nothing if the connection only carried a
/// cancel request.
async fn start(
    context: &ArbiterContext,
    caller: &mut CallerSocket,
    source: IpAddr,
) -> Result<Option<(CallerIdentity, SessionToken, Registration)>, SessionEnd> {
    let startup = match read_first_message(context, caller).await? {
        FirstMessage::Startup(startup) => startup,
        FirstMessage::Cancel(request) => {
            cancel_session(context, &request);
            return Ok(None);
        }
        FirstMessage::Encryption => return Err(Rejection::MalformedStartup.into()),
    };
    if context.is_draining() {
        return Err(Rejection::Draining.into());
    }
    let request = parse_startup(&startup, source)?;
    if request.has_newer_minor_version {
        let negotiate = NegotiateProtocolVersion::new(0, Vec::new());
        answer::put_message(&mut caller.output, &Answer::NegotiateProtocolVersion(negotiate));
    }
    if let Some(credentials) = &context.credentials {
        let limit = context.settings.startup_message_limit;
        scram::authenticate(caller, credentials, &request.identity.user, limit).await?;
    }
    // The database is checked after authentication, so that only authenticated callers learn which
    // databases exist.
    if group_of_database(&context.current_view(), &request.identity.database).is_none() {
        return Err(Rejection::UnknownDatabase(request.identity.database).into());
    }
    let registration = context.sessions.register();
    put_session_start(caller, &request, registration.key);
    caller.flush().await?;
    Ok(Some((request.identity, request.token, registration)))
}

async fn read_first_message(
    context: &ArbiterContext,
    caller: &mut CallerSocket,
) -> Result<FirstMessage, SessionEnd> {
    let limit = context.settings.startup_message_limit;
    for _ in 0..ENCRYPTION_REQUESTS {
        match caller.read_first_message(limit).await? {
            FirstMessage::Encryption => caller.decline_encryption(NO_ENCRYPTION).await?,
            message => return Ok(message),
        }
    }
    caller.read_first_message(limit).await
}

fn cancel_session(context: &ArbiterContext, request: &CancelRequest) {
    if let Some(secret) = request.secret_key.as_i32() {
        context.sessions.cancel(CancelKey { process_id: request.pid, secret });
    }
}

fn parse_startup(startup: &Startup, source: IpAddr) -> Result<StartupRequest, Rejection> {
    let parameter = |name: &str| startup.parameters.get(name).filter(|value| !value.is_empty());
    let user = parameter("user").ok_or(Rejection::NoUser)?.clone();
    let database = parameter("database").unwrap_or(&user).clone();
    if let Some(encoding) = parameter("client_encoding") {
        let normalized = encoding.trim_matches(['"', '\'']).to_ascii_lowercase();
        if !ENCODINGS.contains(&normalized.as_str()) {
            return Err(Rejection::Encoding(encoding.clone()));
        }
    }
    let options = parameter("options").map(|text| options::parse(text)).unwrap_or_default();
    let mut token = SessionToken::default();
    for text in [parameter(TOKEN_SETTING), options.get(TOKEN_SETTING)].into_iter().flatten() {
        token.merge(&text.parse()?)?;
    }
    let application_name =
        parameter("application_name").or_else(|| options.get("application_name"));
    let application_name = application_name.cloned().unwrap_or_default();
    let identity = CallerIdentity { user, database, application_name, source };
    Ok(StartupRequest {
        identity,
        token,
        has_newer_minor_version: startup.protocol_number_minor > 0,
    })
}

fn put_session_start(caller: &mut CallerSocket, request: &StartupRequest, key: CancelKey) {
    let output = &mut caller.output;
    answer::put_message(output, &Answer::Authentication(AuthenticationMessage::Ok));
    for (name, value) in FIXED_PARAMETERS {
        answer::put_parameter_status(output, name, value);
    }
    answer::put_parameter_status(output, "session_authorization", &request.identity.user);
    answer::put_parameter_status(output, "application_name", &request.identity.application_name);
    answer::put_parameter_status(output, TOKEN_SETTING, &request.token.to_string());
    let secret = SecretKey::I32(key.secret);
    let key_data = BackendKeyData::new(key.process_id, secret);
    answer::put_message(output, &Answer::BackendKeyData(key_data));
    answer::put_ready_for_query(output, TransactionStatus::Idle);
}
