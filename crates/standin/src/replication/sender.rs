//! Sends a primary's entries and heartbeats to one peer.
//!
//! Owns one connection to the peer while this member leads; relies on the state for what to send next.

use super::link::{Link, LinkError};
use super::state::{Replication, ReplicationStatus};
use corktack_core::identity::MemberName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Pause between heartbeats of an idle primary.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Keeps one peer up to date whenever this member leads.
pub async fn keep_peer_current(
    replication: Arc<Replication>,
    peer: MemberName,
    address: SocketAddr,
) {
    let mut status = replication.subscribe();
    while status.wait_for(ReplicationStatus::is_leading).await.is_ok() {
        if let Err(error) = lead_peer(&replication, &peer, address, &mut status).await {
            log::debug!(peer:%, error:%; "replication to the peer interrupted");
            sleep(RECONNECT_PAUSE).await;
        }
    }
}

async fn lead_peer(
    replication: &Replication,
    peer: &MemberName,
    address: SocketAddr,
    status: &mut watch::Receiver<ReplicationStatus>,
) -> Result<(), LinkError> {
    let connecting = timeout(RESPONSE_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| LinkError::Silent)??;
    let mut link = Link::new(stream)?;
    loop {
        status.borrow_and_update();
        let Some(request) = replication.next_request(peer) else {
            return Ok(());
        };
        link.send(&request).await?;
        let response = timeout(RESPONSE_TIMEOUT, link.receive()).await;
        let response = response.map_err(|_| LinkError::Silent)??;
        let more = match replication.take_response(peer, request.term, &response) {
            Ok(more) => more,
            Err(error) => {
                log::error!(error:%; "response of a peer not taken");
                return Ok(());
            }
        };
        if !more {
            let _ = timeout(HEARTBEAT_INTERVAL, status.changed()).await;
        }
    }
}
