//! Sessions of callers served from pooled connections to registered back ends.
//!
//! Every gateway holds a share of each member's connections, so that no loss of one gateway stops
//! a group and reads stay in their zone. The wire is a [`Wire`] handed in; the decisions are
//! those of [`corktack_core::gateway`] and [`corktack_core::registry`]. A gateway runs on the
//! arbiter that starts it.

mod answer;
mod ask;
mod clock;
mod connection;
mod dial;
mod drain;
mod error;
mod group;
mod handle;
mod holder;
mod limits;
mod lone_statement;
mod member;
mod metrics;
mod retry_after;
mod routes;
mod run;
mod session;
mod settings;
mod shared;
mod transport;
mod tunnel;
mod wire;

pub use ask::{ask_status, release};
pub use error::{GatewayError, WireError};
pub use group::MemberReach;
pub use handle::{Gateway, GatewayHandle, GatewayLinks, GatewayListeners};
pub use limits::{LimitNews, LimitsLink};
pub use settings::GatewaySettings;
pub use wire::Wire;
