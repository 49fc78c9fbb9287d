//! SCRAM-SHA-256, by the library's implementation of the server's side.
//!
//! The module owns the exchange of messages; it relies on `credentials` for what the caller must know. A user
//! that does not exist is refused at the same step as a wrong password.

use crate::answer;
use crate::caller::CallerSocket;
use crate::credentials::Credentials;
use crate::error::{Rejection, SessionEnd};
use pgwire::api::auth::sasl::SCRAM_SHA_256_METHOD;
use pgwire::api::auth::sasl::scram::ScramServerAuth;
use pgwire::messages::startup::{Authentication, PasswordMessageFamily};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

/// Shortest body of an initial response that the codec can read: an empty name and a length.
const INITIAL_RESPONSE_BYTES: usize = 5;

/// Lets the caller prove that it knows the user's password.
pub(super) async fn authenticate(
    caller: &mut CallerSocket,
    credentials: &Credentials,
    user: &str,
    message_limit: usize,
) -> Result<(), SessionEnd> {
    let refused = || Rejection::Authentication(user.to_owned());
    let mechanisms = vec![SCRAM_SHA_256_METHOD.to_owned()];
    send(caller, Authentication::SASL(mechanisms)).await?;
    let response = password_message(caller, message_limit).await?;
    let first = initial_response(response).ok_or_else(refused)?;
    let password = credentials.expected_password(user);
    let server = ScramServerAuth::new();
    let (challenge, server) =
        server.on_client_first_message(&first, password).map_err(|_| refused())?;
    send(caller, Authentication::SASLContinue(challenge.into())).await?;
    let response = password_message(caller, message_limit).await?;
    let last = response.into_sasl_response().map_err(|_| refused())?;
    let proof = server.on_client_final_message(&last.data).map_err(|_| refused())?;
    if !credentials.contains(user) {
        return Err(refused().into());
    }
    send(caller, Authentication::SASLFinal(proof.into())).await
}

async fn send(caller: &mut CallerSocket, message: Authentication) -> Result<(), SessionEnd> {
    answer::put(&mut caller.output, &PgWireBackendMessage::Authentication(message));
    caller.flush().await
}

async fn password_message(
    caller: &mut CallerSocket,
    limit: usize,
) -> Result<PasswordMessageFamily, SessionEnd> {
    match caller.message(limit).await? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => Ok(message),
        PgWireFrontendMessage::Terminate(_) => Err(SessionEnd::CallerGone),
        _ => Err(Rejection::MalformedStartup.into()),
    }
}

/// The caller's first message, if it chose the one mechanism there is.
fn initial_response(response: PasswordMessageFamily) -> Option<Vec<u8>> {
    let PasswordMessageFamily::Raw(body) = &response else {
        return None;
    };
    let name_end = body.iter().position(|byte| *byte == 0)?;
    let length = body.get(name_end + 1..name_end + INITIAL_RESPONSE_BYTES)?;
    let length = usize::try_from(i32::from_be_bytes(length.try_into().ok()?)).ok()?;
    if body.len() != name_end + INITIAL_RESPONSE_BYTES + length {
        return None;
    }
    let initial = response.into_sasl_initial_response().ok()?;
    let chosen = initial.auth_method == SCRAM_SHA_256_METHOD;
    initial.data.filter(|_| chosen).map(|data| data.to_vec())
}
