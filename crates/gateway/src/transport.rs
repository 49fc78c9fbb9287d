//! How the bytes of a connection reach a member: straight, or through the gateway that holds it.
//!
//! It is for [`connection`](crate::connection), which need not know. It owns the socket or the tunnel. It
//! relies on [`tunnel`](crate::tunnel) for the second way.

use crate::error::LinkError;
use crate::tunnel::TunnelClient;
use bytes::BytesMut;
use std::io::ErrorKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The way to a member.
#[derive(Debug)]
pub(crate) enum Transport {
    /// A connection of this gateway's own.
    Direct(TcpStream),
    /// A connection that another gateway holds.
    Tunnel(Box<TunnelClient>),
}

impl Transport {
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        match self {
            Self::Direct(stream) => Ok(stream.write_all(bytes).await?),
            Self::Tunnel(tunnel) => tunnel.write(bytes).await,
        }
    }

    /// Appends what comes next.
    pub(crate) async fn read(&mut self, buffer: &mut BytesMut) -> Result<(), LinkError> {
        match self {
            Self::Direct(stream) => match stream.read_buf(buffer).await? {
                0 => Err(LinkError::Closed),
                _ => Ok(()),
            },
            Self::Tunnel(tunnel) => tunnel.read(buffer).await,
        }
    }

    /// Whether the far end closed the connection, or sent something unasked, while it was idle.
    pub(crate) fn is_broken(&self) -> bool {
        let Self::Direct(stream) = self else { return false };
        let mut byte = [0_u8; 1];
        match stream.try_read(&mut byte) {
            Err(error) => error.kind() != ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Writes as much as goes without waiting.
    pub(crate) fn try_write(&self, bytes: &[u8]) {
        if let Self::Direct(stream) = self {
            // The close that follows says the same.
            let _ = stream.try_write(bytes);
        }
    }
}
