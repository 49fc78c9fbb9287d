//! Binds listeners before a role starts, so that a port in use is reported before any part runs.
//!
//! An error names the setting that holds the address.

use std::net::{SocketAddr, TcpListener};

/// Reports that a listener cannot be bound to the address of a setting.
#[derive(Debug, thiserror::Error)]
#[error("{setting} = {address}: cannot be listened on")]
pub struct ListenError {
    /// Key of the setting that holds the address, for example `addresses.peers`.
    pub setting: &'static str,
    /// Address as the settings have it.
    pub address: SocketAddr,
    /// Error of the operating system; [`std::io::ErrorKind::AddrInUse`] if the port is in use.
    pub source: std::io::Error,
}

/// Binds a listener to the address of a setting.
///
/// # Errors
/// Returns [`ListenError`], which names the setting, if the address cannot be bound.
pub fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).map_err(|source| ListenError { setting, address, source })
}

/// Returns the address that a listener is bound to; its port differs from the setting's if that is 0.
///
/// # Errors
/// Returns [`ListenError`] if the operating system does not report the address.
pub fn bound_address(
    setting: &'static str,
    address: SocketAddr,
    listener: &TcpListener,
) -> Result<SocketAddr, ListenError> {
    listener.local_addr().map_err(|source| ListenError { setting, address, source })
}
