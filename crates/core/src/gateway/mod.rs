//! Decisions of a gateway: how fresh a member must be, how a pooled connection is brought to a
//! session's state, which member a read is offered to, and which gateways hold connections to it.
//!
//! Owns what one gateway has seen of members and of other gateways, in memory only; each gateway decides for
//! itself. Relies on the gateway crate for statements, messages and the clock, and on the view of control for
//! which gateways and members there are.
//!
//! - Reads: `freshness` (which position a member must hold), `member_estimate` (what a member has shown),
//!   `member_choice` (which of them is taken), `preference` (who is taken among equals).
//! - Load: `flight_limit` (statements under way at a member).
//! - Failures: `silence` (a member that answers nothing), `detour` (a primary that is not reached),
//!   `peers` and `round_trip` (gateways that don't answer).
//! - Connections: `holders` (which gateways have them), `profile` (a session's values on them).

mod detour;
mod flight_limit;
mod freshness;
mod holders;
mod member_choice;
mod member_estimate;
mod peers;
mod preference;
mod profile;
mod round_trip;
mod silence;

pub use detour::{Detour, DetourStep};
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
pub use peers::PeerTable;
pub use preference::{Preference, ReaderPreferences};
pub use profile::{ConnectionProfile, SessionProfile, UnknownName};
pub use round_trip::RoundTrip;
pub use silence::Silence;
