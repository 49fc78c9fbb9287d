//! Runs the processes of corktack: reads their settings, sets up telemetry and connects the parts of every
//! role.
//!
//! `corktack_control`, `corktack_edge`, `corktack_owner` and `corktack_gateway` implement the roles; this
//! crate decides where their settings come from, how they are connected, and when they start and stop.

pub mod client;
pub mod control;
pub mod deployment;
pub mod dev;
pub mod disk_wait;
pub mod explain;
pub mod listeners;
pub mod manifest;
pub mod proxy;
pub mod settings;
pub mod signals;
pub mod telemetry;
pub mod watch_client;
