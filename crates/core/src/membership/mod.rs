//! Liveness of the proxies, as the leader of the control cell determines it.
//!
//! [`Membership`] exists on the leader only and is created anew when a replica
//! becomes leader; every proxy in the control state then has a grace period for its
//! first heartbeat. Heartbeats alone decide which proxies are live. The platform's list is a
//! hint: a machine that it lists as leaving is drained at once, but a machine that it lists
//! as live is still declared down if its heartbeats are missing.
//!
//! When over half of the proxies miss their heartbeats together, the likelier
//! cause is that this leader was itself frozen or cut off. The leader then declares no
//! proxy down for a further grace period, in which the delayed heartbeats arrive.
//!
//! The module holds the last heartbeat of each proxy. The control state says which proxies exist,
//! and the changes that the module finds go into the log as commands.

mod platform;
mod tracker;

pub use platform::PlatformList;
pub use tracker::{InForce, Membership, MembershipSettings, ProxyHeartbeat};
