//! The operators' resource interface over HTTP.

mod answer;
mod auth;
mod body;
mod cell;
mod health;
mod path;
mod resources;
mod status;
mod watch;

use crate::consensus::{ConsensusHandle, ReplicaStatus};
use crate::feed::Feed;
use crate::proxies::Proofs;
use crate::stop::StopSignal;
use actix_web::dev::Server;
use actix_web::middleware::from_fn;
use actix_web::{App, HttpServer, web};
use corktack_core::identity::ReplicaId;
use corktack_protocol::cell::CellName;
use prometheus_client::registry::Registry;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for requests in flight at a stop, in seconds.
const SHUTDOWN_SECONDS: u64 = 2;

/// What the handlers work with.
#[derive(Clone)]
pub(crate) struct Operators {
    pub(crate) cell: CellName,
    pub(crate) replica: ReplicaId,
    pub(crate) consensus: ConsensusHandle,
    pub(crate) feed: Feed,
    pub(crate) proofs: Proofs,
    pub(crate) status: tokio::sync::watch::Receiver<ReplicaStatus>,
    pub(crate) registry: Arc<Registry>,
    pub(crate) token: Option<Arc<str>>,
    pub(crate) bookmark_interval: Duration,
    pub(crate) stop: StopSignal,
}

/// Starts the server on a bound listener.
pub(crate) fn serve(
    operators: Operators,
    listener: TcpListener,
    workers: usize,
) -> std::io::Result<Server> {
    let app = move || App::new().app_data(web::Data::new(operators.clone())).configure(routes);
    let server = HttpServer::new(app)
        .workers(workers)
        .shutdown_timeout(SHUTDOWN_SECONDS)
        .disable_signals()
        .listen(listener)?;
    Ok(server.run())
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/live", web::get().to(health::live))
        .route("/ready", web::get().to(health::ready))
        .route("/metrics", web::get().to(health::metrics))
        .default_service(web::to(path::not_served))
        .service(
            web::scope("/v1")
                .wrap(from_fn(auth::require_token))
                .route("/watch", web::get().to(watch::watch))
                .route("/status", web::get().to(status::status))
                .route("/cell", web::post().to(cell::change))
                .route("/{kind}", web::get().to(resources::list))
                .service(
                    web::resource("/{kind}/{name}")
                        .route(web::get().to(resources::get))
                        .route(web::put().to(resources::put))
                        .route(web::delete().to(resources::delete)),
                ),
        );
}
