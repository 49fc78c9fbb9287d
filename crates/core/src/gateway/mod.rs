//! Routing decisions of a gateway: the position a read must see, the member a request is sent to,
//! the pauses after failures, and the gateways that hold connections to each member.
//!
//! The types here own what one gateway has observed of members and of other gateways. They live in
//! memory only, and each gateway decides for itself. They rely on the gateway crate for statements,
//! messages and the clock, and on the view from the control service for the gateways and members
//! that exist.
//!
//! - Reads: `freshness` (the position that a member must hold), `member_estimate` (the observed
//!   latency and success of a member), `reader_choice` and `member_choice` (the member that gets a
//!   read), `preference` (tie-breaking among equal members).
//! - Writes: `primary_choice` (the member that is tried as primary).
//! - Load: `flight_limit` (limit of in-flight statements at a member).
//! - Failures: `member_pauses` (back-off after a failure of a member), `silence` (detection of a
//!   member that accepts connections but answers nothing), `detour` (requests to an unreachable
//!   primary through other gateways), `peers` and `round_trip` (gateways that don't answer),
//!   `fallback` and `remote_attempt` (what a gateway does when no holder serves).
//! - Connections: `holders` (which gateways hold connections to a member), `profile` (session
//!   values and prepared statements on pooled connections).

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

pub use detour::{IndirectRoute, IndirectRouteStep};
pub use fallback::{FALLBACK_CONNECTIONS, FallbackPeriod, ObservationPeriod};
pub use flight_limit::InFlightLimit;
pub use freshness::{
    FloorBasis, Freshness, KnownPosition, OwnPosition, POSITION_RETENTION, PositionSource,
    PositionTooOld, ReadBound, ReadPosition,
};
pub use holders::{
    CONNECTIONS_PER_SHARE, GatewayLocation, Holder, HolderChoice, HolderTable, MemberCapacity,
    holder_count, holder_order, home_weight, zone_quotas,
};
pub use member_choice::{MemberLoad, choose_reader};
pub use member_estimate::{MemberEstimate, ReportedLoad};
pub use member_pauses::{ClockInstant, MemberPauses};
pub use peers::PeerTable;
pub use preference::{Preference, ReaderPreferences};
pub use primary_choice::{PrimaryCandidate, PrimaryEvidence, choose_primary};
pub use profile::{ConnectionProfile, SessionFull, SessionProfile, UnknownPreparedStatement};
pub use reader_choice::{ReaderCandidate, choose_available_reader};
pub use remote_attempt::{RemoteAttempt, RemoteFailure};
pub use round_trip::RoundTrip;
pub use silence::SilenceDetector;
