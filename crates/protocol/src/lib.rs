//! Messages between corktack's own processes and the frames that carry them.
//!
//! The crate owns the forms of these messages, and decides nothing. It relies on `corktack_core` for the types
//! inside them. The order of variants and fields is part of the wire's form (`bincode`); names are not.
//!
//! A connection carries frames (see [`frame`]) of one message type a direction:
//!
//! | module | from | to | on the road of |
//! | --- | --- | --- | --- |
//! | [`peer`] | edge of a proxy | owner of a group, and back | PostgreSQL callers |
//! | [`tunnel`] | gateway that needs a connection or a count | gateway that holds it, and back | the platform's callers |
//! | [`control`] | proxy or gateway | control replica that it watches, and back | both |
//! | [`cell`] | control replica | control replica | both |
//!
//! [`liveness`] says when the kernel counts one of these connections as lost.

pub mod cell;
pub mod control;
pub mod frame;
pub mod liveness;
pub mod peer;
pub mod tunnel;
