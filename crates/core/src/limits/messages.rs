//! Messages about limits between gateways and the leader: reports and grants.
//!
//! The messages travel between processes in an encoding by position, so the order and number of their
//! fields must not change. [`super::gateway`] and [`super::ledger`] process them.

use crate::identity::{Incarnation, ProxyName};
use crate::position::Term;
use crate::tenancy::TenantName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a gateway holds of one tenant's limit, and what it could use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceDemand {
    /// Tenant whose limit is concerned.
    pub tenant: TenantName,
    /// Operations that the gateway may begin in a window; it begins no more until it gets another
    /// allowance.
    pub held: u64,
    /// Operations that the gateway needs: those begun within the last window, and those that wait.
    pub needed: u64,
    /// Operations that the gateway could use in a window, including headroom for new operations that
    /// should begin without waiting for the leader.
    pub wanted: u64,
}

/// Report from a gateway to the leader of a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceReport {
    /// Gateway that reports.
    pub gateway: ProxyName,
    /// Incarnation of the gateway's process.
    pub incarnation: Incarnation,
    /// Term of the leader that the report is addressed to; from now on the gateway accepts allowances
    /// of no other term.
    pub term: Term,
    /// Sequence number, which rises with each report of this incarnation.
    pub sequence: u64,
    /// Uptime of this incarnation: its predecessor ended before it started.
    pub uptime: Duration,
    /// Number of the newest grant of this term that the gateway has applied.
    pub last_applied_grant: u64,
    /// Whether the report is full: the gateway holds nothing beyond what is reported here.
    pub is_full: bool,
    /// Demands, one for each reported tenant.
    pub demands: Vec<AllowanceDemand>,
}

/// Allowance of a gateway from one tenant's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantAllowance {
    /// Tenant whose limit is concerned.
    pub tenant: TenantName,
    /// Operations that the gateway may begin in any window.
    pub operations: u64,
    /// Window limit of all gateways together from which the allowance was computed. Where the gateway
    /// knows a lower limit, the allowance is reduced in proportion.
    pub window_limit: u64,
    /// Whether the leader is about to grant more: other gateways have been asked to give some back.
    pub more_follows: bool,
    /// Time until more can be granted, where less is granted than is wanted because operations begun by
    /// terminated processes may still count; none where there is another reason, or the time is
    /// unknown.
    pub more_available_after: Option<Duration>,
}

/// Upper bound for a gateway's allowance, sent because other gateways need part of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceRecall {
    /// Tenant whose limit is concerned.
    pub tenant: TenantName,
    /// Operations that the gateway may begin in any window at most.
    pub kept: u64,
}

/// Message from the leader to a gateway: an answer to a report, or lower allowances because others need
/// some of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceGrant {
    /// Gateway that the grant is addressed to.
    pub gateway: ProxyName,
    /// Incarnation that the grant is addressed to.
    pub incarnation: Incarnation,
    /// Term of the leader.
    pub term: Term,
    /// Number of the grant, which rises with each grant of a term to a gateway.
    pub number: u64,
    /// Sequence number of the newest report that the grant is based on: the life of the allowances
    /// counts from the time at which that report was made.
    pub report_sequence: u64,
    /// Whether the leader first wants a full report of everything that the gateway holds.
    pub wants_full_report: bool,
    /// Allowances, each of which replaces the previous one of its tenant.
    pub allowances: Vec<TenantAllowance>,
    /// Upper bounds for allowances, applied where an allowance is higher.
    pub recalls: Vec<AllowanceRecall>,
}
