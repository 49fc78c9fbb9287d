//! Wait queue for the slots of a member when all of them are in use.
//!
//! Statements wait at the gateways that hold connections to a member rather than at the member,
//! which serves them in order of arrival. [`SlotQueue`] serves priority classes strictly in order.
//! Within a class, tenants share the slot time evenly, however long their statements run and
//! however many they send; within a tenant, the statement with the earliest deadline goes first. A
//! statement that is not likely to get a slot before its deadline is refused on arrival, and its
//! caller is told when the queue is likely to have room. This decision rests on service times, the
//! work queued before the statement, and the recent load of higher classes and other tenants.
//!
//! [`SlotQueue`] owns the queue of one group at one gateway, in memory only. It relies on the
//! gateway for free slots, the clock and wakers.
//!
//! [`crate::admission`] is the other wait queue, for PostgreSQL sessions, where one owner has all
//! connections of a group. There, a class has a guaranteed share of the grants and of the queue's
//! places, a full queue displaces a request of a lower class for one of a higher class, and tenants
//! are unknown. Here, classes are strict, tenants share within a class, and no waiting request is
//! displaced. The two queues stay separate because a common one would change which requests are
//! served and which are refused on one of the two paths.

mod class;
mod likely_wait;
mod offered;
mod queue;
mod request;
mod service_time;

pub use queue::SlotQueue;
pub use request::{Capacity, NoSlotInTime, SlotRequest, SlotTarget, SlotTicket};
pub use service_time::{ServiceTimes, StatementKind};
