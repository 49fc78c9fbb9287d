//! Failover of a group's primary, decided by the leader of the control cell.
//!
//! [`FailoverManager`] exists on the leader only and is created anew when a replica
//! becomes leader. The control state stores what must survive a change of leader: the
//! term and the primary of each group. A group has no primary while a failover is under way.
//!
//! Safety rests on two invariants:
//!
//! 1. One entry of the control log begins a term, and only the leader that
//!    proposed that entry and saw it committed acts on the term. A leader that
//!    finds an unfinished failover waits for a primary of its term, and begins a
//!    higher term when no primary appears.
//! 2. In one term at most one member is ever asked to become primary, after a
//!    majority of the members was fenced at exactly that term.
//!
//! So no term has two primaries, and a primary of an older term cannot reach a majority.
//!
//! The module takes terms from the control log and the health of members from proxies and from its
//! own probes, and relies on the members to keep their promises. `manager` holds all groups and
//! `monitor` one group; `decide` holds the rules, `suspicion` the failure detection, `procedure`
//! the steps to a new primary, and `evidence` the observations of members.

mod calls;
mod decide;
mod evaluation;
mod evidence;
mod manager;
mod monitor;
mod procedure;
mod settings;
mod suspicion;

pub use calls::{CallFailure, CallTarget, FailoverAction, FailoverEvent, FenceAnswer, ProposalId};
pub use evidence::MemberHealth;
pub use manager::FailoverManager;
pub use settings::FailoverSettings;
