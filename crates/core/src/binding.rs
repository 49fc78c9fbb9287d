//! Chooses the priority class of a caller from the bindings in force.

use crate::identity::ClassName;
use crate::resources::{BindingSpec, CallerMatch};
use crate::view::View;
use std::cmp::Reverse;
use std::net::IpAddr;

/// What is known of a caller when it connects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// User of the startup message.
    pub user: String,
    /// Database of the startup message.
    pub database: String,
    /// `application_name` of the startup message, or empty.
    pub application_name: String,
    /// Address the caller connects from.
    pub source: IpAddr,
}

/// A source network, `ADDRESS/PREFIX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceNetwork {
    address: IpAddr,
    prefix: u32,
}

/// A text that is not `ADDRESS/PREFIX`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a network of the form ADDRESS/PREFIX")]
pub struct SourceNetworkError(pub String);

impl std::str::FromStr for SourceNetwork {
    type Err = SourceNetworkError;

    fn from_str(text: &str) -> Result<Self, SourceNetworkError> {
        let parse = || {
            let (address, prefix) = text.split_once('/')?;
            let address: IpAddr = address.parse().ok()?;
            let prefix: u32 = prefix.parse().ok()?;
            (prefix <= address_bits(address)).then_some(Self { address, prefix })
        };
        parse().ok_or_else(|| SourceNetworkError(text.to_owned()))
    }
}

impl SourceNetwork {
    /// Whether the address is inside the network.
    #[must_use]
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        let bits = address_bits(self.address);
        if bits != address_bits(address) {
            return false;
        }
        let mask = u128::MAX.checked_shl(bits - self.prefix).unwrap_or(0);
        (as_number(address) ^ as_number(self.address)) & mask == 0
    }
}

fn address_bits(address: IpAddr) -> u32 {
    match address {
        IpAddr::V4(_) => u32::BITS,
        IpAddr::V6(_) => u128::BITS,
    }
}

fn as_number(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(address) => u128::from(address.to_bits()),
        IpAddr::V6(address) => address.to_bits(),
    }
}

/// The class of the binding with the highest order that covers the caller and
/// whose class exists, then the first by name; the default class without one.
#[must_use]
pub fn choose_class(view: &View, caller: &CallerIdentity, default: &ClassName) -> ClassName {
    let chosen = view
        .bindings
        .iter()
        .filter(|(_, binding)| view.classes.contains_key(&binding.class))
        .filter(|(_, binding)| covers(binding, caller))
        .min_by_key(|(name, binding)| (Reverse(binding.order), *name));
    chosen.map_or_else(|| default.clone(), |(_, binding)| binding.class.clone())
}

fn covers(binding: &BindingSpec, caller: &CallerIdentity) -> bool {
    let CallerMatch { user, database, application_name, source_network } = &binding.callers;
    same_or_absent(user.as_ref(), &caller.user)
        && same_or_absent(database.as_ref(), &caller.database)
        && same_or_absent(application_name.as_ref(), &caller.application_name)
        && source_network.as_ref().is_none_or(|network| network_covers(network, caller.source))
}

fn same_or_absent(wanted: Option<&String>, found: &str) -> bool {
    wanted.is_none_or(|wanted| wanted == found)
}

/// A network that cannot be parsed covers nobody.
fn network_covers(network: &str, source: IpAddr) -> bool {
    network.parse::<SourceNetwork>().is_ok_and(|network| network.contains(source))
}
