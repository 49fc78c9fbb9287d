//! The holder that keeps a tenant's connections to a member, called the tenant's home.
//!
//! A connection is opened in the name of one tenant and serves only that tenant. If a tenant's
//! statements reached a member through whichever holder is nearest to the caller, every holder
//! would open connections for every tenant and close those of other tenants for them. All
//! statements of a tenant at a member therefore go through one holder as long as that holder
//! answers; the next holder in the same order takes its place. The order depends on addresses and
//! names only, so all gateways compute the same home.

use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Returns the rendezvous weight of a holder for `key`, a tenant or another unit that is kept at
/// one holder. The holder with the highest weight is the home. A key moves only when its home
/// leaves or a holder with a higher weight joins.
#[must_use]
pub fn home_weight(key: &impl Hash, holder: SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new();
    key.hash(&mut hasher);
    holder.hash(&mut hasher);
    hasher.finish()
}
