//! A caller's session: transactions, statements and administration.
//!
//! Owns the open transaction block, the prepared statements and the reading connection of one session. Writes
//! go through the member's one writing connection; a commit is answered once a majority holds its log entry.

pub mod admin;
pub mod block;
pub mod commit;
mod describe;
pub mod execute;
pub mod grouped;
pub mod prepared;

use crate::engine::Engine;
use crate::replication::ReplicationStatus;
use crate::shared::Shared;
use crate::sql::SqlError;
use crate::sql::run::RowSet;
use crate::wire::cancel::CancelHandle;
use block::{Block, Holder};
use corktack_core::position::Position;
use prepared::PreparedSet;
use std::sync::Arc;

/// The answer to one statement.
#[derive(Debug, Default)]
pub struct Reply {
    /// The command tag.
    pub tag: String,
    /// Rows, if the statement returns any.
    pub rows: RowSet,
    /// The position to report before the command completes.
    pub position: Option<Position>,
}

impl Reply {
    /// An answer without rows or position.
    #[must_use]
    pub fn of_tag(tag: &str) -> Self {
        Self { tag: tag.to_owned(), ..Self::default() }
    }
}

/// State of one connection.
pub struct Session {
    pub(crate) shared: Arc<Shared>,
    pub(crate) cancel: Arc<CancelHandle>,
    pub(crate) reader: Option<Box<Engine>>,
    pub(crate) block: Option<Block>,
    /// Prepared statements and portals.
    pub prepared: PreparedSet,
}

impl Session {
    /// A fresh session.
    #[must_use]
    pub fn new(shared: Arc<Shared>, cancel: Arc<CancelHandle>) -> Self {
        Self { shared, cancel, reader: None, block: None, prepared: PreparedSet::default() }
    }

    /// Whether a transaction block is open, and whether it failed.
    #[must_use]
    pub fn block_state(&self) -> Option<bool> {
        self.block.as_ref().map(|block| block.failed)
    }

    /// Marks an open block as failed and hands the error on.
    pub fn fail(&mut self, error: SqlError) -> SqlError {
        if let Some(block) = &mut self.block {
            block.failed = true;
        }
        error
    }

    /// Ends when the member loses the term under which the open transaction writes.
    pub async fn primary_lost(&self) {
        let Some(Holder::Writer(write)) = self.block.as_ref().map(|block| &block.holder) else {
            return std::future::pending().await;
        };
        let mut status = self.shared.replication.subscribe();
        let lost = |status: &ReplicationStatus| !status.is_primary_of(write.term);
        let _ = status.wait_for(lost).await;
    }

    /// Runs work on the session's reading connection, off the event loop.
    pub(crate) async fn on_reader<T: Send + 'static>(
        &mut self,
        work: impl FnOnce(&Engine) -> Result<T, SqlError> + Send + 'static,
    ) -> Result<T, SqlError> {
        let engine = match self.reader.take() {
            Some(engine) => engine,
            None => self.open_reader().await?,
        };
        let (engine, result) = self.run_on(engine, move |engine| work(engine)).await?;
        self.reader = Some(engine);
        result
    }

    async fn open_reader(&self) -> Result<Box<Engine>, SqlError> {
        let folder = self.shared.data_folder.clone();
        let opening = move || Engine::open_reader(&folder).map(Box::new);
        let opened = actix_rt::task::spawn_blocking(opening).await;
        Ok(opened.map_err(|_| SqlError::Worker)??)
    }

    /// Runs work on a connection, off the event loop, so that it can be cancelled.
    pub(crate) async fn run_on<E, T>(
        &self,
        engine: E,
        work: impl FnOnce(&Engine) -> T + Send + 'static,
    ) -> Result<(E, T), SqlError>
    where
        E: std::ops::Deref<Target = Engine> + Send + 'static,
        T: Send + 'static,
    {
        let _running = self.cancel.run(engine.interrupt());
        Self::run_whole(engine, work).await
    }

    /// Runs work on a connection, off the event loop; a cancellation does not reach it.
    pub(crate) async fn run_whole<E, T>(
        engine: E,
        work: impl FnOnce(&Engine) -> T + Send + 'static,
    ) -> Result<(E, T), SqlError>
    where
        E: std::ops::Deref<Target = Engine> + Send + 'static,
        T: Send + 'static,
    {
        let worker = actix_rt::task::spawn_blocking(move || {
            let result = work(&engine);
            (engine, result)
        });
        worker.await.map_err(|_| SqlError::Worker)
    }
}
