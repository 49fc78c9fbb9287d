//! Experiments: what is run, measured and written down together.

pub mod failover;
pub mod profile_load;
