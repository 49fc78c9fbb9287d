//! Polls the platform's list of live and leaving machines, and sends it to the consensus thread.
//!
//! The membership logic of the core decides what follows from the list.

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

/// Timeout of one poll. A shorter timeout misses lists behind slow links; a longer one skips more polls while
/// the platform cannot be reached.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest list in bytes, enough for some 100,000 addresses. A lower limit rejects the list of a large fleet;
/// a higher one uses more memory for a malformed response.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// JSON body of the list.
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
    #[error("the request failed")]
    Send,
    #[error("the platform responded with status {0}")]
    Status(u16),
    #[error("the list does not have the expected form")]
    Body,
}

/// Polls the list while this replica leads, until the replica stops.
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
                if consensus.send(ConsensusInput::PlatformList(list)).is_err() {
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
    let list = response.json::<ListBody>().limit(MAX_LIST_BYTES).await;
    let ListBody { live, leaving } = list.map_err(|_| PollError::Body)?;
    Ok(PlatformList { live, leaving })
}
