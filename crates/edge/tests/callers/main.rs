//! What callers of an edge meet, by concern.
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
