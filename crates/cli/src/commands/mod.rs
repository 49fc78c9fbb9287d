//! The commands of the program, one a module.

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
