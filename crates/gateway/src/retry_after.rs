//! Default retry times for refused callers, and the text of a refusal.
//!
//! A queue or a limit that can estimate when there will be room gives its own time instead
//! ([`corktack_core::scheduling`], [`corktack_core::limits`]).

use std::fmt::Display;
use std::time::Duration;

/// Retry time if a member is unreachable or there is none: half of the time in which a primary is usually
/// replaced (0.3 to 1 s, plus the time to detect its failure). With a lower value callers retry while the
/// primary is still being replaced; with a higher one they miss the first moments of the new primary.
pub(crate) const UNREACHED_MEMBER: Duration = Duration::from_millis(250);
/// Retry time if no other gateway has reported when it may have room: a few times the usual duration of a
/// statement. With a lower value callers retry at the same full members; with a higher one room is left
/// unused.
pub(crate) const NO_ROOM_REPORTED: Duration = Duration::from_millis(100);
/// Retry time if the gateway that counts a tenant's operations doesn't answer in time. With a lower value
/// callers retry before the next gateway has taken over the count; with a higher one they wait needlessly.
pub(crate) const HOME_UNANSWERED: Duration = Duration::from_millis(500);
/// Retry time if the configuration isn't confirmed as current: gateways change to another control replica in
/// this time. With a lower value callers retry before the change; with a higher one they wait needlessly.
pub(crate) const UNCONFIRMED: Duration = Duration::from_secs(1);
/// Retry time if there is no configuration yet. After a loss of all machines of a large deployment it comes
/// 0.4 to 1.1 s after the start, of which callers have already waited a part.
pub(crate) const NO_CONFIGURATION: Duration = Duration::from_millis(500);
/// Retry time of a caller whose gateway stops: other gateways serve it at once.
pub(crate) const GATEWAY_STOPS: Duration = Duration::from_millis(10);

/// Retry time of a caller that was refused because connections or memory for callers run short. With a lower
/// value refused callers come back before others have left; with a higher one they wait although there is room.
pub(crate) const CLIENT_LIMITS: Duration = Duration::from_millis(250);

/// Returns the text of a refusal, which promises that the operation did not run.
pub(crate) fn not_run(why: impl Display, retry_after: Duration) -> String {
    format!("not run: {why}; retry_after_ms={}", retry_after.as_millis())
}
