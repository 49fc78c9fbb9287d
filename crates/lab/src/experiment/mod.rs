//! Experiments: each runs a load on a fleet, checks the results and prints its figures.

pub mod failover;
pub mod profile_load;
