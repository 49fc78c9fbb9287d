//! Sharing of one tenant's limit between gateways.
//!
//! Inputs, all in operations in a window: the limit, the ceiling in the log, what each gateway needs,
//! wants beyond its need and may hold, and what may have begun under allowances that no gateway holds
//! any more.
//!
//! - Where all gateways together need no more than is available, each gets what it needs, and a part of
//!   the rest by what it wants beyond.
//! - Where all need more than is available, each gets a share in proportion to its need, and at least
//!   one operation.
//! - What others still hold beyond their shares is recalled, from those with the largest excess first.
//!
//! Nothing is offered that others may still hold: the sum of all bookings stays within limit and
//! ceiling.

use super::TenantLedger;
use super::bookings::{Booking, BookingTotals};
use crate::identity::ProxyName;
use crate::limits::ledger::default_ceiling;
use crate::time::Timestamp;

/// Fraction of a limit up to which gateways are given more than they need. A new leader that doesn't
/// know what the previous one allocated has the rest for immediate needs: where all processes were lost
/// together, the rest covers most of what a window usually requests. With one spare operation for each
/// gateway in its place, ceilings rose to the whole limit and a new leader had nothing to allocate for
/// a window: on days with faults, the mean value of the requests served (0 to 1) was 0.628, and 0.719
/// with this fraction and with longer waits.
const SPARE_FRACTION: f64 = 0.6;
/// Fraction of the operations left over after all needs that may be given in addition. Without it, a
/// tenant that comes near its limit waits for the leader with every operation: in the load test of the
/// limits 5.2 % of the operations of tenants below their limits were refused, and 20 % at 1.5 times
/// their usual rate.
const REMAINDER_FRACTION: f64 = 0.8;

/// Conditions under which a gateway is offered part of a tenant's limit.
#[derive(Clone, Copy, Debug)]
pub(in crate::limits::ledger) struct OfferTerms {
    /// Operations that all gateways may begin in a window.
    pub(in crate::limits::ledger) limit: u64,
    /// The most operations that may be allocated according to the log.
    pub(in crate::limits::ledger) ceiling: u64,
    /// Whether no allowance of earlier leaders counts any more.
    pub(in crate::limits::ledger) inherited_expired: bool,
    /// Time from which no allowance of earlier leaders counts; none where it is not known.
    pub(in crate::limits::ledger) inherited_expires_at: Option<Timestamp>,
}

/// Offer to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::limits::ledger) struct Offer {
    /// Operations that the gateway may begin in a window.
    pub(in crate::limits::ledger) operations: u64,
    /// Whether the offer should be sent: less has been granted since the gateway's last report, or
    /// nothing.
    pub(in crate::limits::ledger) should_send: bool,
    /// Ceiling that would allow what the limit allows, where the ceiling in force does not.
    pub(in crate::limits::ledger) needed_ceiling: Option<u64>,
    /// Operations of the gateway's share that others hold beyond theirs, or that the ceiling in the log
    /// doesn't allow yet.
    pub(in crate::limits::ledger) shortfall: u64,
    /// Operations that all gateways together may have.
    pub(in crate::limits::ledger) available: u64,
    /// Time at which more becomes available, where less is offered than is wanted and the time is
    /// known.
    pub(in crate::limits::ledger) more_available_at: Option<Timestamp>,
}

/// Recall from a gateway that should give back some of what it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::limits::ledger) struct Recall {
    pub(in crate::limits::ledger) gateway: ProxyName,
    /// Operations that the gateway may keep.
    pub(in crate::limits::ledger) kept: u64,
}

