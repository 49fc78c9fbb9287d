//! Checks of a declared resource that need no other resource. An error names the path of the invalid field.

use super::{BindingSpec, DatabaseGroupSpec, PriorityClassSpec, ResourceSpec, SourceNetwork};
use crate::identity::MemberName;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of members of a group.
pub const MEMBER_LIMIT: usize = 15;

/// Maximum length of a database, user or application name, in bytes: that of a PostgreSQL name.
pub const TEXT_LIMIT: usize = 63;

/// Maximum value of a guaranteed share, and of all shares together, in percent.
pub const PERCENT_LIMIT: u32 = 100;

/// Reason why a declared resource is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// A text is empty.
    #[error("must not be empty")]
    EmptyText {
        /// Path of the field.
        field: &'static str,
    },
    /// A text is longer than [`TEXT_LIMIT`] or contains a control character.
    #[error("must have at most {TEXT_LIMIT} bytes and no control characters")]
    Text {
        /// Path of the field.
        field: &'static str,
    },
    /// A group has no members.
    #[error("at least one member is needed")]
    NoMembers,
    /// A group has more than [`MEMBER_LIMIT`] members.
    #[error("{0} members are more than the {MEMBER_LIMIT} allowed")]
    TooManyMembers(usize),
    /// Two members have the same name.
    #[error("the name {name} is used by an earlier member")]
    DuplicateMember {
        /// Index of the second member.
        index: usize,
        /// Name that both members have.
        name: MemberName,
    },
    /// Two members have the same address.
    #[error("the address {address} is used by an earlier member")]
    DuplicateAddress {
        /// Index of the second member.
        index: usize,
        /// Address of the member.
        address: SocketAddr,
    },
    /// A member's address has port 0 or an unspecified IP address.
    #[error("the address {address} cannot be connected to")]
    UnusableAddress {
        /// Index of the member.
        index: usize,
        /// Address of the member.
        address: SocketAddr,
    },
    /// A group has no slots.
    #[error("at least one slot is needed")]
    NoSlots,
    /// A group has fewer connections than slots.
    #[error("{connections} connections are fewer than the {slots} slots")]
    TooFewConnections {
        /// Declared number of connections.
        connections: u32,
        /// Declared number of slots.
        slots: u32,
    },
    /// A share is above 100 percent.
    #[error("{0} percent are more than {PERCENT_LIMIT}")]
    Percent(u8),
    /// A source network is not `ADDRESS/PREFIX`.
    #[error("{0:?} is not a network of the form ADDRESS/PREFIX")]
    Network(String),
}

impl SpecError {
    /// Returns the path of the invalid field inside the manifest.
    #[must_use]
    pub fn field(&self) -> String {
        match self {
            Self::EmptyText { field } | Self::Text { field } => (*field).to_owned(),
            Self::NoMembers | Self::TooManyMembers(_) => "spec.members".to_owned(),
            Self::DuplicateMember { index, .. } => format!("spec.members[{index}].name"),
            Self::DuplicateAddress { index, .. } | Self::UnusableAddress { index, .. } => {
                format!("spec.members[{index}].address")
            }
            Self::NoSlots => "spec.slots".to_owned(),
            Self::TooFewConnections { .. } => "spec.connections".to_owned(),
            Self::Percent(_) => "spec.guaranteedPercent".to_owned(),
            Self::Network(_) => "spec.match.sourceNetwork".to_owned(),
        }
    }
}

impl ResourceSpec {
    /// Checks the resource without reference to other resources.
    ///
    /// # Errors
    /// The first [`SpecError`] found.
    pub fn validate(&self) -> Result<(), SpecError> {
        match self {
            Self::DatabaseGroup(group) => group.validate(),
            Self::PriorityClass(class) => class.validate(),
            Self::Binding(binding) => binding.validate(),
        }
    }
}

impl DatabaseGroupSpec {
    /// Checks the group without reference to other resources.
    ///
    /// # Errors
    /// The first [`SpecError`] found.
    pub fn validate(&self) -> Result<(), SpecError> {
        check_text("spec.database", &self.database)?;
        self.check_members()?;
        if self.slots == 0 {
            return Err(SpecError::NoSlots);
        }
        if self.connections < self.slots {
            let (connections, slots) = (self.connections, self.slots);
            return Err(SpecError::TooFewConnections { connections, slots });
        }
        Ok(())
    }

    fn check_members(&self) -> Result<(), SpecError> {
        if self.members.is_empty() {
            return Err(SpecError::NoMembers);
        }
        if self.members.len() > MEMBER_LIMIT {
            return Err(SpecError::TooManyMembers(self.members.len()));
        }
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, member) in self.members.iter().enumerate() {
            let address = member.address;
            if !names.insert(&member.name) {
                return Err(SpecError::DuplicateMember { index, name: member.name.clone() });
            }
            if address.port() == 0 || address.ip().is_unspecified() {
                return Err(SpecError::UnusableAddress { index, address });
            }
            if !addresses.insert(address) {
                return Err(SpecError::DuplicateAddress { index, address });
            }
        }
        Ok(())
    }
}

impl PriorityClassSpec {
    /// Checks the class without reference to other resources.
    ///
    /// # Errors
    /// The first [`SpecError`] found.
    pub fn validate(&self) -> Result<(), SpecError> {
        if u32::from(self.guaranteed_percent) > PERCENT_LIMIT {
            return Err(SpecError::Percent(self.guaranteed_percent));
        }
        Ok(())
    }
}

impl BindingSpec {
    /// Checks the binding without reference to other resources.
    ///
    /// # Errors
    /// The first [`SpecError`] found.
    pub fn validate(&self) -> Result<(), SpecError> {
        let callers = &self.callers;
        check_optional("spec.match.user", callers.user.as_deref())?;
        check_optional("spec.match.database", callers.database.as_deref())?;
        check_optional("spec.match.applicationName", callers.application_name.as_deref())?;
        let Some(network) = &callers.source_network else { return Ok(()) };
        match network.parse::<SourceNetwork>() {
            Ok(_) => Ok(()),
            Err(_) => Err(SpecError::Network(network.clone())),
        }
    }
}

fn check_optional(field: &'static str, text: Option<&str>) -> Result<(), SpecError> {
    text.map_or(Ok(()), |text| check_text(field, text))
}

fn check_text(field: &'static str, text: &str) -> Result<(), SpecError> {
    if text.is_empty() {
        return Err(SpecError::EmptyText { field });
    }
    if text.len() > TEXT_LIMIT || text.chars().any(char::is_control) {
        return Err(SpecError::Text { field });
    }
    Ok(())
}
