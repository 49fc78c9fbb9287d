//! Metrics, liveness and readiness over HTTP.
//!
//! Owns the registry that the parts of a process add to, and whether the process may be sent new work.

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpResponse, HttpServer, web};
use prometheus_client::registry::Registry;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

/// Media type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Seconds that open requests may take at a stop. Chosen, not measured; a higher value holds up the stop.
const SHUTDOWN_SECONDS: u64 = 1;

/// Metrics of a process; its parts add theirs as they start.
pub type SharedRegistry = Arc<RwLock<Registry>>;

/// Lets a part of the process add its metrics.
pub fn with_registry<T>(registry: &SharedRegistry, add: impl FnOnce(&mut Registry) -> T) -> T {
    add(&mut registry.write().unwrap_or_else(PoisonError::into_inner))
}

/// Whether a process may be sent new work. Starts as "not ready".
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Says whether new work may come.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Whether new work may come.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Serves `/metrics`, `/live` and `/ready` on a bound listener, from a thread of its own.
///
/// # Errors
/// What the listener reports.
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
    let server = server.workers(1).disable_signals().shutdown_timeout(SHUTDOWN_SECONDS);
    let server = server.listen(listener)?.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

async fn metrics(registry: web::Data<RwLock<Registry>>) -> HttpResponse {
    let mut text = String::new();
    let registry = registry.read().unwrap_or_else(PoisonError::into_inner);
    match prometheus_client::encoding::text::encode(&mut text, &registry) {
        Ok(()) => HttpResponse::Ok().content_type(METRICS_TYPE).body(text),
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
