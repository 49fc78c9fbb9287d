//! Who gets the next slot of a member when slots run short.
//!
//! Statements wait at the gateways that hold connections to a member, not at the member, which serves in
//! the order of arrival. [`SlotQueue`] serves class before class. Inside a class the tenants share the
//! time of the slots evenly, whatever their statements last and however many they send; inside a tenant
//! the statement goes first whose time to wait ends first. What cannot get a slot in its time is refused
//! when it comes, by the times that statements take, what waits before it and what higher classes and other
//! tenants have asked for lately; and it is told when the queue is likely to have room.

mod offered;
mod queue;
mod service_time;

pub use queue::{Capacity, NoSlotInTime, SlotQueue, SlotRequest, SlotTarget, SlotTicket};
pub use service_time::{ServiceTimes, StatementKind};
