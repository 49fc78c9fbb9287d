//! Who is preferred among members that are as good as equal.
//!
//! Owns the count of a gateway's reads, from which preferences are drawn without randomness. Relies on names
//! only, so that all gateways prefer the same members for a tenant.

use crate::identity::{MemberName, ProxyName};
use crate::tenancy::TenantName;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Preferences of a gateway's reads, which are the same in each run.
///
/// A tenant's are always the same, at all gateways: its reads come back to members where it has
/// connections. Of those without a tenant each has its own, so that they spread evenly.
#[derive(Clone, Debug)]
pub struct ReaderPreferences {
    gateway: u64,
    drawn: u64,
}

/// What one read prefers.
#[derive(Clone, Copy, Debug)]
pub struct Preference(u64);

impl ReaderPreferences {
    /// Those of a gateway.
    #[must_use]
    pub fn of(gateway: &ProxyName) -> Self {
        Self { gateway: hash(gateway), drawn: 0 }
    }

    /// What the next read prefers.
    pub fn next(&mut self, tenant: Option<&TenantName>) -> Preference {
        if let Some(tenant) = tenant {
            return Preference(hash(tenant));
        }
        self.drawn = self.drawn.wrapping_add(1);
        Preference(hash(&(self.gateway, self.drawn)))
    }
}

impl Preference {
    /// How much a member is preferred: a rendezvous hash, so that who prefers a member does so as well
    /// when others come or go.
    #[must_use]
    pub fn weight(self, member: &MemberName) -> u64 {
        hash(&(self.0, member))
    }
}

fn hash(hashed: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    hashed.hash(&mut hasher);
    hasher.finish()
}
