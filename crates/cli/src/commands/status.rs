//! `corktack status`: the control cell, proxies and groups, and what is in force.
//!
//! Owns how often it reads again while it waits.

use super::CommandError;
use crate::exit::Exit;
use crate::flags::Status;
use crate::output::{Format, Output};
use crate::table::{Table, or_dash};
use corktack_control::api::StatusBody;
use corktack_core::view::{ProxyState, Revision};
use corktack_server::client::{ApiClient, Request};
use std::time::{Duration, Instant};

/// Time between two reads of the status. Chosen, not measured; a lower value asks the servers more often, a
/// higher one adds to the wait.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait unless the flag says otherwise, in milliseconds. Chosen, not measured; as in the help of the
/// command.
const DEFAULT_WAIT_MS: u64 = 60_000;

pub(crate) async fn run(
    client: ApiClient,
    command: Status,
    output: &mut Output<'_>,
) -> Result<Exit, CommandError> {
    let mut status = read(&client).await?;
    let wait = Duration::from_millis(command.timeout_ms.unwrap_or(DEFAULT_WAIT_MS));
    let deadline = Instant::now() + wait;
    let target = status.revision;
    let mut in_force = is_in_force(&status, target);
    while command.wait && !in_force && Instant::now() < deadline {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        status = read(&client).await?;
        in_force = is_in_force(&status, target);
    }
    show(&status, output)?;
    Ok(if in_force || !command.wait { Exit::Done } else { Exit::Failed })
}

async fn read(client: &ApiClient) -> Result<StatusBody, CommandError> {
    Ok(client.request(Request::get("/v1/status")).await?)
}

/// Whether a replica that is current says that the revision is in force on every proxy
/// that is not down.
fn is_in_force(status: &StatusBody, target: Revision) -> bool {
    let counted = status.proxies.iter().filter(|proxy| proxy.state != ProxyState::Down);
    let mut reported = counted.map(|proxy| proxy.revision.unwrap_or_default());
    status.current && reported.all(|revision| revision >= target)
}

fn show(status: &StatusBody, output: &mut Output<'_>) -> Result<(), CommandError> {
    if output.format() != Format::Table {
        output.value(status, |_| Table::default())?;
        return Ok(());
    }
    let leader = or_dash(status.leader);
    output.line(&format!(
        "cell {} term {} leader {leader}, answered by replica {} ({:?}, {})",
        status.cell,
        status.term,
        status.replica,
        status.role,
        if status.current { "current" } else { "not proven current" }
    ))?;
    output.line(&format!("revision {}: {}", status.revision.0, status.in_force.summary))?;
    for table in [members(status), proxies(status), groups(status)] {
        output.line("")?;
        output.line(table.to_string().trim_end())?;
    }
    Ok(())
}

fn members(status: &StatusBody) -> Table {
    let mut table = Table::new(&["REPLICA", "ADDRESS", "VOTES"]);
    for member in &status.members {
        let votes = if member.voter { "yes" } else { "no" };
        table.row([member.id.to_string(), member.address.to_string(), votes.to_owned()]);
    }
    table
}

fn proxies(status: &StatusBody) -> Table {
    let mut table = Table::new(&["PROXY", "STATE", "ZONE", "ADDRESS", "REVISION"]);
    for proxy in &status.proxies {
        table.row([
            proxy.name.to_string(),
            format!("{:?}", proxy.state),
            proxy.zone.to_string(),
            proxy.address.to_string(),
            or_dash(proxy.revision.map(|revision| revision.0)),
        ]);
    }
    table
}

fn groups(status: &StatusBody) -> Table {
    let mut table = Table::new(&["GROUP", "PRIMARY", "TERM", "OWNER", "STATE"]);
    for group in &status.groups {
        let state = if group.failing_over { "failing over" } else { "serving" };
        table.row([
            group.name.to_string(),
            or_dash(group.primary.as_ref()),
            group.term.to_string(),
            or_dash(group.owner.as_ref()),
            state.to_owned(),
        ]);
    }
    table
}
