//! Behaviour of the edge as callers see it, one module for each topic.
#![allow(clippy::unwrap_used)]

#[path = "../support/mod.rs"]
mod support;

mod drain;
mod flush;
mod flush_lost;
mod hostile;
mod link;
mod protocol;
mod refused;
mod retries;
mod startup;
mod tokens;
mod uncertain;
