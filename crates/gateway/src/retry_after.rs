//! When a caller that was refused should come back, where nobody could tell it better.
//!
//! It is for the answers to callers. It owns these times, and the form in which callers read them. A queue or
//! a limit that can tell when there will be room tells its own time instead
//! ([`corktack_core::scheduling`], [`corktack_core::limits`]).

use std::fmt::Display;
use std::time::Duration;

/// A member is out of reach, or there is none: half of the time in which a primary of the users' deployments
/// is replaced (0.3 to 1 s and what it takes to be sure). Chosen by that, not measured: lower, callers come
/// back while it is still being replaced; higher, they miss the first moments of the new one.
pub(crate) const UNREACHED_MEMBER: Duration = Duration::from_millis(250);
/// No other gateway has said when it may have room: a few times as long as the users' statements last.
/// Chosen, not measured: lower, callers come back to the same full members; higher, room is left unused.
pub(crate) const NO_ROOM_REPORTED: Duration = Duration::from_millis(100);
/// The gateway that counts a tenant's operations gives no answer in time. Chosen, not measured: lower,
/// callers come back before the next gateway has taken over the count; higher, they wait for no reason.
pub(crate) const HOME_UNANSWERED: Duration = Duration::from_millis(500);
/// Nothing proves that the configuration is current: gateways change their control replica in that time.
/// Chosen, not measured: lower, callers come back before the change; higher, they stay away after it.
pub(crate) const UNCONFIRMED: Duration = Duration::from_secs(1);
/// There is no configuration yet. After a loss of all machines of the users' large deployments it came 0.4
/// to 1.1 s after the start, of which callers have waited a part. Chosen by that, not measured by itself.
pub(crate) const NO_CONFIGURATION: Duration = Duration::from_millis(500);

/// What a caller is told of something that did not run.
pub(crate) fn not_run(why: impl Display, retry_after: Duration) -> String {
    format!("not run: {why}; retry_after_ms={}", retry_after.as_millis())
}
