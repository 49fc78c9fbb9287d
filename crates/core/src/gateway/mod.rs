//! Decisions of a gateway: how fresh a member must be, how a pooled connection is brought to a
//! session's state, which member a read is offered to, and who waits before whom.

mod detour;
mod freshness;
mod holders;
mod member_choice;
mod profile;
mod silence;
mod wait_queue;

pub use detour::{Detour, DetourStep};
pub use freshness::{
    FloorBasis, Freshness, KnownPosition, POSITION_RETENTION, PositionSource, PositionTooOld,
};
pub use holders::{
    CONNECTIONS_PER_SHARE, GatewayPlace, HolderTable, MemberNeeds, asking_order, holder_count,
    zone_quotas,
};
pub use member_choice::{MemberLoad, choose_reader};
pub use profile::{ConnectionProfile, SessionProfile, UnknownName};
pub use silence::Silence;
pub use wait_queue::{Ticket, WaitQueue, WaitingFor};
