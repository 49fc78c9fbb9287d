//! The commands of the program, one a module.
//!
//! Each takes its flags and the client, writes to the output and gives the exit code. What a change means is
//! decided by the servers.

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
