//! What has been given of one tenant's limit.

use crate::identity::ProxyName;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// What one gateway may hold.
#[derive(Clone, Debug, Default)]
struct Booking {
    /// What it reported last.
    held: u64,
    wanted: u64,
    /// Allowances that its last report did not answer, by number of the grant.
    unanswered: Vec<(u64, u64)>,
}

impl Booking {
    /// The most that it may hold.
    fn amount(&self) -> u64 {
        let unanswered = self.unanswered.iter().map(|(_, operations)| *operations);
        unanswered.fold(self.held, u64::max)
    }
}

/// What a gateway is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Offer {
    /// Operations in a window.
    pub(super) operations: u64,
    /// The ceiling that would allow what the limit allows.
    pub(super) needed_ceiling: Option<u64>,
}

/// What has been given of one tenant's limit.
#[derive(Debug, Default)]
pub(super) struct TenantLedger {
    /// The most that earlier leaders gave and nobody has reported; none where the log names no ceiling.
    inherited: Option<u64>,
    /// What was reported of that.
    reported: u64,
    bookings: BTreeMap<ProxyName, Booking>,
    /// What lives that are over may have begun, and until when it counts.
    ended: Vec<(Timestamp, u64)>,
}

impl TenantLedger {
    pub(super) fn new(inherited: Option<u64>) -> Self {
        Self { inherited, ..Self::default() }
    }

    /// Takes what a gateway reports. `was_awaited`: some of it may be of an earlier leader's giving.
    pub(super) fn book(
        &mut self,
        gateway: &ProxyName,
        (held, wanted): (u64, u64),
        taken: u64,
        was_awaited: bool,
    ) {
        let booking = self.bookings.entry(gateway.clone()).or_default();
        booking.unanswered.retain(|(number, _)| *number > taken);
        booking.held = held;
        booking.wanted = wanted;
        if was_awaited {
            self.reported += held;
        }
    }

    /// A gateway that told everything holds nothing of this tenant's.
    pub(super) fn book_nothing(&mut self, gateway: &ProxyName, taken: u64) {
        if let Some(booking) = self.bookings.get_mut(gateway) {
            booking.unanswered.retain(|(number, _)| *number > taken);
            booking.held = 0;
            booking.wanted = 0;
        }
    }

    /// A life is over, or its lease has ended.
    pub(super) fn end(&mut self, gateway: &ProxyName, counts_until: Timestamp) {
        if let Some(booking) = self.bookings.remove(gateway) {
            self.ended.push((counts_until, booking.amount()));
        }
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.ended.retain(|(until, _)| now < *until);
        self.bookings.retain(|_, booking| booking.amount() > 0 || booking.wanted > 0);
    }

    /// What earlier leaders gave and nobody has reported.
    fn unreported(&self, default: u64, settled: bool) -> u64 {
        if settled {
            return 0;
        }
        self.inherited.unwrap_or(default).saturating_sub(self.reported)
    }

    /// What is given, or may have begun, but for one gateway.
    fn given_to_others(&mut self, now: Timestamp, gateway: Option<&ProxyName>) -> u64 {
        self.expire(now);
        let others = self.bookings.iter().filter(|(name, _)| Some(*name) != gateway);
        let booked: u64 = others.map(|(_, booking)| booking.amount()).sum();
        booked + self.ended.iter().map(|(_, amount)| amount).sum::<u64>()
    }

    /// What is given, or may have begun. Settled: nothing of earlier leaders is left.
    pub(super) fn given(&mut self, now: Timestamp, settled: bool) -> u64 {
        self.given_to_others(now, None) + self.unreported(0, settled)
    }

    /// Works out what a gateway may have: what it wants, or its part of the limit by what all want, and
    /// never more than others leave.
    pub(super) fn offer(
        &mut self,
        now: Timestamp,
        gateway: &ProxyName,
        (limit, ceiling): (u64, u64),
        settled: bool,
    ) -> Offer {
        let unreported = self.unreported(super::default_ceiling(limit), settled);
        let others = self.given_to_others(now, Some(gateway)) + unreported;
        let gone = unreported + self.ended.iter().map(|(_, amount)| amount).sum::<u64>();
        let wanted = self.bookings.get(gateway).map_or(0, |booking| booking.wanted);
        let fair = self.fair_part(wanted, limit.saturating_sub(gone));
        let by_limit = fair.min(limit.saturating_sub(others));
        let operations = by_limit.min(ceiling.saturating_sub(others));
        let needed_ceiling = (operations < by_limit).then_some(others + by_limit);
        Offer { operations, needed_ceiling }
    }

    /// A gateway's part of what there is, by what all of them want; at least one operation.
    fn fair_part(&self, wanted: u64, available: u64) -> u64 {
        let all: u64 = self.bookings.values().map(|booking| booking.wanted).sum();
        if all <= available {
            return wanted;
        }
        let part = u128::from(available) * u128::from(wanted) / u128::from(all.max(1));
        u64::try_from(part).unwrap_or(wanted).max(1).min(wanted)
    }

    /// An allowance was sent.
    pub(super) fn note_granted(&mut self, gateway: &ProxyName, number: u64, operations: u64) {
        let booking = self.bookings.entry(gateway.clone()).or_default();
        booking.unanswered.push((number, operations));
    }
}
