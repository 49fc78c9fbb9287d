//! Deterministic simulation and model checking of the core.
