//! Simulation of the limits over all gateways: the core's books at gateways and leaders, a network that
//! delays, loses and reorders, clocks of their own, restarts, cuts, leaders that are replaced and go on
//! for a while, and limits that change. The checker counts what all gateways began in every window.

mod check;
mod gateway;
mod leader;
mod report;
mod variant;
mod world;

pub use check::WindowExceeded;
pub use report::{LimitsCounts, LimitsReport};
pub use variant::LimitsVariant;
pub use world::run;
