//! The lab: links that fail, processes of a fleet, load, checks and reports.
//!
//! "A process starts no other process" binds the product; the lab is what starts
//! fleets of it.

pub mod experiment;
pub mod fleet;
pub mod link;
pub mod load;
pub mod process;
pub mod profile;
pub mod report;
pub mod scale;
pub mod usage;
