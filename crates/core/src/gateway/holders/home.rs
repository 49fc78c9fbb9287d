//! Which holder of a member keeps the connections of a tenant.
//!
//! A connection is opened in one tenant's name and serves that tenant alone. Where a tenant's statements
//! reach a member through whichever holder is nearest to the caller, each holder opens connections for
//! every tenant and has to close others for them. So all of a tenant's statements at a member go through
//! one holder, its home there, as long as that can be asked; the next in the same order takes its place.
//!
//! Relies on addresses and names only, so that all gateways find the same home; owns nothing.

use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// How much a holder is preferred for a tenant, or for what else is kept at one: the heaviest is its home.
/// Rendezvous hash, so that a tenant moves only when its home goes, or a heavier holder comes.
#[must_use]
pub fn home_weight(key: &impl Hash, holder: SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new();
    key.hash(&mut hasher);
    holder.hash(&mut hasher);
    hasher.finish()
}
