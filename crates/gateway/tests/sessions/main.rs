//! Tests of sessions, run against stand-in members over real sockets.

mod addresses;
mod caller;
mod client_limits;
mod doubt;
mod draining;
mod holders;
mod kept_out;
mod limits;
mod member;
mod openings;
mod questions;
mod restarts;
mod routing;
mod state;
mod stopping;
mod tenants;
mod tunnels;
mod wire;
mod witnesses;
mod world;
