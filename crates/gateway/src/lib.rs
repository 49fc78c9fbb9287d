//! Gateway that serves callers' sessions from pooled connections to registered back ends (members).
//!
//! Some gateways hold a share of a member's connections. The shares are spread so that the loss of one
//! gateway stops no group, and so that reads stay in their zone. The other gateways run their statements on
//! these connections, through tunnels. The caller of [`Gateway::start`] passes in the codec ([`Wire`]). The
//! decisions are made in [`corktack_core::gateway`], [`corktack_core::registry`],
//! [`corktack_core::scheduling`] and [`corktack_core::limits`]. A gateway runs on the arbiter that starts it:
//! its state isn't shared between threads, and no `RefCell` borrow is held across an await.
//!
//! # Path of a statement
//!
//! 1. `handle` accepts the caller's connection and spawns `session::serve`, which reads messages, answers
//!    them in order, and ends sessions at a planned stop (`drain`).
//! 2. `session` keeps the caller's session values, commit positions and transaction, and asks `routes` for
//!    the caller's current route, group and principal. `routes` applies configuration changes and passes the
//!    registered members to each group (`routes::membership`).
//! 3. `limits` counts the operation against its tenant's limit, at this gateway or at the tenant's home in
//!    the zone, and may refuse it.
//! 4. `session::alone` runs a statement outside a transaction (`session::read` retries a read at one member
//!    after the other), `session::opening` begins a transaction with its first statement, and
//!    `session::transaction` runs the later statements and the commit or rollback.
//! 5. Each of these modules passes a connection request to the `group`: `group::choice` chooses a member,
//!    `group::wait` queues by priority class, and `group::connect` opens a connection of this gateway. If
//!    this gateway holds no connections to the member, `group::remote` asks the gateways that do, through
//!    `tunnel`; at such a gateway `holder` passes the request to its own group and runs the statement.
//! 6. `run` aligns the connection with the session's values and forwards the statement, on a `group::lease`.
//!    `connection` and `answer` implement one exchange with the member, `transport` carries its bytes, and
//!    `dial` opens connections.
//! 7. `group::notes` records the result for the `member` (connection pool, pauses, load). The caller gets a
//!    `session::response`; operators get `metrics` and the log line of `session::decision`.
//!
//! A refusal says that nothing ran and when to retry (`retry_after`). The reason is an `AcquireError` or a
//! `RefusalReason` of `error`. Apart from statements, `ask` sends requests to members on behalf of control.
//!
//! Dependencies between modules go one way: `handle` uses `session` and `holder`, which use `shared`,
//! `routes`, `limits` and `run`, which use `group`, which uses `member`, `tunnel`, `dial` and `connection`.

mod answer;
mod ask;
mod byte_budget;
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

pub use ask::{request_status, resume_replication};
pub use error::{GatewayError, WireError};
pub use group::MemberReach;
pub use handle::{Gateway, GatewayHandle, GatewayLinks, GatewayListeners};
pub use limits::{LimitUpdate, LimitsLink};
pub use settings::GatewaySettings;
pub use wire::Wire;
