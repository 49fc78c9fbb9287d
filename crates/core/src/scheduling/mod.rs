//! Who gets the next slot of a member when slots run short.
//!
//! Statements wait at the gateways that hold connections to a member, not at the member, which serves in
//! the order of arrival. [`SlotQueue`] serves class before class. Inside a class the tenants share the
//! time of the slots evenly, whatever their statements last and however many they send; inside a tenant
//! the statement goes first whose time to wait ends first. What cannot get a slot in its time is refused
//! when it comes, by the times that statements take, what waits before it and what higher classes and other
//! tenants have asked for lately; and it is told when the queue is likely to have room.
//!
//! Owns the queue of one group at one gateway, in memory only. Relies on the gateway for free slots, the
//! clock and wakers.
//!
//! [`crate::admission`] is the other wait queue, of the PostgreSQL road, where one owner has all connections
//! of a group. They decide differently: there a class has a guaranteed share of grants and of places, a full
//! queue gives up a lower request for a higher one, and tenants aren't known; here classes are strict,
//! tenants share inside one, and nothing that waits is given up for what comes later. They stay two because
//! one queue for both would change who is served and who is refused on one of the roads.

mod class;
mod likely_wait;
mod offered;
mod queue;
mod request;
mod service_time;

pub use queue::SlotQueue;
pub use request::{Capacity, NoSlotInTime, SlotRequest, SlotTarget, SlotTicket};
pub use service_time::{ServiceTimes, StatementKind};
