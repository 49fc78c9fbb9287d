//! Preferences of reads among members with nearly equal expected times.
//!
//! [`ReaderPreferences`] owns the count of a gateway's reads and derives preferences from it
//! without randomness. A tenant's preferences depend on names only, so that all gateways prefer the
//! same members for the tenant.

use crate::identity::{MemberName, ProxyName};
use crate::tenancy::TenantName;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Preferences of one gateway's reads, the same in each run.
///
/// A tenant's preference is always the same, at all gateways, so that the tenant's reads return to
/// members where it has connections. Each read without a tenant has a preference of its own, so
/// that these reads spread evenly.
#[derive(Clone, Debug)]
pub struct ReaderPreferences {
    gateway_hash: u64,
    read_count: u64,
}

/// The preference of one read.
#[derive(Clone, Copy, Debug)]
pub struct Preference(u64);

impl ReaderPreferences {
    /// Creates the preferences of a gateway.
    #[must_use]
    pub fn for_gateway(gateway: &ProxyName) -> Self {
        Self { gateway_hash: hash(gateway), read_count: 0 }
    }

    /// Returns the preference of the next read.
    pub fn next_preference(&mut self, tenant: Option<&TenantName>) -> Preference {
        if let Some(tenant) = tenant {
            return Preference(hash(tenant));
        }
        self.read_count = self.read_count.wrapping_add(1);
        Preference(hash(&(self.gateway_hash, self.read_count)))
    }
}

impl Preference {
    /// Returns how much a member is preferred. The weight is a rendezvous hash, so a read keeps
    /// preferring the same member when other members join or leave.
    #[must_use]
    pub fn weight(self, member: &MemberName) -> u64 {
        hash(&(self.0, member))
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
