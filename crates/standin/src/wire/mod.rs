//! The PostgreSQL wire protocol of a member.

pub mod cancel;
pub mod connection;
pub mod encode;
pub mod extended;
pub mod startup;
pub mod stream;
