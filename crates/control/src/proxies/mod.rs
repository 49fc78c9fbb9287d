//! The watch of the proxies: snapshots, deltas, heartbeats and their summary.

mod connection;
mod proofs;
mod server;
mod table;

pub(crate) use proofs::Proofs;
pub(crate) use server::{ProxyServer, accept_proxies};
pub(crate) use table::{ProxyTable, send_summaries};
