//! Deterministic simulation and model checking of the core.
//!
//! [`model`] explores small specifications of the protocols exhaustively;
//! [`model`] explores small specifications of the protocols exhaustively.
pub mod model;
