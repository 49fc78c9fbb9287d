//! What each gateway may hold of one tenant's limit.
//!
//! Keeps the bookings of all gateways and their sums, which every report reads. A booking is the largest
//! allowance that its gateway may hold: what it reported last, and all that was sent since.

use crate::identity::ProxyName;
use std::collections::BTreeMap;

/// What one gateway may hold: operations in a window.
#[derive(Clone, Debug, Default)]
pub(super) struct Booking {
    /// What it reported last.
    pub(super) held: u64,
    pub(super) needed: u64,
    pub(super) wanted: u64,
    /// Allowances that its last report did not answer, by number of the grant.
    pub(super) unanswered: Vec<(u64, u64)>,
    /// Number of the grant that recalled some of it, until the gateway answers.
    pub(super) recalled: Option<u64>,
    /// What it was granted since it reported last.
    pub(super) granted: Option<u64>,
}

impl Booking {
    /// The most that it may hold.
    pub(super) fn amount(&self) -> u64 {
        let unanswered = self.unanswered.iter().map(|(_, operations)| *operations);
        unanswered.fold(self.held, u64::max)
    }

    /// It has taken grants up to this number.
    pub(super) fn note_taken(&mut self, taken: u64) {
        self.unanswered.retain(|(number, _)| *number > taken);
        self.recalled = self.recalled.filter(|number| *number > taken);
    }

    /// What it wants beside what it needs.
    pub(super) const fn spare_wanted(&self) -> u64 {
        self.wanted.saturating_sub(self.needed)
    }

    /// What it may hold beside its part.
    pub(super) fn above(&self, part: u64) -> u64 {
        self.amount().saturating_sub(part)
    }
}

/// Sums over the bookings of a tenant: operations in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Sums {
    pub(super) amount: u64,
    pub(super) needed: u64,
    pub(super) spare_wanted: u64,
}

impl Sums {
    fn add(&mut self, booking: &Booking) {
        self.amount += booking.amount();
        self.needed += booking.needed;
        self.spare_wanted += booking.spare_wanted();
    }

    fn subtract(&mut self, booking: &Booking) {
        self.amount -= booking.amount();
        self.needed -= booking.needed;
        self.spare_wanted -= booking.spare_wanted();
    }
}

/// The bookings of all gateways.
#[derive(Debug, Default)]
pub(super) struct Bookings {
    by_gateway: BTreeMap<ProxyName, Booking>,
    sums: Sums,
}

impl Bookings {
    pub(super) const fn sums(&self) -> Sums {
        self.sums
    }

    pub(super) fn get(&self, gateway: &ProxyName) -> Option<&Booking> {
        self.by_gateway.get(gateway)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ProxyName, &Booking)> {
        self.by_gateway.iter()
    }

    /// Changes a booking, which is there from then on, and the sums with it.
    pub(super) fn change(&mut self, gateway: &ProxyName, change: impl FnOnce(&mut Booking)) {
        let booking = self.by_gateway.entry(gateway.clone()).or_default();
        self.sums.subtract(booking);
        change(booking);
        self.sums.add(booking);
    }

    pub(super) fn remove(&mut self, gateway: &ProxyName) -> Option<Booking> {
        let booking = self.by_gateway.remove(gateway)?;
        self.sums.subtract(&booking);
        Some(booking)
    }

    /// Notes the grant that recalled some of what a gateway holds, where it is known. It counts as held
    /// until the gateway says otherwise.
    pub(super) fn note_recalled(&mut self, gateway: &ProxyName, number: u64) {
        if let Some(booking) = self.by_gateway.get_mut(gateway) {
            booking.recalled = Some(number);
        }
    }

    /// Forgets gateways that hold and want nothing.
    pub(super) fn drop_unused(&mut self) {
        let sums = &mut self.sums;
        self.by_gateway.retain(|_, booking| {
            let is_used = booking.amount() > 0 || booking.wanted > 0;
            if !is_used {
                sums.subtract(booking);
            }
            is_used
        });
    }
}
