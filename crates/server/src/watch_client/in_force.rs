//! What a watch keeps of the configuration in force.
//!
//! A configuration only rises: what is not newer is refused here.

use corktack_core::identity::GroupName;
use corktack_core::view::{Delta, Revision, View, ViewError};

/// A configuration that rises with each change and never falls.
pub trait InForce {
    /// The revision in force.
    fn revision(&self) -> Revision;
    /// Takes a later snapshot.
    ///
    /// # Errors
    /// [`ViewError::NotNewer`] when it is not later.
    fn replace(&mut self, snapshot: View) -> Result<(), ViewError>;
    /// Takes the changes of a later revision.
    ///
    /// # Errors
    /// [`ViewError::NotNewer`] when it is not later.
    fn apply(&mut self, delta: Delta) -> Result<(), ViewError>;
    /// Whether the group is part of the configuration.
    fn has_group(&self, group: &GroupName) -> bool;
}

impl InForce for View {
    fn revision(&self) -> Revision {
        self.revision
    }

    fn replace(&mut self, snapshot: View) -> Result<(), ViewError> {
        Self::replace(self, snapshot)
    }

    fn apply(&mut self, delta: Delta) -> Result<(), ViewError> {
        Self::apply(self, delta)
    }

    fn has_group(&self, group: &GroupName) -> bool {
        let declared = self.document.as_ref().and_then(|document| document.service(group));
        self.groups.contains_key(group) || declared.is_some()
    }
}

/// Keeps no more than the revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevisionOnly(pub Revision);

impl RevisionOnly {
    fn rise(&mut self, offered: Revision) -> Result<(), ViewError> {
        if offered <= self.0 {
            return Err(ViewError::NotNewer { offered, in_force: self.0 });
        }
        self.0 = offered;
        Ok(())
    }
}

impl InForce for RevisionOnly {
    fn revision(&self) -> Revision {
        self.0
    }

    fn replace(&mut self, snapshot: View) -> Result<(), ViewError> {
        self.rise(snapshot.revision)
    }

    fn apply(&mut self, delta: Delta) -> Result<(), ViewError> {
        self.rise(delta.revision)
    }

    fn has_group(&self, _group: &GroupName) -> bool {
        true
    }
}
