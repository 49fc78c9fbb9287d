//! Experiments: what is run and checked together, and the figures that it prints.

pub mod failover;
pub mod profile_load;
