//! Timeouts, retry intervals and back-off bounds of the edge that are not settings.
//!
//! The settings ([`EdgeSettings`](crate::EdgeSettings)) add these timeouts: `request_timeout` bounds
//! the wait for an owner together with all retries of a request, and after that the wait for each
//! message of its answer; `startup_timeout`, `unfinished_batch_timeout` and `drain_timeout` bound what
//! their names say. [`corktack_core::retry::RetryBudget`] limits the number of retries of a group.

use std::time::Duration;

/// Upper bound of the back-off before the first retry of a request. The wait is drawn between half the
/// bound and the bound, and the bound doubles with each further retry. A lower one sends more useless
/// requests to an owner that is changing; a higher one delays requests that a second attempt would
/// answer.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(10);

/// Largest upper bound of the back-off. A lower one overloads a group during a change of primary; with
/// a higher one callers notice the end of the change later. A new configuration ends the wait at once.
pub const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Retry hint in milliseconds for callers whose group's owner could not be reached. A lower one brings
/// callers back while the owner is still being replaced; a higher one keeps them away after it was
/// replaced.
pub const OWNER_RETRY_AFTER_MS: u32 = 250;

/// Retry hint in milliseconds for callers refused at the connection limit. A lower one spends accepts
/// on callers that are refused again; a higher one leaves freed connections unused.
pub const CONNECTION_RETRY_AFTER_MS: u32 = 1_000;

/// Timeout for connecting to an owner and receiving its handshake. A shorter one abandons owners behind
/// a slow link; a longer one delays requests that could go to another owner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without acknowledgement of sent bytes after which the kernel closes a connection to an owner.
/// With a shorter one a brief loss of packets ends all streams of the connection; with a longer one
/// writes to an owner whose machine is gone stay unanswered for longer.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause of the accept loop after a failed accept, for instance for lack of file descriptors. A shorter
/// one is close to a busy loop; a longer one delays new callers once the shortage is over.
pub const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for the first message of a caller that is refused, and the time that a drain leaves callers
/// to complete their startup. With a shorter one distant callers see a connection reset in place of the
/// error; a longer one prolongs the drain.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to wait for a caller to close its side after a fatal error. With a shorter one a connection
/// reset may overtake the error to a distant caller; a longer one holds sockets of callers that never
/// close.
pub const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to wait, after the drain timeout, for sessions that were told to end at once. It must be longer
/// than [`LINGER_TIMEOUT`]; a longer one delays the end of a process whose sessions do not end.
pub const ENDING_TIMEOUT: Duration = Duration::from_secs(5);
