//! The lab: fleets of real processes on loopback, links that fail, load and checks of what callers were told.
//!
//! It measures and checks the PostgreSQL road (edge, owner, stand-in members). It owns the processes that it
//! starts, the links between them and the files of a run; it relies on the programs `corktack` and
//! `corktack-standin` beside its own. The soak uses [`process`] and [`link`] alone.
//!
//! "A process starts no other process" binds the product; the lab is what starts fleets of it.

pub mod experiment;
pub mod fleet;
pub mod link;
pub mod load;
pub mod process;
pub mod profile;
