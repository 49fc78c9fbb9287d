//! Telemetry of a process: log, ring of recent log records, metrics, liveness and readiness.
//!
//! This module installs the process's logger. Of other libraries only warnings and errors are kept.

pub mod event_log;
pub mod http;
pub mod lines;
pub mod ring;

pub use event_log::{EventLog, WriteError, WriteReason};
pub use ring::{EventRecord, EventRing};

use log::{LevelFilter, Log, Metadata, Record};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};

/// Target prefix of this project's own records.
const OWN_TARGET_PREFIX: &str = "corktack";

/// Reasons why the log could not be installed.
#[derive(Debug, thiserror::Error)]
pub enum TelemetryError {
    /// Another logger was installed earlier.
    #[error("the process has a logger already")]
    Installed(#[from] log::SetLoggerError),
    /// The folder for event logs could not be created.
    #[error("data_folder = {}: cannot be made", folder.display())]
    Folder {
        /// The folder that could not be created.
        folder: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The operating system refused a thread that writes event logs or log lines.
    #[error("the thread that writes event logs cannot be started")]
    Thread(#[source] std::io::Error),
}

/// A logger that prints through `env_logger` and keeps records of all levels in the event log.
struct Tee {
    printer: env_logger::Logger,
    events: Arc<EventLog>,
    errors: SyncSender<()>,
}

impl Tee {
    /// Returns a logger for a printer and an event log, and starts the thread that writes the event log
    /// after errors.
    fn new(printer: env_logger::Logger, events: Arc<EventLog>) -> Result<Self, TelemetryError> {
        // One queued request is enough: the write that it causes includes all records up to that time.
        let (errors, requests) = sync_channel(1);
        let log = Arc::clone(&events);
        let write_on_request =
            move || requests.iter().for_each(|()| log.write_limited(WriteReason::Error));
        let thread = std::thread::Builder::new().name("event-log".to_owned());
        thread.spawn(write_on_request).map_err(TelemetryError::Thread)?;
        Ok(Self { printer, events, errors })
    }
}

impl Log for Tee {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        is_kept(metadata) || self.printer.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if self.printer.matches(record) {
            self.printer.log(record);
        }
        if !is_kept(record.metadata()) {
            return;
        }
        self.events.push(EventRecord::from_log(record));
        if record.level() == log::Level::Error {
            // A full channel means that a write is already requested.
            let _ = self.errors.try_send(());
        }
    }

    fn flush(&self) {
        self.printer.flush();
    }
}

fn is_kept(metadata: &Metadata<'_>) -> bool {
    metadata.target().starts_with(OWN_TARGET_PREFIX) || metadata.level() <= log::Level::Warn
}

/// Installs the process's log. Records of level warning and above are printed, unless `RUST_LOG` selects
/// others. Records of all levels are kept in a ring of `records`, which is written to `folder` on errors
/// and panics; a missing folder is created.
///
/// # Errors
/// [`TelemetryError`] when the process has a logger already, the folder cannot be created or the writing
/// thread cannot be started.
pub fn install(folder: &Path, records: usize) -> Result<Arc<EventLog>, TelemetryError> {
    let created = std::fs::create_dir_all(folder);
    created.map_err(|source| TelemetryError::Folder { folder: folder.to_owned(), source })?;
    let environment = env_logger::Env::default().default_filter_or("warn");
    let printer = env_logger::Builder::from_env(environment).build();
    let events = EventLog::new(folder, records);
    log::set_boxed_logger(Box::new(Tee::new(printer, Arc::clone(&events))?))?;
    log::set_max_level(LevelFilter::Trace);
    write_on_panic(Arc::clone(&events));
    Ok(events)
}

/// Installs a log of structured lines on standard output, for machines without a disk. The log has this
/// project's records of level info and above and other libraries' warnings and errors, unless `RUST_LOG`
/// selects others.
///
/// # Errors
/// [`TelemetryError`] when the process has a logger already, or the writing thread cannot be started.
pub fn install_lines() -> Result<(), TelemetryError> {
    let environment = env_logger::Env::default().default_filter_or("warn,corktack=info");
    let filter = env_logger::Builder::from_env(environment).build();
    let lines = lines::LineLog::start(filter, std::io::stdout());
    let lines = lines.map_err(TelemetryError::Thread)?;
    let level = lines.level();
    log::set_boxed_logger(Box::new(lines))?;
    log::set_max_level(level);
    Ok(())
}

/// Returns the metrics of a registry as text in the OpenMetrics format.
#[must_use]
pub fn metrics_text(registry: &prometheus_client::registry::Registry) -> String {
    let mut text = String::new();
    // Writing to a `String` cannot fail.
    let _ = prometheus_client::encoding::text::encode(&mut text, registry);
    text
}

/// Extends the panic hook, which then logs the panic as an error and writes the ring at once, before the
/// earlier hook runs.
fn write_on_panic(events: Arc<EventLog>) {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let text = format!("{panic}");
        log::error!(target: "corktack::panic", "thread panicked: {text}");
        events.write_limited(WriteReason::Panic);
        previous_hook(panic);
    }));
}
