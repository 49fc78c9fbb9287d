//! Bookings: what each gateway may hold of one tenant's limit.
//!
//! Keeps the bookings of all gateways and their totals, which the leader reads with every report. A
//! booking is the largest allowance that its gateway may hold: what the gateway reported last, and
//! every allowance sent to it since.

use crate::identity::ProxyName;
use std::collections::BTreeMap;

/// What one gateway may hold: operations in a window.
#[derive(Clone, Debug, Default)]
pub(super) struct Booking {
    /// Operations that the gateway held according to its last report.
    pub(super) held: u64,
    pub(super) needed: u64,
    pub(super) wanted: u64,
    /// Allowances that the last report did not acknowledge: number of the grant, and operations.
    pub(super) unacknowledged: Vec<(u64, u64)>,
    /// Number of the grant that recalled some of the allowance, until the gateway acknowledges it.
    pub(super) pending_recall: Option<u64>,
    /// Operations granted since the last report.
    pub(super) granted_since_report: Option<u64>,
}

impl Booking {
    /// Returns the most operations that the gateway may hold.
    pub(super) fn amount(&self) -> u64 {
        let unacknowledged = self.unacknowledged.iter().map(|(_, operations)| *operations);
        unacknowledged.fold(self.held, u64::max)
    }

    /// Drops allowances and recalls that the gateway acknowledged: it has applied all grants up to this
    /// number.
    pub(super) fn acknowledge_grants(&mut self, applied_grant: u64) {
        self.unacknowledged.retain(|(number, _)| *number > applied_grant);
        self.pending_recall = self.pending_recall.filter(|number| *number > applied_grant);
    }

    /// Returns the operations that the gateway wants beyond what it needs.
    pub(super) const fn wanted_beyond_need(&self) -> u64 {
        self.wanted.saturating_sub(self.needed)
    }

    /// Returns the operations that the gateway may hold beyond its share.
    pub(super) fn excess_over(&self, share: u64) -> u64 {
        self.amount().saturating_sub(share)
    }
}

/// Totals over the bookings of a tenant: operations in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct BookingTotals {
    pub(super) amount: u64,
    pub(super) needed: u64,
    pub(super) wanted_beyond_need: u64,
}

impl BookingTotals {
    fn add(&mut self, booking: &Booking) {
        self.amount += booking.amount();
        self.needed += booking.needed;
        self.wanted_beyond_need += booking.wanted_beyond_need();
    }

    fn subtract(&mut self, booking: &Booking) {
        self.amount -= booking.amount();
        self.needed -= booking.needed;
        self.wanted_beyond_need -= booking.wanted_beyond_need();
    }
}

/// The bookings of all gateways, and their totals.
#[derive(Debug, Default)]
pub(super) struct Bookings {
    by_gateway: BTreeMap<ProxyName, Booking>,
    totals: BookingTotals,
}

impl Bookings {
    pub(super) const fn totals(&self) -> BookingTotals {
        self.totals
    }

    pub(super) fn get(&self, gateway: &ProxyName) -> Option<&Booking> {
        self.by_gateway.get(gateway)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ProxyName, &Booking)> {
        self.by_gateway.iter()
    }

    /// Changes a booking, which is created if there is none, and updates the totals.
    pub(super) fn change(&mut self, gateway: &ProxyName, change: impl FnOnce(&mut Booking)) {
        let booking = self.by_gateway.entry(gateway.clone()).or_default();
        self.totals.subtract(booking);
        change(booking);
        self.totals.add(booking);
    }

    pub(super) fn remove(&mut self, gateway: &ProxyName) -> Option<Booking> {
        let booking = self.by_gateway.remove(gateway)?;
        self.totals.subtract(&booking);
        Some(booking)
    }

    /// Records the grant that recalled some of what a gateway holds, if the gateway has a booking. The
    /// recalled operations stay booked until the gateway reports that it gave them back.
    pub(super) fn record_recall(&mut self, gateway: &ProxyName, number: u64) {
        if let Some(booking) = self.by_gateway.get_mut(gateway) {
            booking.pending_recall = Some(number);
        }
    }

    /// Removes the bookings of gateways that hold and want nothing.
    pub(super) fn remove_unused(&mut self) {
        let totals = &mut self.totals;
        self.by_gateway.retain(|_, booking| {
            let is_used = booking.amount() > 0 || booking.wanted > 0;
            if !is_used {
                totals.subtract(booking);
            }
            is_used
        });
    }
}
