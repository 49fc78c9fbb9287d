//! Runs the processes of corktack: settings, telemetry, and the wiring of every role.

pub mod data_folder;
pub mod listeners;
pub mod manifest;
pub mod settings;
pub mod telemetry;
pub mod watch_client;
