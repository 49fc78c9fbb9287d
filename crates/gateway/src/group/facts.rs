//! State of a group and its members in the registry, as the routes pass it to
//! [`Group::apply_update`](super::Group::apply_update).

use crate::member::MemberShare;
use corktack_core::identity::MemberName;
use corktack_core::registry::{Promotion, RegisteredBackEnd};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Members of a group and its promotion under way, as the registry has them.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupUpdate {
    pub(crate) members: BTreeMap<MemberName, MemberUpdate>,
    pub(crate) promotion: Option<Promotion>,
}

/// Registration of a member, and the gateways that hold connections to it.
#[derive(Clone, Debug)]
pub(crate) struct MemberUpdate {
    pub(crate) back_end: Arc<RegisteredBackEnd>,
    pub(crate) share: MemberShare,
}
