//! Deterministic simulation and model checking of the core.
//!
//! [`model`] explores small specifications of the protocols exhaustively;
//! [`run`] runs the core itself under faults drawn by seed, on a virtual clock.

pub mod limits;
pub mod model;
pub mod run;
