//! The control state: what the replicated log agrees on.
//!
//! [`command`] holds what may be proposed. The state machine that applies
//! commands is deterministic: every replica that applied the same entries holds
//! the same state and gave the same outcomes.

pub mod command;
