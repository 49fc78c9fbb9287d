//! What the proxy observed of back ends, and what of it the replica has not been sent.

use corktack_core::identity::{GroupName, MemberName};
use corktack_protocol::control::{MemberHealth, Observation};
use std::collections::BTreeMap;

/// The newest observation of each member.
#[derive(Debug, Default)]
pub(super) struct Observations {
    observed: BTreeMap<(GroupName, MemberName), Observed>,
    /// Whether one of them may be unsent.
    unsent: bool,
}

#[derive(Clone, Copy, Debug)]
struct Observed {
    health: MemberHealth,
    sent: bool,
}

impl Observations {
    /// Whether observations wait to be sent.
    pub(super) const fn wait(&self) -> bool {
        self.unsent
    }

    /// Takes new ones in place of older ones.
    pub(super) fn take(&mut self, observations: Vec<Observation>) {
        for Observation { group, member, health } in observations {
            self.observed.insert((group, member), Observed { health, sent: false });
            self.unsent = true;
        }
    }

    /// A new connection begins: its replica has been sent none of them.
    pub(super) fn resend_all(&mut self) {
        self.observed.values_mut().for_each(|observed| observed.sent = false);
    }

    /// Those that were not sent yet; they count as sent from now on.
    pub(super) fn take_unsent(&mut self) -> Vec<Observation> {
        self.unsent = false;
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

    /// Forgets groups that are no part of the configuration any more.
    pub(super) fn retain_groups(&mut self, has_group: impl Fn(&GroupName) -> bool) {
        self.observed.retain(|(group, _), _| has_group(group));
    }
}
