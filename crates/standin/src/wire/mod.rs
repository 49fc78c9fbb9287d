//! The PostgreSQL wire protocol of a member.
//!
//! Owns startup, messages and cancellation of callers' connections; relies on `pgwire` for the encoding and
//! on the session for the answers.

pub mod cancel;
pub mod connection;
pub mod encode;
pub mod extended;
pub mod startup;
pub mod stream;
