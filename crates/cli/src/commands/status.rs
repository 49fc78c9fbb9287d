//! `corktack status`: shows the control cell, proxies and groups, and the revision in force.
//!
//! With `--wait`, the command polls the status until the revision that was newest at its start is in force on
//! every proxy.

use super::CommandError;
use crate::exit::Exit;
use crate::flags::Status;
use crate::output::{Format, Output};
use crate::table::{Table, or_dash};
use corktack_control::api::StatusBody;
use corktack_core::view::{ProxyState, Revision};
use corktack_server::client::{ApiClient, Request};
use std::time::{Duration, Instant};

/// Interval between two reads of the status. A shorter interval puts more load on the servers; a longer one
/// delays the end of the wait.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Default for `--timeout-ms`, the longest wait, in milliseconds; the help of the command states the same
/// value.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;

pub(crate) async fn run(
    client: ApiClient,
    command: Status,
    output: &mut Output<'_>,
) -> Result<Exit, CommandError> {
    let mut status = read_status(&client).await?;
    let timeout = Duration::from_millis(command.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS));
    let deadline = Instant::now() + timeout;
    let target = status.revision;
    let mut in_force = is_in_force(&status, target);
    while command.wait && !in_force && Instant::now() < deadline {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        status = read_status(&client).await?;
        in_force = is_in_force(&status, target);
    }
    write_status(&status, output)?;
    Ok(if in_force || !command.wait { Exit::Done } else { Exit::Failed })
}

async fn read_status(client: &ApiClient) -> Result<StatusBody, CommandError> {
    Ok(client.request(Request::get("/v1/status")).await?)
}

/// Reports whether the revision is in force on every proxy that is not down, according to a replica whose
/// state is confirmed current.
fn is_in_force(status: &StatusBody, target: Revision) -> bool {
    let not_down = status.proxies.iter().filter(|proxy| proxy.state != ProxyState::Down);
    let mut reported = not_down.map(|proxy| proxy.revision.unwrap_or_default());
    status.current && reported.all(|revision| revision >= target)
}

fn write_status(status: &StatusBody, output: &mut Output<'_>) -> Result<(), CommandError> {
    if output.format() != Format::Table {
        output.write_value(status, |_| Table::default())?;
        return Ok(());
    }
    let leader = or_dash(status.leader);
    output.write_line(&format!(
        "cell {} term {} leader {leader}, answered by replica {} ({:?}, {})",
        status.cell,
        status.term,
        status.replica,
        status.role,
        if status.current { "current" } else { "not proven current" }
    ))?;
    output.write_line(&format!("revision {}: {}", status.revision.0, status.in_force.summary))?;
    for table in [members_table(status), proxies_table(status), groups_table(status)] {
        output.write_line("")?;
        output.write_line(table.to_string().trim_end())?;
    }
    Ok(())
}

fn members_table(status: &StatusBody) -> Table {
    let mut table = Table::new(&["REPLICA", "ADDRESS", "VOTES"]);
    for member in &status.members {
        let votes = if member.voter { "yes" } else { "no" };
        table.add_row([member.id.to_string(), member.address.to_string(), votes.to_owned()]);
    }
    table
}

fn proxies_table(status: &StatusBody) -> Table {
    let mut table = Table::new(&["PROXY", "STATE", "ZONE", "ADDRESS", "REVISION"]);
    for proxy in &status.proxies {
        table.add_row([
            proxy.name.to_string(),
            format!("{:?}", proxy.state),
            proxy.zone.to_string(),
            proxy.address.to_string(),
            or_dash(proxy.revision.map(|revision| revision.0)),
        ]);
    }
    table
}

fn groups_table(status: &StatusBody) -> Table {
    let mut table = Table::new(&["GROUP", "PRIMARY", "TERM", "OWNER", "STATE"]);
    for group in &status.groups {
        let state = if group.failing_over { "failing over" } else { "serving" };
        table.add_row([
            group.name.to_string(),
            or_dash(group.primary.as_ref()),
            group.term.to_string(),
            or_dash(group.owner.as_ref()),
            state.to_owned(),
        ]);
    }
    table
}
