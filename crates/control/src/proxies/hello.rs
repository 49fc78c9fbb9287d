//! How a connection at the proxies' interface begins: a proxy's hello, or a replica's request to join.
//!
//! Owns nothing. Relies on the consensus thread to decide on joiners.

use super::connection_error::ConnectionError;
use super::server::{ProxyServer, SEND_TIMEOUT};
use super::table::ProxyIdentity;
use crate::consensus::ConsensusInput;
use crate::feed::encode_frame;
use corktack_core::consensus::CellMember;
use corktack_core::view::Revision;
use corktack_protocol::control::{ControlMessage, ProxyMessage};
use corktack_protocol::frame::FrameCodec;
use futures_util::StreamExt;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

/// Longest wait for the first message. Chosen, not measured; a lower value cuts off proxies behind slow
/// links, a higher one keeps silent connections for longer.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// The reading side of a connection.
pub(super) type Reader = FramedRead<OwnedReadHalf, FrameCodec<ControlMessage, ProxyMessage>>;

/// What a connection begins with.
pub(super) enum First {
    /// A proxy and the revision that it has.
    Proxy(ProxyIdentity, Revision),
    /// A replica that requests to be added to the cell.
    Joiner(CellMember),
}

/// Passes the request on, and answers the joiner whom to expect.
pub(super) async fn answer_joiner(
    member: CellMember,
    mut write_half: OwnedWriteHalf,
    server: &ProxyServer,
) {
    if server.consensus.send(ConsensusInput::Join(member)).is_err() {
        return;
    }
    let cell = server.status.borrow().cell.clone();
    let Ok(frame) = encode_frame(ControlMessage::Cell(cell)) else { return };
    // A joiner that misses the answer requests it again.
    drop(timeout(SEND_TIMEOUT, write_half.write_all(&frame)).await);
}

/// Waits for the first message of a connection.
pub(super) async fn receive_hello(reader: &mut Reader) -> Result<First, ConnectionError> {
    let message = timeout(HELLO_TIMEOUT, reader.next()).await;
    match message.map_err(|_| ConnectionError::Silent)? {
        Some(Ok(ProxyMessage::Hello { proxy, incarnation, address, zone, revision })) => {
            Ok(First::Proxy(ProxyIdentity { proxy, incarnation, address, zone }, revision))
        }
        Some(Ok(ProxyMessage::Join { member })) => Ok(First::Joiner(member)),
        Some(Ok(_)) => Err(ConnectionError::OutOfPlace),
        Some(Err(error)) => Err(error.into()),
        None => Err(ConnectionError::Closed),
    }
}
