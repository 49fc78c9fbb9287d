//! Scale runs: hollow nodes in one process against real control replicas.
//!
//! A hollow node runs the real watch of control over a real connection and keeps the
//! whole configuration, but has no callers and no connections to back ends.

pub mod fit;
pub mod node;
pub mod plan;
pub mod proxy;
pub mod run;
