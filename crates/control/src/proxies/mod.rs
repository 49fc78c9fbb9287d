//! The watch of the proxies: snapshots, deltas, heartbeats and their summary.
//!
//! Owns the connections of proxies and the table of who is connected here. Relies on the feed for the
//! changes, and on the consensus thread for proofs that this replica is current.

mod accept;
mod connection;
mod connection_error;
mod hello;
mod proofs;
mod server;
mod table;

pub(crate) use accept::accept_proxies;
pub(crate) use proofs::Proofs;
pub(crate) use server::ProxyServer;
pub(crate) use table::{ProxyTable, send_summaries};
