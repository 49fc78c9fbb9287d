//! What gateways and the leader say to each other about limits.
//!
//! The forms of reports and grants. They travel between processes: order and number of fields stay.
//! What each side does with them is in [`super::gateway`] and [`super::ledger`].

use crate::identity::{Incarnation, ProxyName};
use crate::position::Term;
use crate::tenancy::TenantName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a gateway holds of one tenant's limit, and what it could use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceDemand {
    /// The tenant.
    pub tenant: TenantName,
    /// Operations that it may begin in a window: never more until it gets another allowance.
    pub held: u64,
    /// Operations that it needs: those begun within the last window, and those that wait.
    pub needed: u64,
    /// Operations that it could use in a window, for those that come to begin at once.
    pub wanted: u64,
}

/// From a gateway to the leader of a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceReport {
    /// The gateway.
    pub gateway: ProxyName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Term of the leader that this is for; the gateway takes allowances of no other from now on.
    pub term: Term,
    /// Rises with each report of this incarnation.
    pub sequence: u64,
    /// How long this incarnation had been running: the one before it ended earlier.
    pub running: Duration,
    /// Number of the newest grant of this term that the gateway has taken.
    pub taken: u64,
    /// Whether the gateway holds nothing beside what is reported here.
    pub whole: bool,
    /// Tenants.
    pub demands: Vec<AllowanceDemand>,
}

/// What a gateway may use of one tenant's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantAllowance {
    /// The tenant.
    pub tenant: TenantName,
    /// Operations that the gateway may begin in any window.
    pub operations: u64,
    /// Operations that all gateways may begin in a window, by which this was worked out. Where the
    /// gateway knows a lower limit, the allowance falls in proportion.
    pub window_limit: u64,
    /// Whether the leader is about to give more: others are asked to give some back.
    pub more_follows: bool,
    /// After how long more can be given, where less is given than is wanted since processes that are over
    /// may have begun operations that still count; none where it is not that, or not known.
    pub more_after: Option<Duration>,
}

/// What a gateway may keep of an allowance, for the sake of others that need some of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceRecall {
    /// The tenant.
    pub tenant: TenantName,
    /// Operations that the gateway may begin in any window at most.
    pub kept: u64,
}

/// From the leader to a gateway: an answer to a report, or lower allowances that others need.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceGrant {
    /// The gateway.
    pub gateway: ProxyName,
    /// The incarnation that it is for.
    pub incarnation: Incarnation,
    /// Term of the leader.
    pub term: Term,
    /// Rises with each grant of a term to a gateway.
    pub number: u64,
    /// Sequence of the newest report that it goes by: the life of the allowances counts from when that
    /// was made.
    pub answers: u64,
    /// Whether the leader wants a report of everything that the gateway holds first.
    pub wants_whole: bool,
    /// Allowances, each in place of the one before.
    pub allowances: Vec<TenantAllowance>,
    /// Allowances that are lowered, if they are higher.
    pub recalls: Vec<AllowanceRecall>,
}
