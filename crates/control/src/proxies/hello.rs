//! First message of a connection to the proxies' interface: the hello of a proxy, or the request of a replica
//! to join the cell.
//!
//! The consensus thread decides on join requests.

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

/// Timeout of the first message. A shorter timeout disconnects proxies behind slow links; a longer one keeps
/// silent connections open.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Receiving half of a connection, decoded into messages.
pub(super) type MessageReader = FramedRead<OwnedReadHalf, FrameCodec<ControlMessage, ProxyMessage>>;

/// First message of a connection.
pub(super) enum FirstMessage {
    /// Hello of a proxy, with the revision that the proxy has in force.
    Hello(ProxyIdentity, Revision),
    /// Request of a replica to be added to the cell.
    JoinRequest(CellMember),
}

/// Passes a join request to the consensus thread, and sends the joining replica the members of the cell.
pub(super) async fn answer_join_request(
    member: CellMember,
    mut write_half: OwnedWriteHalf,
    server: &ProxyServer,
) {
    if server.consensus.send(ConsensusInput::Join(member)).is_err() {
        return;
    }
    let cell = server.status.borrow().cell.clone();
    let Ok(frame) = encode_frame(ControlMessage::Cell(cell)) else { return };
    // A joining replica that misses the answer sends its request again.
    drop(timeout(SEND_TIMEOUT, write_half.write_all(&frame)).await);
}

/// Receives the first message of a connection.
pub(super) async fn receive_hello(
    reader: &mut MessageReader,
) -> Result<FirstMessage, ConnectionError> {
    let message = timeout(HELLO_TIMEOUT, reader.next()).await;
    match message.map_err(|_| ConnectionError::ReceiveTimeout)? {
        Some(Ok(ProxyMessage::Hello { proxy, incarnation, address, zone, revision })) => {
            Ok(FirstMessage::Hello(ProxyIdentity { proxy, incarnation, address, zone }, revision))
        }
        Some(Ok(ProxyMessage::Join { member })) => Ok(FirstMessage::JoinRequest(member)),
        Some(Ok(_)) => Err(ConnectionError::UnexpectedMessage),
        Some(Err(error)) => Err(error.into()),
        None => Err(ConnectionError::Closed),
    }
}
