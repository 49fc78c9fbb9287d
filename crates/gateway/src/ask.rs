//! Questions to members on behalf of control, each on a connection of its own.
//!
//! It is for the process that answers control. It owns the time that a question may take. It relies on no
//! group: control asks as well where the gateway serves nothing.

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

/// Pause before a member without a free slot is asked again. Chosen, not measured: lower loads a member that is
/// full already, higher leaves fewer attempts in the time of a question.
const BUSY_PAUSE: Duration = Duration::from_millis(25);
/// Longest time for one question. Chosen, not measured: lower, a member with much to do counts as silent;
/// higher, control decides later.
const QUESTION_LIMIT: Duration = Duration::from_millis(400);

/// Asks a member for its status; with `hold`, keeps it from receiving first, in the term after its
/// own.
pub async fn ask_status<W: Wire>(
    wire: &W,
    settings: &GatewaySettings,
    group: &GroupName,
    member: &MemberName,
    address: SocketAddr,
    hold: bool,
) -> MemberAnswer {
    let status = ask(wire, settings, (group, member, address), &OwnStatement::Status).await;
    let MemberAnswer::Status(status) = status else { return status };
    if !hold {
        return MemberAnswer::Status(status);
    }
    let pause = OwnStatement::Pause { term: status.term + 1 };
    ask(wire, settings, (group, member, address), &pause).await
}

/// Lets a held member receive again.
pub async fn release<W: Wire>(
    wire: &W,
    settings: &GatewaySettings,
    group: &GroupName,
    member: &MemberName,
    address: SocketAddr,
) {
    // A member that does not get it is released by the next promotion or restart.
    let _ = ask(wire, settings, (group, member, address), &OwnStatement::Resume).await;
}

async fn ask<W: Wire>(
    wire: &W,
    settings: &GatewaySettings,
    at: (&GroupName, &MemberName, SocketAddr),
    statement: &OwnStatement,
) -> MemberAnswer {
    let deadline = Instant::now() + QUESTION_LIMIT;
    loop {
        match ask_once(wire, settings, at, statement, deadline).await {
            Some(answer) => return answer,
            None => tokio::time::sleep(BUSY_PAUSE).await,
        }
    }
}

/// Asks on a connection of its own; none where the member had no room and is to be asked again.
async fn ask_once<W: Wire>(
    wire: &W,
    settings: &GatewaySettings,
    (group, member, address): (&GroupName, &MemberName, SocketAddr),
    statement: &OwnStatement,
    deadline: Instant,
) -> Option<MemberAnswer> {
    let destination = Destination { group, member, address, principal: &Principal::Unnamed };
    let mut connection = match dial(wire, settings, destination).await {
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
