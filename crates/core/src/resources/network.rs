//! Source networks of bindings.
//!
//! Owns the text form of a network and the question whether an address lies in it.

use std::net::IpAddr;
use std::str::FromStr;

/// An address range `ADDRESS/PREFIX`. Bits after the prefix are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceNetwork {
    address: IpAddr,
    prefix: u32,
}

/// A text that is not `ADDRESS/PREFIX`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a network of the form ADDRESS/PREFIX")]
pub struct NetworkError(pub String);

impl SourceNetwork {
    /// Whether the address lies in the network. An IPv4 address that is mapped
    /// into IPv6 counts as the IPv4 address.
    #[must_use]
    pub fn contains(&self, address: IpAddr) -> bool {
        let prefix = self.prefix;
        match (self.address, address.to_canonical()) {
            (IpAddr::V4(network), IpAddr::V4(address)) => {
                let different = network.to_bits() ^ address.to_bits();
                different.checked_shr(u32::BITS - prefix).unwrap_or(0) == 0
            }
            (IpAddr::V6(network), IpAddr::V6(address)) => {
                let different = network.to_bits() ^ address.to_bits();
                different.checked_shr(u128::BITS - prefix).unwrap_or(0) == 0
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
            let longest = if address.is_ipv4() { u32::BITS } else { u128::BITS };
            (prefix <= longest).then_some(Self { address, prefix })
        };
        parse().ok_or_else(|| NetworkError(text.to_owned()))
    }
}
