//! Barriers: committed positions that a majority confirmed after a request arrived.
//!
//! One barrier is in flight at a time. A request that arrives after a barrier was sent waits for the next
//! barrier, since only that one is confirmed after the request's arrival. Barriers have a connection of their
//! own to the primary; `barrier_queue` holds the requests that wait.

use crate::connection::{ConnectionError, ServerConnection};
use crate::group::{CONTROL_APPLICATION_NAME, Group};
use corktack_core::backend::SHOW_READ_INDEX;
use corktack_core::identity::MemberName;
use corktack_core::position::{Position, Term};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the primary's answer. A shorter timeout fails reads behind a slow link; a longer one
/// delays all reads that wait for an unresponsive primary.
const BARRIER_TIMEOUT: Duration = Duration::from_millis(500);

/// Connection for barriers, with the primary and term that it was opened for.
struct BarrierConnection {
    connection: ServerConnection,
    primary: (MemberName, Term),
}

/// Answers the group's barriers; runs as long as the group is owned.
pub(crate) async fn run(group: Arc<Group>) {
    let mut connection = None;
    loop {
        group.barriers.wait_for_request().await;
        // These requests arrived before the query below is sent.
        let waiters = group.barriers.take_waiting();
        if waiters.is_empty() {
            continue;
        }
        let position = confirm_position(&group, &mut connection).await;
        for sender in waiters {
            // The send fails only when the request is gone.
            let _ = sender.send(position);
        }
    }
}

async fn confirm_position(
    group: &Group,
    cached: &mut Option<BarrierConnection>,
) -> Option<Position> {
    let view = group.view();
    let primary = (view.primary.clone()?, view.term);
    let mut reuse = cached.take().filter(|connection| connection.primary == primary);
    if reuse.as_mut().is_some_and(|barrier_connection| !barrier_connection.connection.is_reusable())
    {
        reuse = None;
    }
    group.metrics.barriers.get_or_create(&group.label()).inc();
    let mut view_changes = group.subscribe_view();
    let replaced = view_changes
        .wait_for(|current| current.primary != view.primary || current.term != view.term);
    tokio::select! {
        _ = replaced => None,
        answer = query_read_index(group, reuse, primary) => {
            let (position, connection) = answer.ok()?;
            group.record_position(&connection.primary.0, position);
            *cached = Some(connection);
            Some(position)
        }
    }
}

async fn query_read_index(
    group: &Group,
    reuse: Option<BarrierConnection>,
    primary: (MemberName, Term),
) -> Result<(Position, BarrierConnection), ConnectionError> {
    let mut barrier_connection = match reuse {
        Some(barrier_connection) => barrier_connection,
        None => open_connection(group, primary).await?,
    };
    let rows = barrier_connection.connection.query(SHOW_READ_INDEX, BARRIER_TIMEOUT).await?;
    let text = rows.into_iter().next().and_then(|row| row.into_iter().next()).flatten();
    let position = text.and_then(|text| text.parse().ok());
    Ok((position.ok_or(ConnectionError::Closed)?, barrier_connection))
}

async fn open_connection(
    group: &Group,
    primary: (MemberName, Term),
) -> Result<BarrierConnection, ConnectionError> {
    let (address, login) = group.login(&primary.0, CONTROL_APPLICATION_NAME);
    let address = address.ok_or(ConnectionError::Closed)?;
    let connection = ServerConnection::connect(address, &login).await?;
    Ok(BarrierConnection { connection, primary })
}
