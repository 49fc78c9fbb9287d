//! Decides whether the primary of a group has to be replaced, or the leader has to see for itself
//! that it is out of reach.

use super::evidence::{candidates, primary_of};
use super::{GatewayContact, GroupDuty, LOG_TARGET, PromotionDuty};
use crate::identity::GroupName;
use crate::registry::back_end::BackEndState;
use crate::registry::state::RegistryState;
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// Part of the gateways whose word is enough, without a look of the leader's own: fewer are served
/// through the others meanwhile.
const SUSPECTING_PART: f64 = 0.5;
/// Gateways whose word is enough where there are few.
const FEWEST_SUSPECTING: usize = 2;

impl PromotionDuty {
    /// Whether the primary must be replaced, or the leader has to see for itself.
    pub(super) fn look(
        &self,
        now: Timestamp,
        state: &RegistryState,
        group: &GroupName,
        duty: &mut GroupDuty,
        gateways: GatewayContact,
    ) {
        let Some(primary) = primary_of(state, group) else {
            let since = *duty.vacant_since.get_or_insert(now);
            let anyone = candidates(state, group).next().is_some();
            if anyone && now.saturating_since(since) >= self.settings.vacancy_limit {
                duty.phase = Self::asking(None);
            }
            return;
        };
        duty.vacant_since = None;
        let Some(back_end) = state.back_end(&primary) else { return };
        if back_end.state == BackEndState::Draining {
            log::info!(
                target: LOG_TARGET, group:% = group, member:% = primary;
                "primary leaves: it is replaced"
            );
            duty.phase = Self::asking(None);
            return;
        }
        let suspecting = self.unreached.get(&(group.clone(), primary.clone()));
        let suspecting = suspecting.map_or(0, BTreeSet::len);
        if suspecting == 0 {
            duty.suspected_since = None;
            return;
        }
        let GatewayContact { heard, silent } = gateways;
        let enough = ((heard + silent) as f64 * SUSPECTING_PART).ceil() as usize;
        if suspecting >= enough.max(FEWEST_SUSPECTING) {
            log::warn!(
                target: LOG_TARGET, group:% = group, member:% = primary, suspecting, heard, silent;
                "primary cannot be reached: it is replaced"
            );
            duty.phase = Self::asking(None);
            return;
        }
        let waited = now.saturating_since(*duty.suspected_since.get_or_insert(now));
        let cut = silent > suspecting && waited < self.settings.cut_patience;
        if cut || waited < self.settings.suspicion_pause {
            return;
        }
        log::info!(
            target: LOG_TARGET, group:% = group, member:% = primary, suspecting, heard, silent;
            "primary is suspected"
        );
        duty.phase = Self::asking(Some(primary));
    }
}
