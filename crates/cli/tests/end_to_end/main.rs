//! The whole of corktack as `dev` runs it, used by a real client and by the program itself.

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
