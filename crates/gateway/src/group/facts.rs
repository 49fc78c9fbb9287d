//! What the registry says of a group, as the routes hand it on.
//!
//! It is for [`Group::follow`](super::Group::follow). It owns only the form.

use crate::member::MemberShare;
use corktack_core::identity::MemberName;
use corktack_core::registry::{Promotion, RegisteredBackEnd};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What the registry says of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupFacts {
    pub(crate) members: BTreeMap<MemberName, MemberFacts>,
    pub(crate) promotion: Option<Promotion>,
}

/// What the registry says of a member, and who holds connections to it.
#[derive(Clone, Debug)]
pub(crate) struct MemberFacts {
    pub(crate) back_end: Arc<RegisteredBackEnd>,
    pub(crate) share: MemberShare,
}
