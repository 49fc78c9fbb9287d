//! Every time after which the edge tries again or gives up, in one place.
//!
//! The module owns these figures and decides nothing; it relies on no other module. Beside them stand the
//! limits of the settings ([`EdgeSettings`](crate::EdgeSettings)): `request_timeout` bounds the wait
//! for an owner together with all retries of a request, and then the wait for each message of its answer;
//! `startup_timeout`, `unfinished_batch_timeout` and `drain_timeout` bound what their names say.
//! How many retries a group has is in [`corktack_core::retry::RetryBudget`].

use std::time::Duration;

/// Bound of the wait before a request is sent again for the first time: drawn between its half and itself;
/// the bound doubles with each further retry. Chosen, not measured: a lower one asks an owner that changes
/// more often for nothing, a higher one adds its wait to requests that a second try would answer.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(10);

/// Largest bound of that wait. Chosen, not measured: a lower one hammers a group during a change of primary,
/// with a higher one callers notice the end of the change later. A new configuration ends the wait at once.
pub const LAST_BACKOFF: Duration = Duration::from_millis(500);

/// Hint to a caller, in milliseconds, when to come back after its group's owner could not be reached. Chosen,
/// not measured: lower values bring callers back while the owner is still being replaced, higher ones keep
/// them away after it was.
pub const OWNER_RETRY_MS: u32 = 250;

/// Hint to a caller, in milliseconds, when to connect again after the connection limit was reached. Chosen,
/// not measured: lower values spend accepts on callers that are refused again, higher ones leave places that
/// came free unused.
pub const CONNECTION_RETRY_MS: u32 = 1_000;

/// Longest wait for a connection to an owner and the owner's name on it. Chosen, not measured: a lower one
/// gives up owners behind a slow link, a higher one holds requests longer that could have another owner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without acknowledgement of sent bytes after which the kernel gives a connection to an owner up.
/// Chosen, not measured: with a lower one a short loss of packets costs all streams of the connection, with
/// a higher one writes to an owner whose machine is gone stay without an answer for longer.
pub const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(4);

/// Pause of the accept loop after the listener failed, for instance for want of file descriptors. Chosen, not
/// measured: a lower one is close to a busy loop, a higher one delays new callers after the want is over.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for the first message of a caller that is refused, and the time that a drain leaves a caller
/// that has not started its session. Chosen, not measured: with a lower one callers far away see a reset in
/// place of the refusal, a higher one lengthens a drain.
pub const REFUSAL_WAIT: Duration = Duration::from_secs(1);

/// Longest wait for a caller to close after its last message. Chosen, not measured: with a lower one a reset
/// may overtake the message to a caller far away, a higher one holds sockets of callers that never close.
pub const LINGER: Duration = Duration::from_secs(1);

/// Longest wait of a drain that timed out for sessions that were told to end at once. Chosen, not measured: it
/// has to be longer than [`LINGER`]; higher values hold a process up whose sessions do not end.
pub const ENDING_LIMIT: Duration = Duration::from_secs(5);
