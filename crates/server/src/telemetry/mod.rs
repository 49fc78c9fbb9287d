//! What a process tells about itself: log, ring of recent events, metrics, health.
//!
//! Owns the process's logger. Of other libraries only warnings and errors are kept.

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

/// Target prefix of this project's own records; of other libraries only warnings are kept.
const OWN_TARGET: &str = "corktack";

/// Why the log could not be installed.
#[derive(Debug, thiserror::Error)]
pub enum TelemetryError {
    /// The process has a logger already.
    #[error("the process has a logger already")]
    Installed(#[from] log::SetLoggerError),
    /// The folder for event logs cannot be made.
    #[error("data_folder = {}: cannot be made", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The thread that writes event logs could not be started.
    #[error("the thread that writes event logs cannot be started")]
    Thread(#[source] std::io::Error),
}

/// A logger that prints by `env_logger` and keeps records of all levels in a ring.
struct Tee {
    printer: env_logger::Logger,
    events: Arc<EventLog>,
    errors: SyncSender<()>,
}

impl Tee {
    /// Joins a printer and a ring; starts the thread that writes the ring out after errors.
    fn new(printer: env_logger::Logger, events: Arc<EventLog>) -> Result<Self, TelemetryError> {
        // One waiting request is enough: the write that it causes holds every record till then.
        let (errors, requests) = sync_channel(1);
        let log = Arc::clone(&events);
        let write = move || requests.iter().for_each(|()| log.write_limited(WriteReason::Error));
        let thread = std::thread::Builder::new().name("event-log".to_owned());
        thread.spawn(write).map_err(TelemetryError::Thread)?;
        Ok(Self { printer, events, errors })
    }
}

impl Log for Tee {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        keeps(metadata) || self.printer.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if self.printer.matches(record) {
            self.printer.log(record);
        }
        if !keeps(record.metadata()) {
            return;
        }
        self.events.push(EventRecord::from_log(record));
        if record.level() == log::Level::Error {
            // A full channel means that a write is about to happen.
            let _ = self.errors.try_send(());
        }
    }

    fn flush(&self) {
        self.printer.flush();
    }
}

fn keeps(metadata: &Metadata<'_>) -> bool {
    metadata.target().starts_with(OWN_TARGET) || metadata.level() <= log::Level::Warn
}

/// Installs the process's log: warnings and above are printed (or what `RUST_LOG` says), all
/// levels are kept in a ring of `records`, which is written to `folder` on errors and panics.
/// The folder is made where it is absent.
///
/// # Errors
/// [`TelemetryError`] when the process has a logger already.
pub fn install(folder: &Path, records: usize) -> Result<Arc<EventLog>, TelemetryError> {
    let made = std::fs::create_dir_all(folder);
    made.map_err(|source| TelemetryError::Folder { folder: folder.to_owned(), source })?;
    let environment = env_logger::Env::default().default_filter_or("warn");
    let printer = env_logger::Builder::from_env(environment).build();
    let events = EventLog::new(folder, records);
    log::set_boxed_logger(Box::new(Tee::new(printer, Arc::clone(&events))?))?;
    log::set_max_level(LevelFilter::Trace);
    write_on_panic(Arc::clone(&events));
    Ok(events)
}

/// Installs a log of structured lines on standard output, for machines without a disk: own records
/// of level info and above, of other libraries warnings (or what `RUST_LOG` says).
///
/// # Errors
/// [`TelemetryError`] when the process has a logger already, or the writing thread cannot start.
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

/// The metrics of a registry as text, in the OpenMetrics form.
#[must_use]
pub fn metrics_text(registry: &prometheus_client::registry::Registry) -> String {
    let mut text = String::new();
    // A text takes everything that is written to it.
    let _ = prometheus_client::encoding::text::encode(&mut text, registry);
    text
}

/// Adds to the panic hook: the panic becomes a record, and the ring is written out at once.
fn write_on_panic(events: Arc<EventLog>) {
    let earlier = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let text = format!("{panic}");
        log::error!(target: "corktack::panic", "thread panicked: {text}");
        events.write_limited(WriteReason::Panic);
        earlier(panic);
    }));
}
