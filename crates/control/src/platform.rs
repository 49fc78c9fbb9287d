//! Polls the platform's list of live and leaving machines, and passes it to the consensus thread.
//!
//! Owns nothing between polls; the core's membership decides what the list means.

use crate::consensus::{ConsensusHandle, ConsensusInput, ReplicaStatus};
use crate::settings::PlatformSource;
use crate::stop::StopSignal;
use corktack_core::consensus::Role;
use corktack_core::membership::PlatformList;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch::Receiver;
use tokio::time::{MissedTickBehavior, interval};

/// Longest wait for the list. Chosen, not measured; a lower value misses lists behind slow links, a higher
/// one skips more polls while the list cannot be reached.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest list in bytes. Chosen, not measured: some 100,000 addresses; a lower value refuses large fleets, a
/// higher one takes more memory for a wrong answer.
const LIST_BYTES_LIMIT: usize = 4 * 1024 * 1024;

/// The list as it is sent.
#[derive(Debug, Deserialize)]
struct ListBody {
    #[serde(default)]
    live: BTreeSet<SocketAddr>,
    #[serde(default)]
    leaving: BTreeSet<SocketAddr>,
}

/// Why the list could not be read.
#[derive(Debug, thiserror::Error)]
enum PollError {
    #[error("the list was not sent")]
    Send,
    #[error("the list was answered with status {0}")]
    Status(u16),
    #[error("the list is not of the agreed form")]
    Body,
}

/// Polls while this replica leads, until the stop.
pub(crate) async fn poll_platform(
    source: PlatformSource,
    status: Receiver<ReplicaStatus>,
    consensus: ConsensusHandle,
    stop: StopSignal,
) {
    let client = awc::Client::builder().timeout(POLL_TIMEOUT).finish();
    let url = format!("http://{}{}", source.address, source.path);
    let mut ticks = interval(source.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => (),
            () = stop.stopped() => return,
        }
        if status.borrow().role != Role::Leader {
            continue;
        }
        match poll(&client, &url).await {
            Ok(list) => {
                if consensus.send(ConsensusInput::Platform(list)).is_err() {
                    return;
                }
            }
            Err(error) => log::warn!(error:% = error; "the platform's list cannot be read"),
        }
    }
}

async fn poll(client: &awc::Client, url: &str) -> Result<PlatformList, PollError> {
    let mut response = client.get(url).send().await.map_err(|_| PollError::Send)?;
    if !response.status().is_success() {
        return Err(PollError::Status(response.status().as_u16()));
    }
    let list = response.json::<ListBody>().limit(LIST_BYTES_LIMIT).await;
    let ListBody { live, leaving } = list.map_err(|_| PollError::Body)?;
    Ok(PlatformList { live, leaving })
}
