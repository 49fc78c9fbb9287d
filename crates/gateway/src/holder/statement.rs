//! Statements of other gateways, run on connections of this one.
//!
//! It is for requests that arrive on a tunnel. It owns what the other gateway is told where none is run. It
//! relies on the group for a connection and on [`run`](crate::run) to execute on it.

use super::frames::LOG_TARGET;
use crate::error::AcquireError;
use crate::group::{ConnectionRequest, Group, Lease, Located, Target};
use crate::lone_statement::LoneStatement;
use crate::shared::Shared;
use crate::tunnel::{RemoteRequest, outcome_of};
use crate::wire::Wire;
use corktack_core::gateway::{ReadPosition, SessionProfile};
use corktack_core::identity::GroupName;
use corktack_core::scheduling::StatementKind;
use corktack_protocol::tunnel::{LoneRequest, TunnelRefusal, TunnelReply};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Runs a statement of another gateway.
pub(super) async fn run<W: Wire>(
    shared: &Shared<W>,
    remote: &RemoteRequest,
    statement: &LoneRequest,
    limit: Duration,
) -> Result<TunnelReply, TunnelRefusal> {
    let begun = Instant::now();
    let deadline = begun + limit;
    let Located { lease, position } = acquire(shared, remote, !statement.kind.is_read()).await?;
    let group = Rc::clone(lease.group());
    let result =
        LoneStatement::of_request(statement, remote.priority).run(lease, position, deadline).await;
    let newest = group.newest_position();
    let load = group.load_report(&remote.member, begun.elapsed());
    Ok(TunnelReply::Ran { outcome: outcome_of(result), position, newest, load })
}

/// Begins a transaction for another gateway and runs its first statement; gives the connection while the
/// transaction is open.
pub(super) async fn open<W: Wire>(
    shared: &Shared<W>,
    remote: &RemoteRequest,
    statement: &LoneRequest,
    limit: Duration,
) -> Result<(Option<Lease<W>>, TunnelReply), TunnelRefusal> {
    let deadline = Instant::now() + limit;
    let Located { mut lease, position } =
        acquire(shared, remote, !statement.kind.is_read()).await?;
    let group = Rc::clone(lease.group());
    let first = LoneStatement::of_request(statement, remote.priority);
    let opened = first.open_on(&mut lease, position, deadline).await;
    let newest = group.newest_position();
    match opened {
        Ok(result) => {
            let profile = lease.connection().profile.clone();
            let outcome = outcome_of(result);
            lease.set_idle_in_transaction(true);
            Ok((Some(lease), TunnelReply::Opened { profile, position, newest, outcome }))
        }
        Err(why) => Ok((None, TunnelReply::NotOpened { outcome: outcome_of(Err(why)), newest })),
    }
}

/// What the other gateway is told of a connection that it is lent.
pub(super) fn granted<W: Wire>(
    lease: &mut Lease<W>,
    position: Option<ReadPosition>,
) -> TunnelReply {
    let newest = lease.group().newest_position();
    let profile = lease.connection().profile.clone();
    TunnelReply::Granted { profile, position, newest }
}

/// A connection of this gateway for a request of another one.
pub(super) async fn acquire<W: Wire>(
    shared: &Shared<W>,
    remote: &RemoteRequest,
    writes: bool,
) -> Result<Located<W>, TunnelRefusal> {
    let begun = Instant::now();
    let give_up = begun + remote.wait;
    // In the first moments of a process control is about to tell it what it holds.
    shared.wait_for_document_until(give_up).await;
    let group = find_group(shared, &remote.group)?;
    let session = SessionProfile::default();
    let local = ConnectionRequest {
        target: Target::Held(remote.member.clone()),
        session: &session,
        principal: Some(&remote.principal),
        kind: StatementKind { priority: remote.priority, writes },
        bound: remote.bound,
        needs_slot: true,
        give_up,
    };
    let acquired = group.acquire(&local).await;
    acquired.map_err(|error| {
        log::debug!(
            target: LOG_TARGET, group:% = remote.group, member:% = remote.member, error:% = error,
            after_ms = begun.elapsed().as_millis() as u64;
            "statement of another gateway not taken"
        );
        refusal_of(&error)
    })
}

fn refusal_of(error: &AcquireError) -> TunnelRefusal {
    match error {
        // The member is reached all the same: nobody needs another way to it.
        AcquireError::NoneFree { .. } | AcquireError::Full(_) => {
            TunnelRefusal::NoneFree { retry_after: error.retry_after() }
        }
        AcquireError::NoPosition => TunnelRefusal::NoPosition,
        AcquireError::Unreachable(_) => TunnelRefusal::Unreachable,
        AcquireError::NoMember | AcquireError::NoHolder(_) => TunnelRefusal::NotHeld,
    }
}

/// The group of a name, as far as this gateway knows it.
pub(super) fn find_group<W: Wire>(
    shared: &Shared<W>,
    group: &GroupName,
) -> Result<Rc<Group<W>>, TunnelRefusal> {
    shared.routes.group(group).ok_or(TunnelRefusal::NotHeld)
}
