//! Probes of members, which report health to the control service and positions to the group's routing table.
//!
//! Each probe keeps its own connection and reads the member's status row, which `corktack_core` parses. A
//! second observer runs the same probes but reports to the control service only.

use crate::connection::{CONNECT_TIMEOUT, ConnectionError, Login, ServerConnection};
use crate::decisions::{ProbeResult, primary_is_suspect};
use crate::group::Group;
use corktack_core::backend::{MemberRole, MemberStatus, SHOW_STATUS};
use corktack_core::identity::{GroupName, MemberName};
use corktack_protocol::control::{MemberHealth, Observation};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

/// Recipient of a probe's results in addition to the control service.
#[derive(Clone, Debug)]
pub(crate) enum ProbeRecipient {
    /// No further recipient: this proxy is a second observer.
    ControlOnly,
    /// The owned group, as long as it is owned or has open streams.
    Group(Weak<Group>),
}

impl ProbeRecipient {
    fn is_retired(&self) -> bool {
        let Self::Group(group) = self else {
            return false;
        };
        group.upgrade().is_none_or(|group| group.with_state(|state| state.retired))
    }
}

/// One member to probe, with the times of its probes.
#[derive(Clone, Debug)]
pub(crate) struct ProbeTarget {
    pub group: GroupName,
    pub member: MemberName,
    pub address: SocketAddr,
    pub login: Login,
    /// Time from one probe to the next.
    pub interval: Duration,
    /// Longest wait for an answer.
    pub timeout: Duration,
    /// Recipient of the results in addition to the control service.
    pub recipient: ProbeRecipient,
}

/// Probes one member until the task is stopped or its group is no longer in use. Reports changes of health to
/// the control service.
pub(crate) async fn run(target: ProbeTarget, observations: mpsc::UnboundedSender<Observation>) {
    let mut connection = None;
    let mut last_health = None;
    let mut ticks = interval(target.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let status = probe(&target, &mut connection).await.ok();
        match &target.recipient {
            ProbeRecipient::ControlOnly => {}
            ProbeRecipient::Group(group) => match group.upgrade() {
                Some(group) => apply_probe(&group, &target.member, status.as_ref()),
                None => return,
            },
        }
        if target.recipient.is_retired() {
            // The new owner reports the member's health to the control service.
            continue;
        }
        let health = health_of(status.as_ref());
        if last_health != Some(health) {
            last_health = Some(health);
            let group = target.group.clone();
            let member = target.member.clone();
            // The receiver is gone only while the proxy stops.
            let _ = observations.send(Observation { group, member, health });
        }
    }
}

/// Probes the member once. If the connection broke since the last probe, opens a new one immediately.
async fn probe(
    target: &ProbeTarget,
    cached: &mut Option<ServerConnection>,
) -> Result<MemberStatus, ConnectionError> {
    if let Some(mut connection) = cached.take() {
        match query_status(&mut connection, target.timeout).await {
            Ok(status) => {
                *cached = Some(connection);
                return Ok(status);
            }
            Err(ConnectionError::TimedOut) => return Err(ConnectionError::TimedOut),
            Err(_) => {}
        }
    }
    let connect_timeout = target.timeout.min(CONNECT_TIMEOUT);
    let connect = ServerConnection::connect(target.address, &target.login);
    let connected = tokio::time::timeout(connect_timeout, connect).await;
    let mut connection = connected.unwrap_or(Err(ConnectionError::TimedOut))?;
    let status = query_status(&mut connection, target.timeout).await?;
    *cached = Some(connection);
    Ok(status)
}

async fn query_status(
    connection: &mut ServerConnection,
    timeout: Duration,
) -> Result<MemberStatus, ConnectionError> {
    let rows = connection.query(SHOW_STATUS, timeout).await?;
    let row = rows.into_iter().next().unwrap_or_default();
    let columns: Vec<Option<&str>> = row.iter().map(Option::as_deref).collect();
    Ok(MemberStatus::from_columns(&columns)?)
}

fn health_of(status: Option<&MemberStatus>) -> MemberHealth {
    let Some(status) = status else {
        return MemberHealth::Unreachable;
    };
    match status.role {
        MemberRole::Primary => MemberHealth::Primary(status.promised_term),
        MemberRole::Replica => MemberHealth::Replica(status.promised_term),
        MemberRole::Fenced => MemberHealth::Fenced(status.promised_term),
    }
}

/// Updates the group's state of a member with the result of a probe, and wakes the tasks that wait for a
/// change.
fn apply_probe(group: &Arc<Group>, member: &MemberName, status: Option<&MemberStatus>) {
    group.record_probe(member, status.is_some());
    let view = group.view();
    let is_primary = view.primary.as_ref() == Some(member);
    let led_term = status.filter(|status| status.role == MemberRole::Primary);
    let led_term = led_term.map(|status| status.promised_term);
    let probe = ProbeResult { is_primary, answered: status.is_some(), led_term };
    let changed = group.with_state(|state| {
        let before = state.routing.member(member).cloned().unwrap_or_default();
        let position = status.map(|status| status.applied_position);
        state.routing.set_reachable(member, status.is_some());
        state.routing.set_primary_term(member, led_term);
        if position.is_some() {
            // A restarted member may be behind the position that it reported earlier.
            state.routing.reset_position(member, position);
        }
        if let Some(suspect) = primary_is_suspect(probe, view.term) {
            state.primary_suspect = suspect;
        }
        before.reachable != status.is_some() || (position.is_some() && before.position != position)
    });
    if changed {
        group.notify_member_changed();
    }
    group.grant_slots();
}
