//! The embedded SQL engine: connections, functions, applied position and replay.
//!
//! Owns one connection to the engine and the time and random seed that its functions see, so that a statement
//! gives the same on each member. Relies on the caller for order: who holds the writing connection may write.

use crate::entry::{Circumstances, LogEntry, Value};
use crate::functions::{self, Circumstance};
use rusqlite::{Connection, InterruptHandle, params_from_iter};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Name of the engine's file inside a member's data folder.
pub const DATABASE_FILE_NAME: &str = "state.sqlite";

const BUSY_TIMEOUT: Duration = Duration::from_secs(10);
const STATEMENT_CACHE: usize = 64;
const SCHEMA: &str = "CREATE TABLE IF NOT EXISTS replication_state (\
    id INTEGER PRIMARY KEY CHECK (id = 1), applied_index INTEGER NOT NULL);\
    INSERT OR IGNORE INTO replication_state VALUES (1, 0);";

/// Stops what a connection runs.
pub struct Interrupt {
    cancelled: Arc<AtomicBool>,
    handle: InterruptHandle,
}

impl Interrupt {
    /// Interrupts the running statement.
    pub fn interrupt(&self) {
        self.cancelled.store(true, Ordering::SeqCst);
        self.handle.interrupt();
    }

    /// Forgets an earlier interruption.
    pub fn clear(&self) {
        self.cancelled.store(false, Ordering::SeqCst);
    }
}

/// One connection to the embedded engine.
pub struct Engine {
    connection: Connection,
    interrupt: Arc<Interrupt>,
    circumstance: Arc<Circumstance>,
}

impl Engine {
    /// Opens the connection that writes, and creates the schema of the applied position.
    ///
    /// # Errors
    /// The engine cannot open its file.
    pub fn open_writer(data_folder: &Path) -> rusqlite::Result<Self> {
        let engine = Self::open(data_folder)?;
        engine.connection.pragma_update(None, "journal_mode", "WAL")?;
        engine.connection.pragma_update(None, "synchronous", "NORMAL")?;
        engine.connection.execute_batch(SCHEMA)?;
        Ok(engine)
    }

    /// Opens a connection that only reads committed state.
    ///
    /// # Errors
    /// The engine cannot open its file.
    pub fn open_reader(data_folder: &Path) -> rusqlite::Result<Self> {
        let engine = Self::open(data_folder)?;
        engine.connection.pragma_update(None, "query_only", "ON")?;
        Ok(engine)
    }

    fn open(data_folder: &Path) -> rusqlite::Result<Self> {
        let connection = Connection::open(data_folder.join(DATABASE_FILE_NAME))?;
        connection.busy_timeout(BUSY_TIMEOUT)?;
        connection.pragma_update(None, "foreign_keys", "ON")?;
        connection.set_prepared_statement_cache_capacity(STATEMENT_CACHE);
        let cancelled = Arc::new(AtomicBool::new(false));
        let circumstance = Arc::new(Circumstance::default());
        functions::register(&connection, &cancelled, &circumstance)?;
        let handle = connection.get_interrupt_handle();
        Ok(Self { connection, interrupt: Arc::new(Interrupt { cancelled, handle }), circumstance })
    }

    /// The connection itself.
    #[must_use]
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Takes the time and a random seed for the next statement, and tells them.
    ///
    /// # Errors
    /// The engine failed.
    pub fn renew_circumstances(&self) -> rusqlite::Result<Circumstances> {
        let mut statement = self.connection.prepare_cached(functions::CLOCK)?;
        let fresh = Circumstances {
            timestamp: statement.query_row([], |row| row.get(0))?,
            seed: functions::fresh_seed(),
        };
        self.circumstance.set(fresh.clone());
        Ok(fresh)
    }

    /// What stops a running statement.
    #[must_use]
    pub fn interrupt(&self) -> Arc<Interrupt> {
        self.interrupt.clone()
    }

    /// Index of the last applied entry that this connection's snapshot holds.
    ///
    /// # Errors
    /// The engine failed.
    pub fn applied_index(&self) -> rusqlite::Result<u64> {
        let sql = "SELECT applied_index FROM replication_state";
        let mut statement = self.connection.prepare_cached(sql)?;
        statement.query_row([], |row| row.get::<_, i64>(0)).map(i64::cast_unsigned)
    }

    /// Opens a write transaction; a transaction left open by a lost caller is rolled back.
    ///
    /// # Errors
    /// The engine failed.
    pub fn begin_write(&self) -> rusqlite::Result<()> {
        self.rollback()?;
        self.connection.execute_batch("BEGIN IMMEDIATE")
    }

    /// Opens a read transaction and fixes its snapshot; returns the applied index it sees.
    ///
    /// # Errors
    /// The engine failed.
    pub fn begin_read(&self) -> rusqlite::Result<u64> {
        self.rollback()?;
        self.connection.execute_batch("BEGIN DEFERRED")?;
        self.applied_index()
    }

    /// Commits the open transaction together with the index of its log entry.
    ///
    /// # Errors
    /// The engine failed; the transaction may still be open.
    pub fn commit_applied(&self, index: u64) -> rusqlite::Result<()> {
        let sql = "UPDATE replication_state SET applied_index = ?1";
        self.connection.prepare_cached(sql)?.execute([index.cast_signed()])?;
        self.connection.execute_batch("COMMIT")
    }

    /// Rolls back the open transaction, if there is one.
    ///
    /// # Errors
    /// The engine failed.
    pub fn rollback(&self) -> rusqlite::Result<()> {
        if self.connection.is_autocommit() {
            return Ok(());
        }
        self.connection.execute_batch("ROLLBACK")
    }

    /// Runs work under a savepoint of the open transaction; a failure undoes the work alone,
    /// unless the engine ended the whole transaction.
    ///
    /// # Errors
    /// The work failed, or the engine did.
    pub fn in_savepoint<T, E: From<rusqlite::Error>>(
        &self,
        work: impl FnOnce() -> Result<T, E>,
    ) -> Result<T, E> {
        let command = |sql: &str| self.connection.prepare_cached(sql)?.execute([]);
        command("SAVEPOINT grouped")?;
        let result = work();
        if result.is_err() && !self.connection.is_autocommit() {
            command("ROLLBACK TO grouped")?;
        }
        if !self.connection.is_autocommit() {
            command("RELEASE grouped")?;
        }
        result
    }

    /// Applies committed entries that follow the applied index, in one transaction.
    ///
    /// # Errors
    /// The engine failed; nothing was applied.
    pub fn apply(&self, entries: &[Arc<LogEntry>]) -> rusqlite::Result<u64> {
        self.interrupt.clear();
        self.begin_write()?;
        let applied = self.applied_index()?;
        let mut last = applied;
        for entry in entries.iter().filter(|entry| entry.index > applied) {
            self.replay(entry)?;
            last = entry.index;
        }
        self.commit_applied(last)?;
        Ok(last)
    }

    fn replay(&self, entry: &LogEntry) -> rusqlite::Result<()> {
        for write in &entry.statements {
            self.circumstance.set(write.circumstances.clone());
            let mut statement = self.connection.prepare_cached(&write.sql)?;
            let parameters = write.parameters.iter().cloned();
            let mut rows = statement.query(params_from_iter(parameters.map(sql_value)))?;
            while rows.next()?.is_some() {}
        }
        Ok(())
    }
}

fn sql_value(value: Value) -> rusqlite::types::Value {
    value.into()
}
