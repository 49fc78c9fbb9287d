//! Sessions of callers served from pooled connections to registered back ends.
//!
//! Some gateways hold a share of a member's connections, spread so that no loss of one gateway stops a group
//! and reads stay in their zone; the others run their statements through those, over tunnels. The wire is a
//! [`Wire`] handed in; the decisions are those of [`corktack_core::gateway`], [`corktack_core::registry`],
//! [`corktack_core::scheduling`] and [`corktack_core::limits`]. A gateway runs on the arbiter that starts it:
//! nothing here is shared between threads, and what is borrowed is given back before anything is awaited.
//!
//! # The way of a statement
//!
//! 1. `handle` accepts the caller's connection and spawns `session::serve`, which reads messages, answers
//!    them in order, and ends sessions at a planned stop (`drain`).
//! 2. `session` keeps the caller's values, its own commits and its transaction, and asks `routes` what the
//!    caller may do now: its route, its group, on whose behalf. `routes` follows the configuration and hands
//!    each group what the registry says of its members (`routes::membership`).
//! 3. `limits` counts the operation against its tenant's limit, here or at the tenant's home in the zone; the
//!    caller may be refused here.
//! 4. `session::alone` runs a statement outside a transaction (`session::read` offers a read to one member
//!    after the other), `session::opening` begins a transaction with its first statement,
//!    `session::transaction` runs the others and the end.
//! 5. Each of them makes a connection request of its statement and hands it to the `group`: `group::choice`
//!    picks a member, `group::wait` waits for room by priority class, `group::connect` opens a connection
//!    of this gateway. Where this gateway holds none, `group::remote` asks the gateways that do, through
//!    `tunnel`; there `holder` takes it to its own group and runs it.
//! 6. `run` brings the connection to the session's values and passes the statement on, on a `group::lease`;
//!    `connection` and `answer` are one exchange with the member, `transport` the way of its bytes, `dial` how
//!    a connection begins.
//! 7. What came back goes to `group::notes`, which tells the `member`: its pool, its pauses, its load. The
//!    caller gets a `session::response`, operators get `metrics` and the line of `session::decision`.
//!
//! A refusal says that nothing ran and when to come back: `retry_after`. Why one was refused is an
//! `AcquireError` or a `RefusalReason` of `error`. Beside the statements, `ask` puts control's questions to
//! members.
//!
//! The modules use each other in one direction: `handle` over `session` and `holder`, these over `shared`,
//! `routes`, `limits` and `run`, those over `group`, and that over `member`, `tunnel`, `dial` and
//! `connection`.

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
