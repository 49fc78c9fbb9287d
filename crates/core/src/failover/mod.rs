//! Changes of a group's primary, decided by the leader of the control cell.
//!
//! [`FailoverManager`] lives on the leader only and is made afresh when a replica
//! becomes leader. What must survive is in the control state: the term of a group
//! and its primary, none while a failover is under way.
//!
//! Safety rests on two invariants:
//!
//! 1. A term is begun by one entry of the control log, and only the leader that
//!    proposed that entry and saw it committed acts on the term. A leader that
//!    finds a failover half done waits for a primary of its term, and begins a
//!    higher term when there is none.
//! 2. In one term at most one member is ever asked to become primary, after a
//!    majority of the members was fenced at exactly that term.
//!
//! So no term has two primaries, and a primary of an older term reaches no majority.
//!
//! Relies on the control log for terms, on proxies and on probes of its own for the health of members, and on
//! the members to keep their promises. `manager` holds all groups, `monitor` one group, `decide` its rules,
//! `suspicion` who counts as failed, `procedure` the steps to a new primary, `evidence` what is known.

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
