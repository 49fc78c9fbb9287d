//! Decision logic of corktack, without input or output.
//!
//! Everything here is a deterministic state machine: it takes events and an
//! explicit [`time::Timestamp`], and returns actions for a shell to perform.
//! Nothing blocks, reads a clock, opens a file or draws ambient randomness,
//! so the same code runs in the server and in the simulator.
//!
//! - What control agrees on: [`consensus`] (the log), [`state`], [`resources`], [`registry`], [`tenancy`],
//!   [`view`] and [`watch`] (what proxies get of it).
//! - What the cell's leader decides: [`membership`] (who is live), [`ownership`] (who owns a group),
//!   [`failover`] and [`registry`]'s promotions (who is primary), [`limits`] (what tenants may begin).
//! - What a gateway decides: [`gateway`] (members, holders, freshness), [`scheduling`] (who gets a slot),
//!   [`limits`].
//! - What an owner and an edge decide (the PostgreSQL road): [`admission`], [`routing`], [`pool`], [`session`],
//!   [`classify`], [`binding`], [`backend`].

pub mod admission;
pub mod backend;
pub mod binding;
pub mod classify;
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
pub mod time;
pub mod view;
pub mod watch;
