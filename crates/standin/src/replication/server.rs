//! Serves the requests of primaries.

use super::link::{Link, LinkError};
use super::state::Replication;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

/// Accepts replication connections for ever.
pub async fn serve(listener: TcpListener, replication: Arc<Replication>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_peer(stream, replication.clone()));
            }
            Err(error) => log::warn!(error:%; "replication connection not accepted"),
        }
    }
}

async fn serve_peer(stream: TcpStream, replication: Arc<Replication>) {
    if let Err(error) = answer_requests(stream, &replication).await {
        log::debug!(error:%; "replication connection ended");
    }
}

async fn answer_requests(stream: TcpStream, replication: &Replication) -> Result<(), LinkError> {
    let mut link = Link::new(stream)?;
    loop {
        let request = link.receive().await?;
        match replication.take_request(request) {
            Ok(response) => link.send(&response).await?,
            Err(error) => {
                log::error!(error:%; "append request failed");
                return Ok(());
            }
        }
    }
}
