//! What has been given of one tenant's limit.

use super::GatewayIncarnation;
use crate::identity::ProxyName;
use crate::limits::messages::AllowanceDemand;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Part of a limit up to which gateways are given more than they need. A new leader that does not know
/// what the one before gave has the rest for what is needed at once: where all processes were lost
/// together, most of what a window usually asks for.
const SPARE_PART: f64 = 0.6;
/// Part of what is left beside what is needed that may be given as well. Without it, a tenant that comes
/// near its limit waits for the leader with every operation: in the load test of the limits 5.2 % of the
/// operations of tenants below their limits were refused, at 1.5 times their usual rate a fifth.
const LEFT_PART: f64 = 0.8;

/// What one gateway may hold.
#[derive(Clone, Debug, Default)]
struct Booking {
    /// What it reported last.
    held: u64,
    needed: u64,
    wanted: u64,
    /// Allowances that its last report did not answer, by number of the grant.
    unanswered: Vec<(u64, u64)>,
    /// Number of the grant that told it to give something back, until it answers.
    recalled: Option<u64>,
    /// What it was given since it asked last.
    given: Option<u64>,
}

impl Booking {
    /// The most that it may hold.
    fn amount(&self) -> u64 {
        let unanswered = self.unanswered.iter().map(|(_, operations)| *operations);
        unanswered.fold(self.held, u64::max)
    }

    /// It has taken grants up to this number.
    fn answered(&mut self, taken: u64) {
        self.unanswered.retain(|(number, _)| *number > taken);
        self.recalled = self.recalled.filter(|number| *number > taken);
    }

    /// What it wants beside what it needs.
    const fn spare_wanted(&self) -> u64 {
        self.wanted.saturating_sub(self.needed)
    }

    /// What it may hold beside its part.
    fn above(&self, part: u64) -> u64 {
        self.amount().saturating_sub(part)
    }
}

/// Sums over the bookings of a tenant, kept up with each change: a leader looks at them with every
/// report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Sums {
    amount: u64,
    needed: u64,
    spare_wanted: u64,
}

impl Sums {
    fn add(&mut self, booking: &Booking) {
        self.amount += booking.amount();
        self.needed += booking.needed;
        self.spare_wanted += booking.spare_wanted();
    }

    fn remove(&mut self, booking: &Booking) {
        self.amount -= booking.amount();
        self.needed -= booking.needed;
        self.spare_wanted -= booking.spare_wanted();
    }
}

/// By what a gateway is offered something.
#[derive(Clone, Copy, Debug)]
pub(super) struct OfferTerms {
    /// Operations that all gateways may begin in a window.
    pub(super) limit: u64,
    /// The most that is given of them by the log.
    pub(super) ceiling: u64,
    /// Whether nothing of earlier leaders' giving can be used any more.
    pub(super) settled: bool,
    /// From when on that is so; none where it is not known.
    pub(super) settled_at: Option<Timestamp>,
}

/// What a gateway is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Offer {
    /// Operations in a window.
    pub(super) operations: u64,
    /// Whether it has not been given as much already since it asked.
    pub(super) is_news: bool,
    /// The ceiling that would allow what the limit allows.
    pub(super) needed_ceiling: Option<u64>,
    /// Operations of its part that others hold beside theirs, or that are not logged yet.
    pub(super) lacking: u64,
    /// Operations that all gateways together may have.
    pub(super) available: u64,
    /// When that becomes more, where less is offered than is wanted and it is known.
    pub(super) more_at: Option<Timestamp>,
}

/// A gateway that should give some of what it holds back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Recall {
    pub(super) gateway: ProxyName,
    /// Operations that it may keep.
    pub(super) kept: u64,
}

/// What has been given of one tenant's limit.
#[derive(Debug, Default)]
pub(super) struct TenantLedger {
    /// The most that earlier leaders gave and nobody has reported; none where the log names no ceiling.
    inherited: Option<u64>,
    /// What was reported of that.
    reported: u64,
    bookings: BTreeMap<ProxyName, Booking>,
    sums: Sums,
    ended: Vec<Ended>,
    /// Gateways that will be given more.
    lacking: BTreeSet<ProxyName>,
}

/// What a life may have begun that is over, or whose lease has ended.
#[derive(Debug)]
struct Ended {
    life: GatewayIncarnation,
    operations: u64,
    counts_until: Timestamp,
}

impl TenantLedger {
    pub(super) fn new(inherited: Option<u64>) -> Self {
        Self { inherited, ..Self::default() }
    }

    /// Changes a booking, which is there from then on, and the sums with it.
    fn change(&mut self, gateway: &ProxyName, change: impl FnOnce(&mut Booking)) {
        let booking = self.bookings.entry(gateway.clone()).or_default();
        self.sums.remove(booking);
        change(booking);
        self.sums.add(booking);
    }

    /// Takes what a gateway reports. `was_awaited`: some of it may be of an earlier leader's giving.
    pub(super) fn book(
        &mut self,
        gateway: &ProxyName,
        demand: &AllowanceDemand,
        taken: u64,
        was_awaited: bool,
    ) {
        self.change(gateway, |booking| {
            booking.answered(taken);
            booking.held = demand.held;
            booking.needed = demand.needed;
            booking.wanted = demand.wanted;
            booking.given = None;
        });
        if was_awaited {
            self.reported += demand.held;
        }
    }

