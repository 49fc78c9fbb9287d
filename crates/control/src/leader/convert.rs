//! Converts reports of proxies and answers of back ends into the core's types.
//!
//! Failures that the core doesn't distinguish become [`CallFailure::Failed`].

use crate::back_end::{BackEndAnswer, BackEndError, BackEndResult, Operation};
use corktack_core::backend::MemberStatus;
use corktack_core::failover::{CallFailure, FailoverEvent, FenceAnswer};
use corktack_core::identity::ProxyName;
use corktack_core::membership::ProxyHeartbeat;
use corktack_core::position::Position;
use corktack_core::registry::ReachReport;
use corktack_protocol::cell::ProxyReport;
use corktack_protocol::control::{MemberHealth, Observation};

pub(super) fn heartbeat(report: &ProxyReport) -> ProxyHeartbeat {
    ProxyHeartbeat {
        proxy: report.proxy.clone(),
        incarnation: report.incarnation,
        address: report.address,
        zone: report.zone.clone(),
        revision: report.revision,
        draining: report.draining,
    }
}

pub(super) fn observation_event(proxy: ProxyName, observation: Observation) -> FailoverEvent {
    let Observation { group, member, health } = observation;
    FailoverEvent::Observed { proxy, group, member, health: core_health(health) }
}

fn core_health(health: MemberHealth) -> corktack_core::failover::MemberHealth {
    match health {
        MemberHealth::Primary(term) => corktack_core::failover::MemberHealth::Primary(term),
        MemberHealth::Replica(term) => corktack_core::failover::MemberHealth::Replica(term),
        MemberHealth::Fenced(term) => corktack_core::failover::MemberHealth::Fenced(term),
        MemberHealth::Unreachable => corktack_core::failover::MemberHealth::Unreachable,
    }
}

pub(super) fn failover_event(result: BackEndResult) -> FailoverEvent {
    let BackEndResult { call, answer } = result;
    let (group, member) = (call.target.group, call.target.member);
    match call.operation {
        Operation::Probe => FailoverEvent::Probed { group, member, status: member_status(answer) },
        Operation::Fence(term) => {
            FailoverEvent::Fenced { group, member, term, result: fence_result(answer) }
        }
        Operation::Promote(term) => {
            FailoverEvent::Promoted { group, member, term, result: promotion_result(answer) }
        }
    }
}

type Answer = Result<BackEndAnswer, BackEndError>;

fn member_status(answer: Answer) -> Option<MemberStatus> {
    match answer {
        Ok(BackEndAnswer::Status(status)) => Some(status),
        _ => None,
    }
}

fn fence_result(answer: Answer) -> Result<FenceAnswer, CallFailure> {
    match answer {
        Ok(BackEndAnswer::Fenced { promised, last_position }) => {
            Ok(FenceAnswer { promised, last_position })
        }
        Ok(_) => Err(CallFailure::Failed),
        Err(error) => Err(call_failure(&error)),
    }
}

fn promotion_result(answer: Answer) -> Result<Position, CallFailure> {
    match answer {
        Ok(BackEndAnswer::Promoted(position)) => Ok(position),
        Ok(_) => Err(CallFailure::Failed),
        Err(error) => Err(call_failure(&error)),
    }
}

fn call_failure(error: &BackEndError) -> CallFailure {
    match error {
        BackEndError::TermTooLow => CallFailure::HigherTerm(None),
        _ => CallFailure::Failed,
    }
}

/// Returns whether a gateway reached a registered back end, as the promotion duty needs it.
pub(super) fn reach_report(gateway: &ProxyName, observation: &Observation) -> ReachReport {
    ReachReport {
        gateway: gateway.clone(),
        group: observation.group.clone(),
        member: observation.member.clone(),
        reached: observation.health != MemberHealth::Unreachable,
    }
}
