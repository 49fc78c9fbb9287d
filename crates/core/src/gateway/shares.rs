//! Which gateways hold connections to a member.
//!
//! A member takes few connections; where there are many gateways only some can hold any, and the
//! others forward to one that does. Every gateway works the holders out by itself from the same
//! view: while views differ for a moment, a member may meet more connections than it takes and
//! says so, which is never a wrong answer.

use super::member_choice::Distance;
use crate::identity::{MemberName, ProxyName, ZoneName};
use siphasher::sip::SipHasher13;
use std::cmp::Reverse;
use std::hash::{Hash, Hasher};

/// Connections that make a share worth holding: fewer would be dialed anew all the time.
pub const CONNECTIONS_PER_SHARE: u32 = 4;

/// How many of the gateways hold connections to a member that takes `max_connections`.
#[must_use]
pub fn holder_count(max_connections: u32, gateways: usize) -> usize {
    let shares = (max_connections / CONNECTIONS_PER_SHARE).max(1) as usize;
    shares.min(gateways.max(1))
}

/// The gateways that hold connections to a member, the preferred first: near ones before far
/// ones, but at least one elsewhere, so that a lost zone leaves a holder of its members.
#[must_use]
pub fn holders(
    member: &MemberName,
    zone: &ZoneName,
    gateways: &[(&ProxyName, &ZoneName)],
    count: usize,
) -> Vec<ProxyName> {
    let mut ranked: Vec<_> = gateways
        .iter()
        .map(|(gateway, at)| {
            (Distance::between(zone, at), Reverse(weight(member, gateway)), *gateway)
        })
        .collect();
    ranked.sort();
    if ranked.len() > count
        && count > 1
        && ranked[..count].iter().all(|(distance, ..)| *distance == Distance::SameZone)
        && let Some(place) = ranked.iter().position(|(it, ..)| *it != Distance::SameZone)
    {
        ranked.swap(count - 1, place);
    }
    ranked.into_iter().take(count).map(|(.., gateway)| gateway.clone()).collect()
}

/// Rendezvous hash: when a gateway comes or goes, only its own shares move.
fn weight(member: &MemberName, gateway: &ProxyName) -> u64 {
    let mut hasher = SipHasher13::new();
    member.hash(&mut hasher);
    gateway.hash(&mut hasher);
    hasher.finish()
}

/// The holders in the order in which one gateway asks them: those of its own zone first, then by a
/// hash of its own, so that gateways spread over the holders.
#[must_use]
pub fn asking_order(
    own: &ProxyName,
    own_zone: &ZoneName,
    member: &MemberName,
    holders: &[(ProxyName, ZoneName)],
) -> Vec<ProxyName> {
    let mut hasher = SipHasher13::new();
    own.hash(&mut hasher);
    member.hash(&mut hasher);
    let turn = hasher.finish() as usize % holders.len().max(1);
    let mut order: Vec<_> = holders
        .iter()
        .enumerate()
        .map(|(place, (holder, zone))| {
            let behind = (place + holders.len() - turn) % holders.len();
            (Distance::between(own_zone, zone), behind, holder.clone())
        })
        .collect();
    order.sort();
    order.into_iter().map(|(.., holder)| holder).collect()
}
