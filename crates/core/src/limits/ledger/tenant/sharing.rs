//! How one tenant's limit is shared between gateways.
//!
//! Inputs, all in operations in a window: the limit, the ceiling in the log, what each gateway needs and
//! wants beside that, what it may hold, and what may have begun that nobody holds any more.
//!
//! - Where all need no more than there is, each gets what it needs, and of what is left a part of what it
//!   wants beside.
//! - Where all need more, each gets its part by need, and one at least.
//! - What others still hold beside their parts is recalled, from those with most beside theirs first.
//!
//! Nothing is offered that others may still hold: the sum of all bookings stays within limit and ceiling.

use super::TenantLedger;
use super::bookings::{Booking, Sums};
use crate::identity::ProxyName;
use crate::limits::ledger::default_ceiling;
use crate::time::Timestamp;

/// Part of a limit up to which gateways are given more than they need. A new leader that does not know
/// what the one before gave has the rest for what is needed at once: where all processes were lost
/// together, most of what a window usually asks for. With one spare operation a gateway in its place ceilings
/// rose to the whole limit, and a new leader had nothing to give for a window: mean worth of the days with
/// trouble was 0.628, and 0.719 with this and with longer waits (trials).
const SPARE_PART: f64 = 0.6;
/// Part of what is left beside what is needed that may be given as well. Without it, a tenant that comes
/// near its limit waits for the leader with every operation: in the load test of the limits 5.2 % of the
/// operations of tenants below their limits were refused, at 1.5 times their usual rate a fifth.
const LEFT_PART: f64 = 0.8;

/// By what a gateway is offered something.
#[derive(Clone, Copy, Debug)]
pub(in crate::limits::ledger) struct OfferTerms {
    /// Operations that all gateways may begin in a window.
    pub(in crate::limits::ledger) limit: u64,
    /// The most that is given of them by the log.
    pub(in crate::limits::ledger) ceiling: u64,
    /// Whether nothing of earlier leaders' giving can be used any more.
    pub(in crate::limits::ledger) settled: bool,
    /// From when on that is so; none where it is not known.
    pub(in crate::limits::ledger) settled_at: Option<Timestamp>,
}

/// What a gateway is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::limits::ledger) struct Offer {
    /// Operations in a window.
    pub(in crate::limits::ledger) operations: u64,
    /// Whether it has not been granted as much already since it reported.
    pub(in crate::limits::ledger) is_news: bool,
    /// The ceiling that would allow what the limit allows.
    pub(in crate::limits::ledger) needed_ceiling: Option<u64>,
    /// Operations of its part that others hold beside theirs, or that are not logged yet.
    pub(in crate::limits::ledger) lacking: u64,
    /// Operations that all gateways together may have.
    pub(in crate::limits::ledger) available: u64,
    /// When that becomes more, where less is offered than is wanted and it is known.
    pub(in crate::limits::ledger) more_at: Option<Timestamp>,
}

/// A gateway that should give some of what it holds back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::limits::ledger) struct Recall {
    pub(in crate::limits::ledger) gateway: ProxyName,
    /// Operations that it may keep.
    pub(in crate::limits::ledger) kept: u64,
}

impl TenantLedger {
    /// Works out what a gateway may have: what it needs, and of what is left its part by what all want
    /// beside; never more than others leave.
    pub(in crate::limits::ledger) fn offer(
        &mut self,
        now: Timestamp,
        gateway: &ProxyName,
        terms: OfferTerms,
    ) -> Offer {
        let OfferTerms { limit, ceiling, settled, .. } = terms;
        let gone = self.unreported(default_ceiling(limit), settled) + self.ended_amount(now);
        let own = self.bookings.get(gateway).cloned().unwrap_or_default();
        let others = self.bookings.sums().amount - own.amount() + gone;
        let available = limit.saturating_sub(gone);
        let fair = self.fair_part(&own, available, limit);
        let by_limit = fair.min(limit.saturating_sub(others));
        let operations = by_limit.min(ceiling.saturating_sub(others));
        let lacking = self.part(&own, available).saturating_sub(operations);
        if lacking > 0 {
            self.lacking.insert(gateway.clone());
        } else {
            self.lacking.remove(gateway);
        }
        let is_less = operations < own.needed.max(own.wanted);
        Offer {
            operations,
            is_news: own.granted.is_none_or(|granted| granted < operations),
            needed_ceiling: (operations < by_limit).then_some(others + by_limit),
            lacking,
            available,
            more_at: is_less.then(|| self.more_at(terms)).flatten(),
        }
    }

    /// When what incarnations that are over may have begun counts no longer: the first of it, or all that
    /// earlier leaders gave.
    fn more_at(&self, OfferTerms { settled, settled_at, .. }: OfferTerms) -> Option<Timestamp> {
        if !settled {
            return settled_at;
        }
        self.ended.iter().map(|ended| ended.counts_until).min()
    }

    /// What a gateway should have at least: what it needs, or its part by that where all need more than
    /// there is.
    fn part(&self, own: &Booking, available: u64) -> u64 {
        let all_needed = self.bookings.sums().needed;
        if all_needed <= available {
            return own.needed;
        }
        part_of(available, own.needed, all_needed).max(own.needed.min(1))
    }

    /// What a gateway may have: its part, and of what is left some by what all want beside.
    fn fair_part(&self, own: &Booking, available: u64, limit: u64) -> u64 {
        let Sums { needed, spare_wanted, .. } = self.bookings.sums();
        if needed > available {
            return self.part(own, available);
        }
        let usual = available.min((limit as f64 * SPARE_PART) as u64).saturating_sub(needed);
        let left = usual.max(((available - needed) as f64 * LEFT_PART) as u64);
        if spare_wanted <= left {
            return own.needed.max(own.wanted);
        }
        own.needed + part_of(left, own.spare_wanted(), spare_wanted)
    }

    /// Who should give back how much, so that a gateway gets what it lacks of its part: those with most
    /// beside theirs first. A gateway that hasn't answered a recall gets no other.
    pub(in crate::limits::ledger) fn recalls(
        &self,
        gateway: &ProxyName,
        offer: &Offer,
    ) -> Vec<Recall> {
        let mut lacking = offer.lacking;
        if lacking == 0 {
            return Vec::new();
        }
        let others = self
            .bookings
            .iter()
            .filter(|(name, booking)| *name != gateway && booking.recalled.is_none());
        let above = others.map(|(name, it)| (it.above(self.part(it, offer.available)), it, name));
        let mut holders: Vec<_> = above.filter(|(above, ..)| *above > 0).collect();
        holders.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| left.2.cmp(right.2)));
        let mut recalls = Vec::new();
        for (above, booking, name) in holders {
            if lacking == 0 {
                break;
            }
            let back = above.min(lacking);
            lacking -= back;
            recalls.push(Recall { gateway: name.clone(), kept: booking.amount() - back });
        }
        recalls
    }
}

/// The part of a whole that this much of all comes to.
fn part_of(whole: u64, part: u64, all: u64) -> u64 {
    let product = u128::from(whole) * u128::from(part);
    u64::try_from(product / u128::from(all.max(1))).unwrap_or(whole)
}
