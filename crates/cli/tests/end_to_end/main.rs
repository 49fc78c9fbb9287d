//! End-to-end tests: a PostgreSQL client and the `corktack` program against every role, as `corktack dev`
//! runs them.

mod authentication;
mod callers;
mod cell;
mod errors;
mod limits;
mod operators;
mod processes;
mod sessions;
mod stops;
mod support;
