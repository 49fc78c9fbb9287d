//! Change logs for watchers: recent deltas for proxies, events for operators.
//!
//! Each control replica keeps both logs in memory, with a bounded size. The logs are not
//! part of the control state: a replica that restarted, or that installed a snapshot,
//! starts with empty logs, and a watcher that asks for older changes than the log holds
//! starts over from a whole view or list.
//!
//! The control state supplies every change, in the order of revisions.

mod deltas;
mod events;
mod log;

pub use deltas::{DELTA_CHANGE_LIMIT, DeltaLog, WatchCursor, WatchStep};
pub use events::{EVENT_LIMIT, EventKind, OperatorEvents, ResourceEvent};
pub use log::TooOld;
