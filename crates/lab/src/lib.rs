//! Load and failover tests on fleets of real processes on loopback.
//!
//! The lab measures the PostgreSQL data path (edge, owner, stand-in members) over links with latency and
//! faults, and compares the answers that callers got with the contents of the databases. It owns the processes
//! that it starts, the links between them and the files of a run, and relies on the programs `corktack` and
//! `corktack-standin` in the folder of its own executable. The soak test uses only [`process`] and [`link`].
//!
//! The rule that a process starts no other process applies to the product; the lab starts whole fleets of it.

pub mod experiment;
pub mod fleet;
pub mod link;
pub mod load;
pub mod process;
pub mod profile;
