//! Scale runs: hollow nodes in one process against real control replicas.
//!
//! A hollow node runs the real watch of control over a real connection and keeps the
//! whole configuration, but has no callers and no connections to back ends. Hollow back
//! ends answer what control asks a member; see the `back_end` module.

pub mod back_end;
pub mod fit;
pub mod group;
pub mod hollow_fleet;
pub mod loss;
pub mod node;
pub mod nodes;
pub mod observe;
pub mod plan;
pub mod proxy;
pub mod restarts;
pub mod run;
pub mod samples;
pub mod second_observers;
pub mod zone_loss;
