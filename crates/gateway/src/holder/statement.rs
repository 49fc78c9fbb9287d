//! Runs statements of other gateways, received on a tunnel, on connections of this one.
//!
//! The group provides a connection, and [`run`](crate::run) executes the statement on it. If no statement can
//! be run, the other gateway gets a [`TunnelRefusal`].

use super::frames::LOG_TARGET;
use crate::error::AcquireError;
use crate::group::{ConnectionRequest, Group, Lease, LocatedConnection, Target};
use crate::lone_statement::LoneStatement;
use crate::shared::GatewayContext;
use crate::tunnel::{RemoteRequest, outcome_of};
use crate::wire::Wire;
use corktack_core::gateway::{ReadPosition, SessionProfile};
use corktack_core::identity::GroupName;
use corktack_core::scheduling::StatementKind;
use corktack_protocol::tunnel::{LoneRequest, TunnelRefusal, TunnelReply};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Runs a statement of another gateway, and returns the reply.
pub(super) async fn run<W: Wire>(
    shared: &GatewayContext<W>,
    remote: &RemoteRequest,
    statement: &LoneRequest,
    limit: Duration,
) -> Result<TunnelReply, TunnelRefusal> {
    let started_at = Instant::now();
    let deadline = started_at + limit;
    let LocatedConnection { lease, position } =
        acquire(shared, remote, !statement.kind.is_read()).await?;
    let group = Rc::clone(lease.group());
    let result =
        LoneStatement::of_request(statement, remote.priority).run(lease, position, deadline).await;
    let newest = group.newest_position();
    let load = group.load_report(&remote.member, started_at.elapsed());
    Ok(TunnelReply::Ran { outcome: outcome_of(result), position, newest, load })
}

/// Begins a transaction for another gateway and runs its first statement. Returns the reply, and the lease if
/// the transaction is open.
pub(super) async fn open_transaction<W: Wire>(
    shared: &GatewayContext<W>,
    remote: &RemoteRequest,
    statement: &LoneRequest,
    limit: Duration,
) -> Result<(Option<Lease<W>>, TunnelReply), TunnelRefusal> {
    let deadline = Instant::now() + limit;
    let LocatedConnection { mut lease, position } =
        acquire(shared, remote, !statement.kind.is_read()).await?;
    let group = Rc::clone(lease.group());
    let first = LoneStatement::of_request(statement, remote.priority);
    let opened = first.begin_and_run_on(&mut lease, position, deadline).await;
    let newest = group.newest_position();
    match opened {
        Ok(result) => {
            let profile = lease.connection().profile().clone();
            let outcome = outcome_of(result);
            lease.set_idle_in_transaction(true);
            Ok((Some(lease), TunnelReply::Opened { profile, position, newest, outcome }))
        }
        Err(reason) => {
            Ok((None, TunnelReply::NotOpened { outcome: outcome_of(Err(reason)), newest }))
        }
    }
}

/// Returns the reply that grants a lent connection.
pub(super) fn grant_reply<W: Wire>(
    lease: &mut Lease<W>,
    position: Option<ReadPosition>,
) -> TunnelReply {
    let newest = lease.group().newest_position();
    let profile = lease.connection().profile().clone();
    TunnelReply::Granted { profile, position, newest }
}

/// Acquires a connection of this gateway for a request of another one.
pub(super) async fn acquire<W: Wire>(
    shared: &GatewayContext<W>,
    remote: &RemoteRequest,
    writes: bool,
) -> Result<LocatedConnection<W>, TunnelRefusal> {
    let started_at = Instant::now();
    let wait_deadline = started_at + remote.wait;
    // A gateway that has just started waits for its first document, which says what it holds.
    shared.wait_for_document_until(wait_deadline).await;
    let group = find_group(shared, &remote.group)?;
    let session = SessionProfile::default();
    let local = ConnectionRequest {
        target: Target::Held(remote.member.clone()),
        session: &session,
        principal: Some(&remote.principal),
        kind: StatementKind { priority: remote.priority, writes },
        bound: remote.bound,
        needs_slot: true,
        wait_deadline,
    };
    let acquired = group.acquire(&local).await;
    acquired.map_err(|error| {
        log::debug!(
            target: LOG_TARGET, group:% = remote.group, member:% = remote.member, error:% = error,
            after_ms = started_at.elapsed().as_millis() as u64;
            "statement of another gateway refused"
        );
        refusal_of(&error)
    })
}

fn refusal_of(error: &AcquireError) -> TunnelRefusal {
    match error {
        // The member is reachable, so that the other gateway needs no indirect route to it.
        AcquireError::NoneFree { .. } | AcquireError::Full(_) => {
            TunnelRefusal::NoneFree { retry_after: error.retry_after() }
        }
        AcquireError::NoPosition => TunnelRefusal::NoPosition,
        AcquireError::Unreachable(_) => TunnelRefusal::Unreachable,
        AcquireError::NoMember | AcquireError::NoHolder(_) => TunnelRefusal::NotHeld,
    }
}

/// Returns the group of a name, or `NotHeld` if this gateway doesn't know it.
pub(super) fn find_group<W: Wire>(
    shared: &GatewayContext<W>,
    group: &GroupName,
) -> Result<Rc<Group<W>>, TunnelRefusal> {
    shared.routes.group(group).ok_or(TunnelRefusal::NotHeld)
}
