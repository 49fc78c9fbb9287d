//! Messages between corktack's own processes and the frames that carry them.
//!
//! The crate defines the types of these messages and makes no decisions. `corktack_core` provides the types
//! inside the messages. The order of variants and fields is part of the wire format (`bincode`); their
//! names are not.
//!
//! A connection carries frames (see [`frame`]) of one message type in each direction:
//!
//! | module | from | to | serves |
//! | --- | --- | --- | --- |
//! | [`peer`] | edge of a proxy | owner of a group, and back | PostgreSQL callers |
//! | [`tunnel`] | gateway that needs a connection or a count | gateway that holds it, and back | the platform's callers |
//! | [`control`] | proxy or gateway | control replica that it watches, and back | both |
//! | [`cell`] | control replica | control replica | both |
//!
//! [`liveness`] sets when the kernel treats one of these connections as lost.

pub mod cell;
pub mod control;
pub mod frame;
pub mod liveness;
pub mod peer;
pub mod tunnel;
