//! Limits how many operations a tenant may begin, over all gateways together.
//!
//! `account` and `gateway` hold what each gateway may begin; `ledger` holds what the leader of the
//! control cell has allocated to the gateways. Only ceilings are written to the replicated log. The
//! caller supplies the current leader, the rates in force and the incarnations of gateways that exist.
//!
//! A tenant's rate and burst determine its *window limit* `L`: the operations that may begin in any
//! span of one window ([`LimitBounds::window_limit`]). The leader grants *allowances* to gateways: a
//! gateway with the allowance `a` begins at most `a` operations in any window. An allowance is a lease:
//! it expires [`LimitBounds::allowance_life`] after the gateway asked for it, on the gateway's own
//! clock.
//!
//! In each zone one gateway, the tenant's *home* there, counts the tenant's operations for all gateways
//! of the zone: near a limit a few large allowances can be used up completely, where hundreds of small
//! ones would each leave a remainder unused (`docs/design/limits.md`). Safety doesn't depend on which
//! gateways are homes: every gateway begins only what its allowance permits.
//!
//! # Invariant
//!
//! At any moment the sum of the allowances that can still be used and of the operations that revoked or
//! expired allowances may have let begin within the last window is at most `L`. Hence no window holds
//! more than `L` operations.
//!
//! The invariant follows from these rules:
//!
//! 1. A gateway counts an operation before it sends the operation to a member, and never reports less as
//!    held than the operations that it has begun within the last window ([`GatewayLimits`]).
//! 2. The leader books each gateway with the largest allowance that the gateway may hold: the amount in
//!    its last report, and every allowance sent to it that the report did not acknowledge
//!    ([`LimitLedger`]).
//! 3. The operations that a terminated process may have begun stay booked for one window after the
//!    process ended. The leader uses the time at which it learned of the end, or an earlier time if the
//!    successor process reports an uptime that proves one. The allowance of a silent process stays
//!    booked until its lease has expired, plus one window.
//! 4. Before the bookings of a tenant exceed its *ceiling*, a higher ceiling is committed to the log. A
//!    new leader assumes that the whole ceiling is allocated, and subtracts only what gateways report
//!    to it.
//! 5. A report names the term of the leader that it is addressed to. From then on the gateway accepts
//!    allowances of that term only, so that a replaced leader cannot grant anything that the new leader
//!    doesn't know of.
//!
//! Clocks may have different origins, and their rates may differ by 1 %.

mod account;
mod bounds;
mod gateway;
mod ledger;
mod messages;
mod sliding_window;

pub use account::{AdmittedOperations, OperationOutcome, OperationRequestNumber, OverLimit};
pub use bounds::LimitBounds;
pub use gateway::{GatewayLimits, LimitTotals, OperationRequest, SettledRequest};
pub use ledger::{
    CeilingChange, GatewayIncarnation, LedgerAnswer, LimitLedger, LimitTerms, TenantUse,
    default_ceiling,
};
pub use messages::{
    AllowanceDemand, AllowanceGrant, AllowanceRecall, AllowanceReport, TenantAllowance,
};
pub use sliding_window::SlidingWindowCounter;
