//! The commands of the program, one in each module.
//!
//! A command takes its flags, writes to the output and returns the exit code; commands that talk to servers
//! also take a client. The servers decide what a change does.

pub(crate) mod apply;
pub(crate) mod cell;
pub(crate) mod check;
pub(crate) mod control;
pub(crate) mod delete;
pub(crate) mod dev;
mod error;
pub(crate) mod explain;
pub(crate) mod get;
pub(crate) mod proxy;
pub(crate) mod status;
pub(crate) mod watch;

pub(crate) use error::CommandError;