    /// A gateway that told everything holds nothing of this tenant's.
    pub(super) fn book_nothing(&mut self, gateway: &ProxyName, taken: u64) {
        if self.bookings.contains_key(gateway) {
            self.change(gateway, |booking| {
                booking.answered(taken);
                booking.held = 0;
                booking.needed = 0;
                booking.wanted = 0;
            });
        }
    }

    /// A life is over, or its lease has ended.
    pub(super) fn end(&mut self, life: &GatewayIncarnation, counts_until: Timestamp) {
        if let Some(booking) = self.bookings.remove(&life.gateway) {
            self.sums.remove(&booking);
            self.lacking.remove(&life.gateway);
            let operations = booking.amount();
            self.ended.push(Ended { life: life.clone(), operations, counts_until });
        }
    }

    /// The lives of a gateway before this one ended earlier than was known.
    pub(super) fn ended_earlier(
        &mut self,
        successor: &GatewayIncarnation,
        counts_until: Timestamp,
    ) {
        let is_before = |life: &GatewayIncarnation| {
            life.gateway == successor.gateway && life.incarnation != successor.incarnation
        };
        for ended in self.ended.iter_mut().filter(|ended| is_before(&ended.life)) {
            ended.counts_until = ended.counts_until.min(counts_until);
        }
    }

    /// Forgets what no longer counts.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.ended.retain(|ended| now < ended.counts_until);
        let sums = &mut self.sums;
        self.bookings.retain(|_, booking| {
            let is_used = booking.amount() > 0 || booking.wanted > 0;
            if !is_used {
                sums.remove(booking);
            }
            is_used
        });
    }

    /// What earlier leaders gave and nobody has reported.
    fn unreported(&self, default: u64, settled: bool) -> u64 {
        if settled {
            return 0;
        }
        self.inherited.unwrap_or(default).saturating_sub(self.reported)
    }

    /// What lives that are over may have begun.
    fn ended_amount(&mut self, now: Timestamp) -> u64 {
        self.ended.retain(|ended| now < ended.counts_until);
        self.ended.iter().map(|ended| ended.operations).sum()
    }

    /// What is given, or may have begun. Settled: nothing of earlier leaders is left.
    pub(super) fn given(&mut self, now: Timestamp, settled: bool) -> u64 {
        self.sums.amount + self.ended_amount(now) + self.unreported(0, settled)
    }

    /// Operations that all gateways need.
    pub(super) const fn needed(&self) -> u64 {
        self.sums.needed
    }

    /// Operations that gateways may hold.
    pub(super) const fn booked(&self) -> u64 {
        self.sums.amount
    }

    /// Works out what a gateway may have: what it needs, and of what is left its part by what all want
    /// beside; never more than others leave.
    pub(super) fn offer(
        &mut self,
        now: Timestamp,
        gateway: &ProxyName,
        terms: OfferTerms,
    ) -> Offer {
        let OfferTerms { limit, ceiling, settled, .. } = terms;
        let gone = self.unreported(super::default_ceiling(limit), settled) + self.ended_amount(now);
        let own = self.bookings.get(gateway).cloned().unwrap_or_default();
        let others = self.sums.amount - own.amount() + gone;
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
        Offer {
            operations,
            is_news: own.given.is_none_or(|given| given < operations),
            needed_ceiling: (operations < by_limit).then_some(others + by_limit),
            lacking,
            available,
            more_at: (operations < own.needed.max(own.wanted))
                .then(|| self.more_at(terms))
                .flatten(),
        }
    }

    /// When what lives that are over may have begun counts no longer: the first of it, or all that
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
        if self.sums.needed <= available {
            return own.needed;
        }
        part_of(available, own.needed, self.sums.needed).max(own.needed.min(1))
    }

    /// What a gateway may have: its part, and of what is left some by what all want beside.
    fn fair_part(&self, own: &Booking, available: u64, limit: u64) -> u64 {
        let Sums { needed, spare_wanted, .. } = self.sums;
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

    /// Gateways that will be given more of what they need.
    pub(super) const fn lacking(&self) -> &BTreeSet<ProxyName> {
        &self.lacking
    }

    /// Who should give back how much, so that a gateway gets what it lacks of its part: those with most
    /// beside theirs first. What a gateway was told to keep already is not recalled again.
    pub(super) fn recalls(&self, gateway: &ProxyName, offer: &Offer) -> Vec<Recall> {
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

    /// A gateway was told to give something back. It counts as held until it says otherwise.
    pub(super) fn note_recalled(&mut self, gateway: &ProxyName, number: u64) {
        if let Some(booking) = self.bookings.get_mut(gateway) {
            booking.recalled = Some(number);
        }
    }

    /// An allowance was sent.
    pub(super) fn note_granted(&mut self, gateway: &ProxyName, number: u64, operations: u64) {
        self.change(gateway, |booking| {
            booking.unanswered.push((number, operations));
            booking.given = Some(operations);
        });
    }
}

/// The part of a whole that this much of all comes to.
fn part_of(whole: u64, part: u64, all: u64) -> u64 {
    let product = u128::from(whole) * u128::from(part);
    u64::try_from(product / u128::from(all.max(1))).unwrap_or(whole)
}
