//! Back ends that register themselves, and the configuration as one versioned document.
//!
//! Beside the resources that operators declare one by one, a deployment may hand its whole
//! configuration over as one [`Document`] and let its back ends register by heartbeat. Both are
//! part of the control state: a change is acknowledged only once the log has committed it.
//!
//! Owns the document in force, the registered back ends, the decisions on who leads and the ceilings of limits
//! ([`RegistryState`]); beside it what the leader decides from them (`promotion`, `cell_repair`). Relies on the
//! log of the cell for order.

mod back_end;
mod cell_repair;
mod document;
mod document_change;
mod promotion;
mod state;

pub use crate::consensus::CellMemberHealth;
pub use back_end::{BackEndReport, BackEndRole, BackEndState, RegisteredBackEnd};
pub use cell_repair::{CellRepair, CellRepairSettings};
pub use document::{
    Consistency, Document, DocumentError, DocumentLimits, RouteRule, ServiceRule, StoredDocument,
};
pub use document_change::{DocumentChange, DocumentChangeError};
pub use promotion::{
    GatewayContact, MemberAnswer, PromotionAction, PromotionAnswer, PromotionDuty,
    PromotionSettings, ReachReport,
};
pub use state::{
    DocumentReplaced, Promotion, RegistryChanges, RegistryCommand, RegistryOutcome, RegistryState,
};
