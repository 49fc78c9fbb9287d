//! Decisions of a gateway: how fresh a member must be, how a pooled connection is brought to a
//! session's state, which member a read is offered to, and who waits before whom.

mod detour;
mod freshness;
mod member_choice;
mod profile;
mod shares;
mod silence;
mod wait_queue;

pub use detour::{Detour, DetourStep};
pub use freshness::{
    FloorBasis, Freshness, KnownPosition, POSITION_RETENTION, PositionSource, PositionTooOld,
};
pub use member_choice::{Distance, MemberLoad, choose_reader};
pub use profile::{ConnectionProfile, SessionProfile, UnknownName};
pub use shares::{CONNECTIONS_PER_SHARE, asking_order, holder_count, holders};
pub use silence::Silence;
pub use wait_queue::{Ticket, WaitQueue, WaitingFor};
