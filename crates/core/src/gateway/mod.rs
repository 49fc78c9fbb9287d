//! Decisions of a gateway: how fresh a member must be, how a pooled connection is brought to a
//! session's state, which member a request is offered to, for how long one is left alone after trouble, and
//! which gateways hold connections to it.
//!
//! Owns what one gateway has seen of members and of other gateways, in memory only; each gateway decides for
//! itself. Relies on the gateway crate for statements, messages and the clock, and on the view of control for
//! which gateways and members there are.
//!
//! - Reads: `freshness` (which position a member must hold), `member_estimate` (what a member has shown),
//!   `reader_choice` and `member_choice` (which of them is taken), `preference` (who is taken among equals).
//! - Writes: `primary_choice` (which member is tried as primary).
//! - Load: `flight_limit` (statements under way at a member).
//! - Failures: `member_pauses` (a member after trouble), `silence` (a member that answers nothing), `detour` (a
//!   primary that is not reached), `peers` and `round_trip` (gateways that don't answer), `fallback` and
//!   `remote_attempt` (what is done where no holder serves).
//! - Connections: `holders` (which gateways have them), `profile` (a session's values on them).

mod detour;
mod fallback;
mod flight_limit;
mod freshness;
mod holders;
mod member_choice;
mod member_estimate;
mod member_pauses;
mod peers;
mod preference;
mod primary_choice;
mod profile;
mod reader_choice;
mod remote_attempt;
mod round_trip;
mod silence;

pub use detour::{Detour, DetourStep};
pub use fallback::{FALLBACK_CONNECTIONS, FallbackPeriod, WitnessPeriod};
pub use flight_limit::FlightLimit;
pub use freshness::{
    FloorBasis, Freshness, KnownPosition, OwnPosition, POSITION_RETENTION, PositionSource,
    PositionTooOld, ReadBound, ReadPosition,
};
pub use holders::{
    CONNECTIONS_PER_SHARE, GatewayPlace, Holder, HolderChoice, HolderTable, MemberNeeds,
    asking_order, holder_count, home_weight, zone_quotas,
};
pub use member_choice::{MemberLoad, choose_reader};
pub use member_estimate::{MemberEstimate, ReportedLoad};
pub use member_pauses::{ClockInstant, MemberPauses};
pub use peers::PeerTable;
pub use preference::{Preference, ReaderPreferences};
pub use primary_choice::{PrimaryCandidate, PrimaryEvidence, choose_primary};
pub use profile::{ConnectionProfile, SessionProfile, UnknownName};
pub use reader_choice::{ReaderCandidate, choose_available_reader};
pub use remote_attempt::{RemoteAttempt, RemoteFailure};
pub use round_trip::RoundTrip;
pub use silence::Silence;
