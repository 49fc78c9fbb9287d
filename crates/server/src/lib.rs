//! Runs the processes of corktack: settings, telemetry, and the wiring of every role.

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
