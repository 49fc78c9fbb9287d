//! Registry of back ends: documents, heartbeats, promotions and cell repair.

mod cell_joining;
mod cell_repair;
mod documents;
mod heartbeats;
mod promotion;
mod support;
mod synchronous;
