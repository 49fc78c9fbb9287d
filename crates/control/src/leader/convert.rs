//! From messages and answers to the core's events.
//!
//! Owns nothing and decides nothing; a failure that the core does not tell apart becomes one.

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

pub(super) fn observed(proxy: ProxyName, observation: Observation) -> FailoverEvent {
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
        Operation::Probe => FailoverEvent::Probed { group, member, status: status(answer) },
        Operation::Fence(term) => {
            FailoverEvent::Fenced { group, member, term, result: fenced(answer) }
        }
        Operation::Promote(term) => {
            FailoverEvent::Promoted { group, member, term, result: promoted(answer) }
        }
    }
}

type Answer = Result<BackEndAnswer, BackEndError>;

fn status(answer: Answer) -> Option<MemberStatus> {
    match answer {
        Ok(BackEndAnswer::Status(status)) => Some(status),
        _ => None,
    }
}

fn fenced(answer: Answer) -> Result<FenceAnswer, CallFailure> {
    match answer {
        Ok(BackEndAnswer::Fenced { promised, last_position }) => {
            Ok(FenceAnswer { promised, last_position })
        }
        Ok(_) => Err(CallFailure::Failed),
        Err(error) => Err(failure(&error)),
    }
}

fn promoted(answer: Answer) -> Result<Position, CallFailure> {
    match answer {
        Ok(BackEndAnswer::Promoted(position)) => Ok(position),
        Ok(_) => Err(CallFailure::Failed),
        Err(error) => Err(failure(&error)),
    }
}

fn failure(error: &BackEndError) -> CallFailure {
    match error {
        BackEndError::TermTooLow => CallFailure::HigherTerm(None),
        _ => CallFailure::Failed,
    }
}

/// Whether a gateway reached a registered back end.
pub(super) fn reach_report(gateway: &ProxyName, observation: &Observation) -> ReachReport {
    ReachReport {
        gateway: gateway.clone(),
        group: observation.group.clone(),
        member: observation.member.clone(),
        reached: observation.health != MemberHealth::Unreachable,
    }
}
