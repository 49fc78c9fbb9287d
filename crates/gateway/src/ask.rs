//! Sends requests to members on behalf of control, each on a new connection.
//!
//! The requests use no group, as control sends them also through gateways that don't serve the group.

use crate::byte_budget::ByteBudget;
use crate::dial::{Destination, dial};
use crate::error::DialFailure;
use crate::settings::GatewaySettings;
use crate::wire::Wire;
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::registry::MemberAnswer;
use corktack_core::statement::{ErrorCode, OwnStatement};
use corktack_core::tenancy::Principal;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Pause before a request is repeated at a member that had no free slot or connection. A shorter pause loads
/// a member that is already full; a longer one leaves fewer attempts before the request's timeout.
const BUSY_RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Timeout of one request. With a shorter one a busy member counts as silent; with a longer one control
/// decides later.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Requests a member's status; with `hold`, pauses its replication first, in the term after the member's own,
/// and returns the answer to the pause.
pub async fn request_status<W: Wire>(
    wire: &W,
    settings: &GatewaySettings,
    group: &GroupName,
    member: &MemberName,
    address: SocketAddr,
    hold: bool,
) -> MemberAnswer {
    let status = request(wire, settings, (group, member, address), &OwnStatement::Status).await;
    let MemberAnswer::Status(status) = status else { return status };
    if !hold {
        return MemberAnswer::Status(status);
    }
    let pause = OwnStatement::Pause { term: status.term + 1 };
    request(wire, settings, (group, member, address), &pause).await
}

/// Resumes the replication of a member that [`request_status`] has paused.
pub async fn resume_replication<W: Wire>(
    wire: &W,
    settings: &GatewaySettings,
    group: &GroupName,
    member: &MemberName,
    address: SocketAddr,
) {
    // If the request fails, the next promotion or restart resumes the member.
    let _ = request(wire, settings, (group, member, address), &OwnStatement::Resume).await;
}

async fn request<W: Wire>(
    wire: &W,
    settings: &GatewaySettings,
    target: (&GroupName, &MemberName, SocketAddr),
    statement: &OwnStatement,
) -> MemberAnswer {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    loop {
        match request_once(wire, settings, target, statement, deadline).await {
            Some(answer) => return answer,
            None => tokio::time::sleep(BUSY_RETRY_PAUSE).await,
        }
    }
}

/// Sends the request once, on a new connection; returns none if the member had no room, so that the request
/// is to be repeated.
async fn request_once<W: Wire>(
    wire: &W,
    settings: &GatewaySettings,
    (group, member, address): (&GroupName, &MemberName, SocketAddr),
    statement: &OwnStatement,
    deadline: Instant,
) -> Option<MemberAnswer> {
    let destination = Destination { group, member, address, principal: &Principal::Anonymous };
    let answers = ByteBudget::new(settings.max_answer_bytes);
    let mut connection = match dial(wire, settings, destination, &answers).await {
        Ok((connection, _)) => connection,
        Err(error) if error.failure() == DialFailure::Full && Instant::now() < deadline => {
            return None;
        }
        Err(error) => {
            log::info!(group:% = group, member:% = member, error:% = error; "no status");
            return Some(match error.failure() {
                DialFailure::Unreachable => MemberAnswer::Unreachable,
                _ => MemberAnswer::Silent,
            });
        }
    };
    let Ok(answer) = connection.run_own(statement, deadline).await else {
        return Some(MemberAnswer::Silent);
    };
    connection.terminate();
    match answer.outcome {
        Ok(_) => {
            let row = answer.rows.first();
            let status = row.and_then(|row| wire.decode_status(row).ok());
            Some(status.map_or(MemberAnswer::Silent, MemberAnswer::Status))
        }
        Err(failure) if failure.code == ErrorCode::Busy && Instant::now() < deadline => None,
        Err(failure) => {
            log::info!(
                group:% = group, member:% = member, code:? = failure.code,
                why = failure.text.as_str();
                "no status"
            );
            Some(MemberAnswer::Silent)
        }
    }
}