impl TenantLedger {
    /// Computes what a gateway may have: what it needs, and a part of the rest in proportion to what
    /// each gateway wants beyond its need; never more than others leave.
    pub(in crate::limits::ledger) fn offer(
        &mut self,
        now: Timestamp,
        gateway: &ProxyName,
        terms: OfferTerms,
    ) -> Offer {
        let OfferTerms { limit, ceiling, inherited_expired, .. } = terms;
        let unavailable =
            self.unreported(default_ceiling(limit), inherited_expired) + self.ended_operations(now);
        let own = self.bookings.get(gateway).cloned().unwrap_or_default();
        let allocated_elsewhere = self.bookings.totals().amount - own.amount() + unavailable;
        let available = limit.saturating_sub(unavailable);
        let share = self.fair_share(&own, available, limit);
        let allowed_by_limit = share.min(limit.saturating_sub(allocated_elsewhere));
        let operations = allowed_by_limit.min(ceiling.saturating_sub(allocated_elsewhere));
        let shortfall = self.needed_share(&own, available).saturating_sub(operations);
        if shortfall > 0 {
            self.gateways_below_share.insert(gateway.clone());
        } else {
            self.gateways_below_share.remove(gateway);
        }
        let is_less_than_wanted = operations < own.needed.max(own.wanted);
        Offer {
            operations,
            should_send: own.granted_since_report.is_none_or(|granted| granted < operations),
            needed_ceiling: (operations < allowed_by_limit)
                .then_some(allocated_elsewhere + allowed_by_limit),
            shortfall,
            available,
            more_available_at: is_less_than_wanted.then(|| self.more_available_at(terms)).flatten(),
        }
    }

    /// Returns the time at which operations that ended incarnations may have begun stop counting: the
    /// first of them, or all that earlier leaders allocated.
    fn more_available_at(
        &self,
        OfferTerms { inherited_expired, inherited_expires_at, .. }: OfferTerms,
    ) -> Option<Timestamp> {
        if !inherited_expired {
            return inherited_expires_at;
        }
        self.ended_incarnations.iter().map(|ended| ended.counts_until).min()
    }

    /// Returns the least that a gateway should have: what it needs, or a proportional part where all
    /// gateways together need more than is available.
    fn needed_share(&self, own: &Booking, available: u64) -> u64 {
        let all_needed = self.bookings.totals().needed;
        if all_needed <= available {
            return own.needed;
        }
        proportional_part(available, own.needed, all_needed).max(own.needed.min(1))
    }

    /// Returns what a gateway may have: its needed share, and a part of the rest in proportion to what
    /// all want beyond their needs.
    fn fair_share(&self, own: &Booking, available: u64, limit: u64) -> u64 {
        let BookingTotals { needed, wanted_beyond_need, .. } = self.bookings.totals();
        if needed > available {
            return self.needed_share(own, available);
        }
        let spare = available.min((limit as f64 * SPARE_FRACTION) as u64).saturating_sub(needed);
        let remainder = spare.max(((available - needed) as f64 * REMAINDER_FRACTION) as u64);
        if wanted_beyond_need <= remainder {
            return own.needed.max(own.wanted);
        }
        own.needed + proportional_part(remainder, own.wanted_beyond_need(), wanted_beyond_need)
    }

    /// Returns which gateways should give back how much, so that a gateway gets what it lacks of its
    /// share: the largest excess first. A gateway that has not answered a recall gets no other.
    pub(in crate::limits::ledger) fn recalls(
        &self,
        gateway: &ProxyName,
        offer: &Offer,
    ) -> Vec<Recall> {
        let mut shortfall = offer.shortfall;
        if shortfall == 0 {
            return Vec::new();
        }
        let others = self
            .bookings
            .iter()
            .filter(|(name, booking)| *name != gateway && booking.pending_recall.is_none());
        let excesses = others.map(|(name, booking)| {
            (booking.excess_over(self.needed_share(booking, offer.available)), booking, name)
        });
        let mut holders: Vec<_> = excesses.filter(|(excess, ..)| *excess > 0).collect();
        holders.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| left.2.cmp(right.2)));
        let mut recalls = Vec::new();
        for (excess, booking, name) in holders {
            if shortfall == 0 {
                break;
            }
            let returned = excess.min(shortfall);
            shortfall -= returned;
            recalls.push(Recall { gateway: name.clone(), kept: booking.amount() - returned });
        }
        recalls
    }
}

/// Returns `whole * part / all`, rounded down.
fn proportional_part(whole: u64, part: u64, all: u64) -> u64 {
    let product = u128::from(whole) * u128::from(part);
    u64::try_from(product / u128::from(all.max(1))).unwrap_or(whole)
}
