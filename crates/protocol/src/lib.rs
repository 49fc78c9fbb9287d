//! Messages between corktack's own processes and the frames that carry them.
//!
//! A connection carries frames (see [`frame`]) of one message type a direction:
//! [`peer`] between an edge proxy and an owner proxy, [`control`] between a proxy
//! and a control replica, [`cell`] between control replicas.

pub mod cell;
pub mod control;
pub mod frame;
pub mod liveness;
pub mod peer;
pub mod tunnel;
