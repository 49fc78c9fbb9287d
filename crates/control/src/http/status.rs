//! The status page.
//!
//! Owns how long a proof may take before the page is marked as not current. Relies on the leader for the
//! revisions in force on proxies; where it does not answer, none are shown.

use super::answer::ErrorAnswer;
use super::operators::Operators;
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

/// Longest wait for a proof; after it the page shows what the replica has, marked as not current. Chosen, not
/// measured; a lower value marks more pages during an election, a higher one lets operators wait.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);

/// What the page takes from the control state.
#[derive(Clone, Debug)]
struct StatePart {
    revision: Revision,
    groups: Vec<GroupBody>,
    proxies: Vec<(ProxyName, ProxyView)>,
}

/// What the replica knows; without a proof that it is current it says so.
pub(super) async fn status(operators: web::Data<Operators>) -> Result<HttpResponse, ErrorAnswer> {
    let proven = timeout(PROOF_TIMEOUT, operators.consensus.read(read_state)).await;
    let (state, current) = match proven {
        Ok(Ok(state)) => (state, true),
        _ => (operators.consensus.peek(read_state).await?, false),
    };
    let revisions = operators.consensus.proxy_revisions().await;
    let status = operators.status.borrow().clone();
    let body = assemble(&operators, &status, state, revisions, current);
    Ok(HttpResponse::Ok().json(body))
}

fn read_state(reader: StateReader<'_>) -> StatePart {
    let proxies = reader.state.proxies().map(|(name, view)| (name.clone(), view.clone()));
    StatePart {
        revision: reader.state.view_revision(),
        groups: groups(reader.state),
        proxies: proxies.collect(),
    }
}

fn groups(state: &ControlState) -> Vec<GroupBody> {
    let group = |(name, group): (&corktack_core::identity::GroupName, &GroupRecord)| GroupBody {
        name: name.clone(),
        primary: group.view.primary.clone(),
        term: group.view.term,
        owner: group.view.owner.clone(),
        failing_over: group.view.primary.is_none(),
    };
    state.groups().map(group).collect()
}

fn assemble(
    operators: &Operators,
    status: &ReplicaStatus,
    state: StatePart,
    revisions: Result<ProxyRevisions, RequestError>,
    current: bool,
) -> StatusBody {
    let revisions = revisions.unwrap_or_default();
    let proxies: Vec<ProxyBody> =
        state.proxies.into_iter().map(|(name, view)| proxy(name, view, &revisions)).collect();
    StatusBody {
        cell: operators.cell.0.clone(),
        replica: operators.replica,
        role: status.role.into(),
        term: status.term,
        leader: status.leader,
        current,
        revision: state.revision,
        members: members(&status.cell),
        in_force: in_force(state.revision, &proxies),
        proxies,
        groups: state.groups,
    }
}

/// A revision reported in an earlier incarnation of the process does not count.
fn proxy(name: ProxyName, view: ProxyView, revisions: &ProxyRevisions) -> ProxyBody {
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

fn members(cell: &CellConfig) -> Vec<CellMemberBody> {
    let voters = cell.voters.iter().map(|member| (member, true));
    let learners = cell.learners.iter().map(|member| (member, false));
    let body = |(member, voter): (&corktack_core::consensus::CellMember, bool)| CellMemberBody {
        id: member.id,
        address: member.address,
        voter,
    };
    voters.chain(learners).map(body).collect()
}

fn in_force(revision: Revision, proxies: &[ProxyBody]) -> InForceBody {
    let counted: Vec<_> = proxies.iter().filter(|proxy| proxy.state != ProxyState::Down).collect();
    let lacks = |proxy: &&&ProxyBody| proxy.revision.is_none_or(|applied| applied < revision);
    let missing: Vec<ProxyName> =
        counted.iter().filter(lacks).map(|proxy| proxy.name.clone()).collect();
    let of = counted.len();
    let on = of - missing.len();
    InForceBody { revision, on, of, summary: summary(on, of, &missing), missing }
}

fn summary(on: usize, of: usize, missing: &[ProxyName]) -> String {
    let names: Vec<&str> = missing.iter().map(ProxyName::as_str).collect();
    match names.is_empty() {
        true => format!("in force on {on} of {of} proxies"),
        false => format!("in force on {on} of {of} proxies, not on: {}", names.join(", ")),
    }
}
