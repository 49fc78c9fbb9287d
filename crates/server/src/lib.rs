//! Runs the processes of corktack: settings, telemetry, and the wiring of every role.
//!
//! Relies on `corktack_control`, `corktack_edge`, `corktack_owner` and `corktack_gateway` for what the roles do;
//! owns where their settings come from, how they are connected, and when they start and stop.

pub mod client;
pub mod control;
pub mod deployment;
pub mod dev;
pub mod explain;
pub mod listeners;
pub mod manifest;
pub mod proxy;
pub mod settings;
pub mod signals;
pub mod telemetry;
pub mod watch_client;
