//! Decision logic of corktack, without input or output.
//!
//! Each component is a deterministic state machine: it takes events and an explicit [`time::Timestamp`],
//! and returns actions that the calling process performs. No code in this crate blocks, reads a clock,
//! opens a file or uses a global random number generator, so the same code runs in the server and in the
//! simulator.
//!
//! - State replicated by the control replicas: [`consensus`] (the log), [`state`], [`resources`],
//!   [`registry`], [`tenancy`], [`view`] and [`watch`] (the parts that proxies receive).
//! - Decisions of the cell's leader: [`membership`] (which proxies are live), [`ownership`] (which proxy owns
//!   a group), [`failover`] and the promotions of [`registry`] (which member is primary), [`limits`] (which
//!   operations tenants may start).
//! - Decisions of a gateway: [`gateway`] (members, holders, freshness), [`scheduling`] (which request gets a
//!   slot), [`limits`].
//! - Decisions of every process with clients outside the deployment: [`clients`] (whose connection is closed
//!   when connections or memory run short).
//! - Decisions of an owner and an edge, which serve the PostgreSQL protocol: [`admission`], [`routing`],
//!   [`pool`], [`session`], [`classify`], [`binding`], [`backend`].

pub mod admission;
pub mod backend;
pub mod binding;
pub mod classify;
pub mod clients;
pub mod consensus;
pub mod distance;
pub mod failover;
pub mod gateway;
pub mod identity;
pub mod limits;
pub mod list_difference;
pub mod map_difference;
pub mod membership;
pub mod ownership;
pub mod pool;
pub mod position;
pub mod registry;
pub mod resources;
pub mod retry;
pub mod routing;
pub mod scheduling;
pub mod session;
pub mod state;
pub mod statement;
pub mod tenancy;
pub mod text;
pub mod time;
pub mod view;
pub mod watch;
