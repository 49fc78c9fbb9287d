//! Authenticates a caller by SCRAM-SHA-256, with the server side of `pgwire`.
//!
//! An unknown user is refused at the same step as a wrong password, so the exchange doesn't reveal
//! which users exist.

use crate::answer;
use crate::caller::CallerSocket;
use crate::credentials::Credentials;
use crate::error::{Rejection, SessionEnd};
use pgwire::api::auth::sasl::SCRAM_SHA_256_METHOD;
use pgwire::api::auth::sasl::scram::ScramServerAuth;
use pgwire::messages::startup::{Authentication, PasswordMessageFamily};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

/// Size of the shortest initial response that the codec can read: an empty mechanism name and a length.
const INITIAL_RESPONSE_BYTES: usize = 5;

/// Runs the SCRAM exchange and checks that the caller knows the user's password.
pub(super) async fn authenticate(
    caller: &mut CallerSocket,
    credentials: &Credentials,
    user: &str,
    message_limit: usize,
) -> Result<(), SessionEnd> {
    let authentication_failed = || Rejection::Authentication(user.to_owned());
    let mechanisms = vec![SCRAM_SHA_256_METHOD.to_owned()];
    send_authentication(caller, Authentication::SASL(mechanisms)).await?;
    let response = read_password_message(caller, message_limit).await?;
    let client_first = initial_response(response).ok_or_else(authentication_failed)?;
    let password = credentials.expected_password(user);
    let server = ScramServerAuth::new();
    let (challenge, server) = server
        .on_client_first_message(&client_first, password)
        .map_err(|_| authentication_failed())?;
    send_authentication(caller, Authentication::SASLContinue(challenge.into())).await?;
    let response = read_password_message(caller, message_limit).await?;
    let final_response = response.into_sasl_response().map_err(|_| authentication_failed())?;
    let proof = server
        .on_client_final_message(&final_response.data)
        .map_err(|_| authentication_failed())?;
    if !credentials.contains(user) {
        return Err(authentication_failed().into());
    }
    send_authentication(caller, Authentication::SASLFinal(proof.into())).await
}

async fn send_authentication(
    caller: &mut CallerSocket,
    message: Authentication,
) -> Result<(), SessionEnd> {
    answer::put_message(&mut caller.output, &PgWireBackendMessage::Authentication(message));
    caller.flush().await
}

async fn read_password_message(
    caller: &mut CallerSocket,
    limit: usize,
) -> Result<PasswordMessageFamily, SessionEnd> {
    match caller.read_message(limit).await? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => Ok(message),
        PgWireFrontendMessage::Terminate(_) => Err(SessionEnd::CallerGone),
        _ => Err(Rejection::MalformedStartup.into()),
    }
}

/// Returns the client's first SCRAM message if it selected the only mechanism offered.
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
    let is_offered = initial.auth_method == SCRAM_SHA_256_METHOD;
    initial.data.filter(|_| is_offered).map(|data| data.to_vec())
}
