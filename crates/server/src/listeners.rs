//! Binds listeners, so that a taken port is reported once and before anything starts.
//!
//! The error names the setting that is at fault.

use std::net::{SocketAddr, TcpListener};

/// Why an address cannot be listened on.
#[derive(Debug, thiserror::Error)]
#[error("{setting} = {address}: cannot be listened on")]
pub struct ListenError {
    /// The setting that names the address.
    pub setting: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// Why; a taken port is [`std::io::ErrorKind::AddrInUse`].
    pub source: std::io::Error,
}

/// Binds a listener; the error names the setting.
///
/// # Errors
/// [`ListenError`].
pub fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).map_err(|source| ListenError { setting, address, source })
}

/// The address a listener got, where the setting left the port open.
///
/// # Errors
/// [`ListenError`].
pub fn bound_address(
    setting: &'static str,
    address: SocketAddr,
    listener: &TcpListener,
) -> Result<SocketAddr, ListenError> {
    listener.local_addr().map_err(|source| ListenError { setting, address, source })
}
