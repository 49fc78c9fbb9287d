//! Which proxies are alive, as the leader of the control cell judges.
//!
//! [`Membership`] lives on the leader only and is made afresh when a replica
//! becomes leader; every proxy in the control state then has a grace period for its
//! first heartbeat. Heartbeats alone decide who is live. The platform's list is a hint:
//! a machine that it calls leaving is obeyed at once, but one that it calls live
//! and that misses its heartbeats is down all the same.
//!
//! When over half of the proxies miss their heartbeats together, the likelier
//! cause is this leader itself, that was frozen or cut off. Then nobody is
//! declared down for a further grace period, in which the heartbeats that were
//! under way come in.
//!
//! Owns each proxy's last heartbeat. Relies on the control state for which proxies there are; what it finds goes into
//! the log as a command.

mod platform;
mod tracker;

pub use platform::PlatformList;
pub use tracker::{InForce, Membership, MembershipSettings, ProxyHeartbeat};
