//! The registry of back ends: documents, heartbeats, promotions, the repair of the cell.

mod cell_repair;
mod documents;
mod heartbeats;
mod promotion;
mod support;
