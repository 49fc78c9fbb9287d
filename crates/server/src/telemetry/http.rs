//! HTTP endpoints for metrics, liveness and readiness.
//!
//! The parts of a process register their metrics in the [`SharedRegistry`] and set its [`Readiness`].

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpResponse, HttpServer, web};
use prometheus_client::registry::Registry;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

/// Media type of the response of `/metrics`.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Seconds that requests in flight may take when the server stops. A higher value delays the stop.
const SHUTDOWN_TIMEOUT_S: u64 = 1;

/// Metrics registry of a process; its parts register their metrics as they start.
pub type SharedRegistry = Arc<RwLock<Registry>>;

/// Calls `add` with exclusive access to the registry and returns its result.
pub fn with_registry<T>(registry: &SharedRegistry, add: impl FnOnce(&mut Registry) -> T) -> T {
    add(&mut registry.write().unwrap_or_else(PoisonError::into_inner))
}

/// Readiness of a process for new requests, shared by its clones. Starts as "not ready".
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the process accepts new requests.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Reports whether the process accepts new requests.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Serves `/metrics`, `/live` and `/ready` on a bound listener, from a separate worker thread.
///
/// # Errors
/// The I/O error of the listener when it cannot be used.
pub fn serve(
    listener: TcpListener,
    registry: SharedRegistry,
    readiness: Readiness,
) -> std::io::Result<ServerHandle> {
    let registry = web::Data::from(registry);
    let readiness = web::Data::new(readiness);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(registry.clone())
            .app_data(readiness.clone())
            .route("/metrics", web::get().to(metrics))
            .route("/live", web::get().to(live))
            .route("/ready", web::get().to(ready))
    });
    let server = server.workers(1).disable_signals().shutdown_timeout(SHUTDOWN_TIMEOUT_S);
    let server = server.listen(listener)?.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

async fn metrics(registry: web::Data<RwLock<Registry>>) -> HttpResponse {
    let mut text = String::new();
    let registry = registry.read().unwrap_or_else(PoisonError::into_inner);
    match prometheus_client::encoding::text::encode(&mut text, &registry) {
        Ok(()) => HttpResponse::Ok().content_type(METRICS_CONTENT_TYPE).body(text),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(readiness: web::Data<Readiness>) -> HttpResponse {
    if readiness.get() {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}
