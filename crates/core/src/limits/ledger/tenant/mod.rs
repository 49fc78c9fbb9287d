//! Allocations of one tenant's limit.
//!
//! Adds up what gateways may hold (`bookings`), what ended incarnations may have begun, and what
//! earlier leaders allocated that no gateway has reported; computes from these what a gateway may have
//! (`sharing`). [`super::LimitLedger`] says which incarnations have ended.

mod bookings;
mod sharing;

pub(super) use sharing::{Offer, OfferTerms, Recall};

use super::GatewayIncarnation;
use crate::identity::ProxyName;
use crate::limits::messages::AllowanceDemand;
use crate::time::Timestamp;
use bookings::Bookings;
use std::collections::BTreeSet;

/// Allocations of one tenant's limit.
#[derive(Debug, Default)]
pub(super) struct TenantLedger {
    /// The most that earlier leaders may have allocated; none where the log holds no ceiling and the
    /// default applies.
    inherited: Option<u64>,
    /// Operations of the inherited allocation that have been reported.
    reported_inherited: u64,
    bookings: Bookings,
    ended_incarnations: Vec<EndedIncarnation>,
    /// Gateways that have less than their share and will be offered more.
    gateways_below_share: BTreeSet<ProxyName>,
}

/// What an incarnation may have begun that has ended, or whose lease has expired.
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

    /// Books what a gateway reports. With `was_awaited`, the gateway may hold allowances of an earlier
    /// leader.
    pub(super) fn book(
        &mut self,
        gateway: &ProxyName,
        demand: &AllowanceDemand,
        applied_grant: u64,
        was_awaited: bool,
    ) {
        self.bookings.change(gateway, |booking| {
            booking.acknowledge_grants(applied_grant);
            booking.held = demand.held;
            booking.needed = demand.needed;
            booking.wanted = demand.wanted;
            booking.granted_since_report = None;
        });
        if was_awaited {
            self.reported_inherited += demand.held;
        }
    }

    /// Clears the booking of a gateway whose full report doesn't name this tenant.
    pub(super) fn clear_booking(&mut self, gateway: &ProxyName, applied_grant: u64) {
        if self.bookings.get(gateway).is_some() {
            self.bookings.change(gateway, |booking| {
                booking.acknowledge_grants(applied_grant);
                booking.held = 0;
                booking.needed = 0;
                booking.wanted = 0;
            });
        }
    }

    /// Moves the booking of an incarnation that has ended, or whose lease has expired, to the ended
    /// ones.
    pub(super) fn end_incarnation(
        &mut self,
        incarnation: &GatewayIncarnation,
        counts_until: Timestamp,
    ) {
        if let Some(booking) = self.bookings.remove(&incarnation.gateway) {
            self.gateways_below_share.remove(&incarnation.gateway);
            let (incarnation, operations) = (incarnation.clone(), booking.amount());
            self.ended_incarnations.push(EndedIncarnation {
                incarnation,
                operations,
                counts_until,
            });
        }
    }

    /// Shortens the time for which the predecessors of an incarnation count, as they ended earlier than
    /// was known.
    pub(super) fn shorten_ended(
        &mut self,
        successor: &GatewayIncarnation,
        counts_until: Timestamp,
    ) {
        let is_predecessor = |candidate: &GatewayIncarnation| {
            candidate.gateway == successor.gateway && candidate.incarnation != successor.incarnation
        };
        for ended in
            self.ended_incarnations.iter_mut().filter(|ended| is_predecessor(&ended.incarnation))
        {
            ended.counts_until = ended.counts_until.min(counts_until);
        }
    }

    /// Drops what no longer counts.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.ended_incarnations.retain(|ended| now < ended.counts_until);
        self.bookings.remove_unused();
    }

    /// Returns what earlier leaders allocated and no gateway has reported.
    fn unreported(&self, default: u64, inherited_expired: bool) -> u64 {
        if inherited_expired {
            return 0;
        }
        self.inherited.unwrap_or(default).saturating_sub(self.reported_inherited)
    }

    /// Returns the operations that ended incarnations may have begun.
    fn ended_operations(&mut self, now: Timestamp) -> u64 {
        self.ended_incarnations.retain(|ended| now < ended.counts_until);
        self.ended_incarnations.iter().map(|ended| ended.operations).sum()
    }

    /// Returns the operations that are allocated, or may have begun.
    pub(super) fn allocated(&mut self, now: Timestamp, inherited_expired: bool) -> u64 {
        self.bookings.totals().amount
            + self.ended_operations(now)
            + self.unreported(0, inherited_expired)
    }

    /// Returns the operations that all gateways need.
    pub(super) const fn needed(&self) -> u64 {
        self.bookings.totals().needed
    }

    /// Returns the operations that gateways may hold.
    pub(super) const fn booked(&self) -> u64 {
        self.bookings.totals().amount
    }

    /// Returns the gateways that have less than their share and will be offered more.
    pub(super) const fn gateways_below_share(&self) -> &BTreeSet<ProxyName> {
        &self.gateways_below_share
    }

    /// Records the grant that recalled some of what a gateway holds.
    pub(super) fn record_recall(&mut self, gateway: &ProxyName, number: u64) {
        self.bookings.record_recall(gateway, number);
    }

    /// Records a granted allowance.
    pub(super) fn record_grant(&mut self, gateway: &ProxyName, number: u64, operations: u64) {
        self.bookings.change(gateway, |booking| {
            booking.unacknowledged.push((number, operations));
            booking.granted_since_report = Some(operations);
        });
    }
}
