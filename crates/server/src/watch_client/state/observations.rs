//! The proxy's observations of back ends' health, and which of them the replica has not been sent yet.

use corktack_core::identity::{GroupName, MemberName};
use corktack_protocol::control::{MemberHealth, Observation};
use std::collections::BTreeMap;

/// The newest observation of each member.
#[derive(Debug, Default)]
pub(super) struct Observations {
    observed: BTreeMap<(GroupName, MemberName), ObservedHealth>,
    /// Whether at least one observation may be unsent.
    has_unsent: bool,
}

#[derive(Clone, Copy, Debug)]
struct ObservedHealth {
    health: MemberHealth,
    sent: bool,
}

impl Observations {
    /// Reports whether observations wait to be sent.
    pub(super) const fn has_unsent(&self) -> bool {
        self.has_unsent
    }

    /// Records new observations; each replaces the earlier one of its member.
    pub(super) fn record(&mut self, observations: Vec<Observation>) {
        for Observation { group, member, health } in observations {
            self.observed.insert((group, member), ObservedHealth { health, sent: false });
            self.has_unsent = true;
        }
    }

    /// Marks all observations as unsent, for a replica that was newly connected to.
    pub(super) fn resend_all(&mut self) {
        self.observed.values_mut().for_each(|observed| observed.sent = false);
    }

    /// Returns the unsent observations and marks them as sent.
    pub(super) fn take_unsent(&mut self) -> Vec<Observation> {
        self.has_unsent = false;
        let mut observations = Vec::new();
        for ((group, member), observed) in &mut self.observed {
            if !observed.sent {
                observed.sent = true;
                let (group, member) = (group.clone(), member.clone());
                observations.push(Observation { group, member, health: observed.health });
            }
        }
        observations
    }

    /// Removes the observations of groups that are no longer in the configuration.
    pub(super) fn retain_groups(&mut self, has_group: impl Fn(&GroupName) -> bool) {
        self.observed.retain(|(group, _), _| has_group(group));
    }
}
