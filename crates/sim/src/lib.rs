//! Deterministic simulation and model checking of the core.
//!
//! [`model`] explores small specifications of the protocols exhaustively;
//! [`run`] runs the core itself under faults drawn by seed, on a virtual clock.
//!
//! [`limits`] runs the core's books of tenants' limits in the same way. The crate owns the models round the
//! core and the checkers; it relies on the core, on the protocol's encoding and on the storage's memory disk,
//! and does no input or output but the printing of its command line.

pub mod limits;
pub mod model;
pub mod run;
