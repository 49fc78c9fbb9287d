//! The operators' resource interface over HTTP.
//!
//! This module defines the paths and the responses. The consensus thread runs every read and change; the
//! feed provides the events of the watch.

mod answer;
mod auth;
mod body;
mod cell;
mod health;
mod operators;
mod path;
mod resources;
mod status;
mod watch;

pub(crate) use operators::OperatorContext;

use actix_web::dev::Server;
use actix_web::middleware::from_fn;
use actix_web::{App, HttpServer, web};
use std::net::TcpListener;

/// How long a stop waits for requests in flight. A shorter timeout aborts requests whose changes are still
/// being committed; a longer one delays a stop with a stuck connection.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 2;

/// Starts the server on a bound listener.
pub(crate) fn serve(
    operators: OperatorContext,
    listener: TcpListener,
    workers: usize,
) -> std::io::Result<Server> {
    let app = move || App::new().app_data(web::Data::new(operators.clone())).configure(routes);
    let server = HttpServer::new(app)
        .workers(workers)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
        .disable_signals()
        .listen(listener)?;
    Ok(server.run())
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/live", web::get().to(health::live))
        .route("/ready", web::get().to(health::ready))
        .route("/metrics", web::get().to(health::metrics))
        .default_service(web::to(path::unknown_path))
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
