//! Byte transport of a connection to a member: a socket of this gateway, or a tunnel to the gateway that
//! holds the connection.

use crate::error::LinkError;
use crate::tunnel::TunnelClient;
use bytes::BytesMut;
use std::io::ErrorKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Transport of a connection's bytes.
#[derive(Debug)]
pub(crate) enum Transport {
    /// Socket of a connection that this gateway opened.
    Direct(TcpStream),
    /// Tunnel to the gateway that holds the connection.
    Tunnel(Box<TunnelClient>),
}

impl Transport {
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        match self {
            Self::Direct(stream) => Ok(stream.write_all(bytes).await?),
            Self::Tunnel(tunnel) => tunnel.write(bytes).await,
        }
    }

    /// Appends the next bytes to `buffer`.
    pub(crate) async fn read(&mut self, buffer: &mut BytesMut) -> Result<(), LinkError> {
        match self {
            Self::Direct(stream) => match stream.read_buf(buffer).await? {
                0 => Err(LinkError::Closed),
                _ => Ok(()),
            },
            Self::Tunnel(tunnel) => tunnel.read(buffer).await,
        }
    }

    /// Reports whether the member closed the idle connection, or sent unexpected bytes on it.
    pub(crate) fn is_broken(&self) -> bool {
        let Self::Direct(stream) = self else { return false };
        let mut byte = [0_u8; 1];
        match stream.try_read(&mut byte) {
            Err(error) => error.kind() != ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Writes as much as the socket takes without waiting.
    pub(crate) fn try_write(&self, bytes: &[u8]) {
        if let Self::Direct(stream) = self {
            // If this fails, the close that follows ends the connection as well.
            let _ = stream.try_write(bytes);
        }
    }
}
