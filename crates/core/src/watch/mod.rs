//! What watchers are told: recent deltas for proxies, events for operators.
//!
//! Both are bounded logs kept in memory by each control replica beside the
//! control state. They are not part of it: a replica that restarted, or that
//! installed a snapshot, starts with empty ones, and a watcher that asks for
//! more than they hold starts over from a whole view or list.
//!
//! Owns the logs; relies on the control state for every change, in the order of revisions.

mod deltas;
mod events;
mod log;

pub use deltas::{DELTA_CHANGE_LIMIT, DeltaLog, WatchCursor, WatchStep};
pub use events::{EVENT_LIMIT, EventKind, OperatorEvents, ResourceEvent};
pub use log::TooOld;
