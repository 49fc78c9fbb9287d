//! Registration of back ends by heartbeat, and the configuration as one versioned document.
//!
//! Besides the resources that operators declare one by one, a deployment may submit its whole
//! configuration as one [`Document`] and let its back ends register by heartbeat. Both are
//! part of the control state: a change is acknowledged only once the log has committed it.
//!
//! [`RegistryState`] holds the document in force, the registered back ends, the promotion decisions
//! and the ceilings of tenants' limits. The cell's log orders all changes. The leader replaces
//! primaries (`promotion`) and cell replicas (`cell_repair`) on the basis of this state.

mod back_end;
mod cell_joining;
mod cell_repair;
mod cell_repair_duty;
mod document;
mod document_change;
mod promotion;
mod state;

pub use crate::consensus::CellMemberHealth;
pub use back_end::{BackEndReport, BackEndRole, BackEndState, RegisteredBackEnd};
pub use cell_joining::{JoinReason, OwnMembership, join_reason};
pub use cell_repair::{CellRepair, CellRepairSettings, ShortageReason, VoterShortage};
pub use cell_repair_duty::CellRepairDuty;
pub use document::{
    Consistency, Document, DocumentError, DocumentLimits, RouteRule, ServiceRule, StoredDocument,
};
pub use document_change::{DocumentChange, DocumentChangeError};
pub use promotion::{
    GatewayContact, MemberAnswer, PromotionAction, PromotionAnswer, PromotionManager,
    PromotionSettings, ReachReport,
};
pub use state::{
    DocumentReplaced, Promotion, RegistryChanges, RegistryCommand, RegistryOutcome, RegistryState,
};
