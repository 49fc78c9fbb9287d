//! Source networks of bindings: parsing, and whether a network contains an address.

use std::net::IpAddr;
use std::str::FromStr;

/// Address range `ADDRESS/PREFIX`. The bits of the address after the prefix are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceNetwork {
    address: IpAddr,
    prefix: u32,
}

/// Error of a text that is not `ADDRESS/PREFIX`; holds the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a network of the form ADDRESS/PREFIX")]
pub struct NetworkError(pub String);

impl SourceNetwork {
    /// Reports whether the address is in the network. An IPv4-mapped IPv6 address counts as the IPv4
    /// address.
    #[must_use]
    pub fn contains(&self, address: IpAddr) -> bool {
        let prefix = self.prefix;
        match (self.address, address.to_canonical()) {
            (IpAddr::V4(network), IpAddr::V4(address)) => {
                let differing_bits = network.to_bits() ^ address.to_bits();
                differing_bits.checked_shr(u32::BITS - prefix).unwrap_or(0) == 0
            }
            (IpAddr::V6(network), IpAddr::V6(address)) => {
                let differing_bits = network.to_bits() ^ address.to_bits();
                differing_bits.checked_shr(u128::BITS - prefix).unwrap_or(0) == 0
            }
            _ => false,
        }
    }
}

impl FromStr for SourceNetwork {
    type Err = NetworkError;

    fn from_str(text: &str) -> Result<Self, NetworkError> {
        let parse = || {
            let (address, prefix) = text.split_once('/')?;
            let address: IpAddr = address.parse().ok()?;
            let prefix: u32 = prefix.parse().ok()?;
            let max_prefix = if address.is_ipv4() { u32::BITS } else { u128::BITS };
            (prefix <= max_prefix).then_some(Self { address, prefix })
        };
        parse().ok_or_else(|| NetworkError(text.to_owned()))
    }
}
