//! How many operations a tenant may begin, over all gateways together.
//!
//! Limits of tenants that hold over the whole fleet. Owns what each gateway may begin (`account`,
//! `gateway`) and what the leader has given (`ledger`); only ceilings are in the log. Relies on control
//! for the leader, for the rates in force, and for which incarnations of gateways there are.
//!
//! A tenant's rate and burst make its *window limit* `L`: the operations that may begin in any span of
//! one window ([`LimitBounds::window_limit`]). The leader of the control cell gives gateways
//! *allowances*: a gateway with the allowance `a` begins at most `a` operations in any window. An
//! allowance is a lease: it ends [`LimitBounds::allowance_life`] after the gateway asked for it, on the
//! gateway's own clock.
//!
//! In each zone one gateway counts a tenant's operations for all, its *home* there: near a limit a few
//! holders use it up where hundreds of small allowances would each have something left
//! (`docs/design/limits.md`). Nothing below rests on who the homes are: a gateway begins only what it was
//! given.
//!
//! # Invariant
//!
//! At any moment the allowances that can still be used, and what ones that were taken back may have let
//! begin within the last window, add up to at most `L`. Then no window holds more than `L` operations.
//!
//! It rests on these rules:
//!
//! 1. A gateway counts an operation before it sends it to a member, and lowers its allowance at most to
//!    what it has begun within the last window ([`GatewayLimits`]).
//! 2. The leader books a gateway with the largest allowance that the gateway may hold: what it reported
//!    last, and every allowance sent to it that the report did not answer ([`LimitLedger`]).
//! 3. What a process that is gone may have begun stays booked for one window after it has ended: by the
//!    time that is known, or earlier by as long as its successor says that it has been running. What one
//!    that is silent holds stays booked until its lease has ended and a window more.
//! 4. Before the bookings of a tenant exceed its *ceiling*, a higher ceiling is in the log. A new leader
//!    books the whole ceiling as given by others, and takes off only what gateways report to it.
//! 5. A report names the term of the leader that it is for. From then on its gateway takes allowances of
//!    that term only, so that a leader that was replaced gives nothing that the new one does not know.
//!
//! Clocks may differ in their origin, and by a hundredth in their rate.

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
pub use sliding_window::SlidingWindowCount;
