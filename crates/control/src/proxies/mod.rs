//! The watch of the proxies: snapshots, deltas, heartbeats and their summaries.
//!
//! This module serves the connections of proxies and keeps the table of the connected proxies. The feed
//! provides the changes; the consensus thread confirms that this replica is current.

mod accept;
mod connection;
mod connection_error;
mod hello;
mod proofs;
mod server;
mod table;

pub(crate) use accept::accept_proxies;
pub(crate) use proofs::CurrencyChecks;
pub(crate) use server::ProxyServer;
pub(crate) use table::{ProxyTable, send_summaries};
