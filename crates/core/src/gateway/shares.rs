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

/// The holders in the order in which one gateway asks them. Those on its way to the member, in its
/// own region or the member's, are all as near: they are asked in turn, from a place that a hash of
/// the gateway gives, so that gateways spread over all of them. The others come last.
#[must_use]
pub fn asking_order(
    own: &ProxyName,
    own_zone: &ZoneName,
    (member, member_zone): (&MemberName, &ZoneName),
    holders: &[(ProxyName, ZoneName)],
) -> Vec<ProxyName> {
    let near =
        |zone: &ZoneName, other: &ZoneName| Distance::between(zone, other) != Distance::OtherRegion;
    let on_the_way = |zone: &ZoneName| near(zone, own_zone) || near(zone, member_zone);
    let (mut order, mut others): (Vec<_>, Vec<_>) =
        holders.iter().partition(|(_, zone)| on_the_way(zone));
    for part in [&mut order, &mut others] {
        let turn = turn(own, member, part.len());
        part.rotate_left(turn);
    }
    order.append(&mut others);
    order.into_iter().map(|(holder, _)| holder.clone()).collect()
}

/// The place at which a gateway begins.
fn turn(own: &ProxyName, member: &MemberName, places: usize) -> usize {
    let mut hasher = SipHasher13::new();
    own.hash(&mut hasher);
    member.hash(&mut hasher);
    hasher.finish() as usize % places.max(1)
}
