//! Handler of the status page.
//!
//! The page is marked as not current if the replica cannot confirm that it is current. The revisions in force
//! on the proxies come from the leader; if the leader does not respond, the page shows none.

use super::answer::ErrorAnswer;
use super::operators::OperatorContext;
use crate::api::{CellMemberBody, GroupBody, InForceBody, ProxyBody, StatusBody};
use crate::consensus::{ProxyRevisions, ReplicaStatus, StateReader};
use crate::error::RequestError;
use actix_web::{HttpResponse, web};
use corktack_core::consensus::CellConfig;
use corktack_core::identity::ProxyName;
use corktack_core::state::{ControlState, GroupRecord};
use corktack_core::view::{ProxyState, ProxyView, Revision};
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of the confirmation that the replica is current; after it the page shows the local state, marked
/// as not current. A shorter timeout marks more pages during an election; a longer one delays operators.
const CURRENT_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The part of the control state that the page shows.
#[derive(Clone, Debug)]
struct StateSummary {
    revision: Revision,
    groups: Vec<GroupBody>,
    proxies: Vec<(ProxyName, ProxyView)>,
}

/// Returns the status as this replica knows it; the body says whether the replica confirmed that it is
/// current.
pub(super) async fn status(
    operators: web::Data<OperatorContext>,
) -> Result<HttpResponse, ErrorAnswer> {
    let confirmed_read = timeout(CURRENT_READ_TIMEOUT, operators.consensus.read(read_state)).await;
    let (state, current) = match confirmed_read {
        Ok(Ok(state)) => (state, true),
        _ => (operators.consensus.read_local(read_state).await?, false),
    };
    let revisions = operators.consensus.proxy_revisions().await;
    let status = operators.status.borrow().clone();
    let body = status_body(&operators, &status, state, revisions, current);
    Ok(HttpResponse::Ok().json(body))
}

fn read_state(reader: StateReader<'_>) -> StateSummary {
    let proxies = reader.state.proxies().map(|(name, view)| (name.clone(), view.clone()));
    StateSummary {
        revision: reader.state.view_revision(),
        groups: group_bodies(reader.state),
        proxies: proxies.collect(),
    }
}

fn group_bodies(state: &ControlState) -> Vec<GroupBody> {
    let group = |(name, group): (&corktack_core::identity::GroupName, &GroupRecord)| GroupBody {
        name: name.clone(),
        primary: group.view.primary.clone(),
        term: group.view.term,
        owner: group.view.owner.clone(),
        failing_over: group.view.primary.is_none(),
    };
    state.groups().map(group).collect()
}

fn status_body(
    operators: &OperatorContext,
    status: &ReplicaStatus,
    state: StateSummary,
    revisions: Result<ProxyRevisions, RequestError>,
    current: bool,
) -> StatusBody {
    let revisions = revisions.unwrap_or_default();
    let proxies: Vec<ProxyBody> =
        state.proxies.into_iter().map(|(name, view)| proxy_body(name, view, &revisions)).collect();
    StatusBody {
        cell: operators.cell.0.clone(),
        replica: operators.replica,
        role: status.role.into(),
        term: status.term,
        leader: status.leader,
        current,
        revision: state.revision,
        members: member_bodies(&status.cell),
        in_force: in_force_body(state.revision, &proxies),
        proxies,
        groups: state.groups,
    }
}

/// Describes a proxy. A revision reported in an earlier incarnation of the proxy process is ignored.
fn proxy_body(name: ProxyName, view: ProxyView, revisions: &ProxyRevisions) -> ProxyBody {
    let reported = revisions.get(&name);
    let reported = reported.filter(|(incarnation, _)| *incarnation == view.incarnation);
    ProxyBody {
        revision: reported.map(|(_, revision)| *revision),
        name,
        incarnation: view.incarnation,
        address: view.address,
        zone: view.zone,
        state: view.state,
    }
}

fn member_bodies(cell: &CellConfig) -> Vec<CellMemberBody> {
    let voters = cell.voters.iter().map(|member| (member, true));
    let learners = cell.learners.iter().map(|member| (member, false));
    let body = |(member, voter): (&corktack_core::consensus::CellMember, bool)| CellMemberBody {
        id: member.id,
        address: member.address,
        voter,
    };
    voters.chain(learners).map(body).collect()
}

fn in_force_body(revision: Revision, proxies: &[ProxyBody]) -> InForceBody {
    let counted: Vec<_> = proxies.iter().filter(|proxy| proxy.state != ProxyState::Down).collect();
    let lacks_revision =
        |proxy: &&&ProxyBody| proxy.revision.is_none_or(|applied| applied < revision);
    let missing: Vec<ProxyName> =
        counted.iter().filter(lacks_revision).map(|proxy| proxy.name.clone()).collect();
    let of = counted.len();
    let on = of - missing.len();
    InForceBody { revision, on, of, summary: in_force_summary(on, of, &missing), missing }
}

fn in_force_summary(on: usize, of: usize, missing: &[ProxyName]) -> String {
    let names: Vec<&str> = missing.iter().map(ProxyName::as_str).collect();
    match names.is_empty() {
        true => format!("in force on {on} of {of} proxies"),
        false => format!("in force on {on} of {of} proxies, not on: {}", names.join(", ")),
    }
}
