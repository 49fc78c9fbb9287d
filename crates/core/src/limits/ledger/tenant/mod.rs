//! What has been given of one tenant's limit.
//!
//! Counts what gateways may hold (`bookings`), what incarnations that are over may have begun, and what
//! earlier leaders gave that nobody has reported; works out from these what a gateway may have
//! (`sharing`). Relies on [`super::LimitLedger`] for which incarnations are over.

mod bookings;
mod sharing;

pub(super) use sharing::{Offer, OfferTerms, Recall};

use super::GatewayIncarnation;
use crate::identity::ProxyName;
use crate::limits::messages::AllowanceDemand;
use crate::time::Timestamp;
use bookings::Bookings;
use std::collections::BTreeSet;

/// What has been given of one tenant's limit.
#[derive(Debug, Default)]
pub(super) struct TenantLedger {
    /// The most that earlier leaders gave and nobody has reported; none where the log names no ceiling.
    inherited: Option<u64>,
    /// What was reported of that.
    reported: u64,
    bookings: Bookings,
    ended: Vec<EndedIncarnation>,
    /// Gateways that will be given more.
    lacking: BTreeSet<ProxyName>,
}

/// What an incarnation may have begun that is over, or whose lease has ended.
#[derive(Debug)]
struct EndedIncarnation {
    incarnation: GatewayIncarnation,
    operations: u64,
    counts_until: Timestamp,
}

impl TenantLedger {
    pub(super) fn new(inherited: Option<u64>) -> Self {
        Self { inherited, ..Self::default() }
    }

    /// Takes what a gateway reports. `was_awaited`: some of it may be of an earlier leader's giving.
    pub(super) fn book(
        &mut self,
        gateway: &ProxyName,
        demand: &AllowanceDemand,
        taken: u64,
        was_awaited: bool,
    ) {
        self.bookings.change(gateway, |booking| {
            booking.note_taken(taken);
            booking.held = demand.held;
            booking.needed = demand.needed;
            booking.wanted = demand.wanted;
            booking.granted = None;
        });
        if was_awaited {
            self.reported += demand.held;
        }
    }

    /// A gateway that reported everything holds nothing of this tenant's.
    pub(super) fn book_nothing(&mut self, gateway: &ProxyName, taken: u64) {
        if self.bookings.get(gateway).is_some() {
            self.bookings.change(gateway, |booking| {
                booking.note_taken(taken);
                booking.held = 0;
                booking.needed = 0;
                booking.wanted = 0;
            });
        }
    }

    /// An incarnation is over, or its lease has ended.
    pub(super) fn end(&mut self, incarnation: &GatewayIncarnation, counts_until: Timestamp) {
        if let Some(booking) = self.bookings.remove(&incarnation.gateway) {
            self.lacking.remove(&incarnation.gateway);
            let (incarnation, operations) = (incarnation.clone(), booking.amount());
            self.ended.push(EndedIncarnation { incarnation, operations, counts_until });
        }
    }

    /// The incarnations of a gateway before this one ended earlier than was known.
    pub(super) fn ended_earlier(
        &mut self,
        successor: &GatewayIncarnation,
        counts_until: Timestamp,
    ) {
        let is_before = |it: &GatewayIncarnation| {
            it.gateway == successor.gateway && it.incarnation != successor.incarnation
        };
        for ended in self.ended.iter_mut().filter(|ended| is_before(&ended.incarnation)) {
            ended.counts_until = ended.counts_until.min(counts_until);
        }
    }

    /// Forgets what no longer counts.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.ended.retain(|ended| now < ended.counts_until);
        self.bookings.drop_unused();
    }

    /// What earlier leaders gave and nobody has reported.
    fn unreported(&self, default: u64, settled: bool) -> u64 {
        if settled {
            return 0;
        }
        self.inherited.unwrap_or(default).saturating_sub(self.reported)
    }

    /// What incarnations that are over may have begun.
    fn ended_amount(&mut self, now: Timestamp) -> u64 {
        self.ended.retain(|ended| now < ended.counts_until);
        self.ended.iter().map(|ended| ended.operations).sum()
    }

    /// What is given, or may have begun. Settled: nothing of earlier leaders is left.
    pub(super) fn given(&mut self, now: Timestamp, settled: bool) -> u64 {
        self.bookings.sums().amount + self.ended_amount(now) + self.unreported(0, settled)
    }

    /// Operations that all gateways need.
    pub(super) const fn needed(&self) -> u64 {
        self.bookings.sums().needed
    }

    /// Operations that gateways may hold.
    pub(super) const fn booked(&self) -> u64 {
        self.bookings.sums().amount
    }

    /// Gateways that will be given more of what they need.
    pub(super) const fn lacking(&self) -> &BTreeSet<ProxyName> {
        &self.lacking
    }

    /// Some of what a gateway holds was recalled.
    pub(super) fn note_recalled(&mut self, gateway: &ProxyName, number: u64) {
        self.bookings.note_recalled(gateway, number);
    }

    /// An allowance was sent.
    pub(super) fn note_granted(&mut self, gateway: &ProxyName, number: u64, operations: u64) {
        self.bookings.change(gateway, |booking| {
            booking.unanswered.push((number, operations));
            booking.granted = Some(operations);
        });
    }
}
