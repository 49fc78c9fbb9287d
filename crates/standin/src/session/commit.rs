//! Opening, committing and rolling back write transactions.
//!
//! Order of a commit: log synced here, held by a majority, applied by the engine, answered. Relies on the
//! term under which the transaction began: if it was lost meanwhile the outcome is refused or unknown, never
//! done.

use super::Session;
use super::block::{Holder, WriteTransaction};
use crate::engine::Engine;
use crate::error::DurableError;
use crate::replication::{Replication, ReplicationError, ReplicationStatus};
use crate::sql::SqlError;
use corktack_core::position::{Position, Term};
use tokio::sync::OwnedMutexGuard;

impl Session {
    /// Takes the writing connection and opens a transaction on it.
    ///
    /// # Errors
    /// The member is not primary, the caller cancelled, or the engine failed.
    pub(crate) async fn begin_write(&self) -> Result<WriteTransaction, SqlError> {
        let term = self.primary_term()?;
        let engine = tokio::select! {
            engine = self.shared.writer.clone().lock_owned() => engine,
            () = self.cancel.cancelled() => return Err(SqlError::Cancelled),
        };
        if self.primary_term()? != term {
            return Err(SqlError::NotPrimary);
        }
        let replication = self.shared.replication.clone();
        let work = move |engine: &Engine| {
            let applied = catch_up(engine, &replication)?;
            engine.begin_write()?;
            Ok::<_, rusqlite::Error>(applied)
        };
        let (engine, applied) = self.run_on(engine, work).await?;
        self.shared.note_applied(applied?);
        Ok(WriteTransaction { engine, term, writes: Vec::new() })
    }

    pub(super) fn primary_term(&self) -> Result<Term, SqlError> {
        let status = self.shared.replication.status();
        let term = status.promised_term;
        if status.is_primary_of(term) { Ok(term) } else { Err(SqlError::NotPrimary) }
    }

    /// Commits a write transaction: log, majority, engine, in this order.
    ///
    /// # Errors
    /// [`SqlError::NotPrimary`] when it surely did not run,
    /// [`SqlError::OutcomeUnknown`] when that is not known.
    pub(crate) async fn commit_write(
        &self,
        transaction: WriteTransaction,
    ) -> Result<Position, SqlError> {
        let WriteTransaction { engine, term, writes } = transaction;
        if writes.is_empty() {
            self.rollback_engine(engine).await?;
            return Ok(self.shared.applied_position());
        }
        let replication = self.shared.replication.clone();
        let appending = move || replication.append(term, vec![writes]);
        let appended = actix_rt::task::spawn_blocking(appending).await;
        let index = match appended.map_err(|_| SqlError::Worker)? {
            Ok(index) => index,
            Err(error) => {
                self.rollback_engine(engine).await?;
                return Err(append_error(error));
            }
        };
        if let Err(error) = self.wait_for_majority(term, index).await {
            self.rollback_engine(engine).await?;
            return Err(error);
        }
        self.commit_engine(engine, index).await?;
        Ok(Position { term, index })
    }

    /// Commits the engine's transaction once a majority holds its entries.
    pub(super) async fn commit_engine(
        &self,
        engine: OwnedMutexGuard<Engine>,
        index: u64,
    ) -> Result<(), SqlError> {
        let (_engine, committed) =
            Self::run_whole(engine, move |engine| engine.commit_applied(index)).await?;
        committed.map_err(|error| {
            log::error!(error:%, index; "a committed entry was not applied by its transaction");
            SqlError::OutcomeUnknown
        })?;
        self.shared.note_applied(index);
        Ok(())
    }

    pub(super) async fn wait_for_majority(&self, term: Term, index: u64) -> Result<(), SqlError> {
        let mut status = self.shared.replication.subscribe();
        let settled =
            |now: &ReplicationStatus| now.commit_index >= index || !now.is_primary_of(term);
        let now = status.wait_for(settled).await.map_err(|_| SqlError::OutcomeUnknown)?;
        if now.is_primary_of(term) { Ok(()) } else { Err(SqlError::OutcomeUnknown) }
    }

    pub(super) async fn rollback_engine(
        &self,
        engine: OwnedMutexGuard<Engine>,
    ) -> Result<(), SqlError> {
        let (_, result) = Self::run_whole(engine, Engine::rollback).await?;
        Ok(result?)
    }

    /// Ends whatever a block holds without keeping its writes.
    ///
    /// # Errors
    /// The engine failed.
    pub(crate) async fn abandon(&mut self, holder: Holder) -> Result<(), SqlError> {
        match holder {
            Holder::Nothing => Ok(()),
            Holder::Reader(_) => self.on_reader(|engine| Ok(engine.rollback()?)).await,
            Holder::Writer(transaction) => self.rollback_engine(transaction.engine).await,
        }
    }

    /// Rolls back the open block, when the connection ends.
    pub async fn close(&mut self) {
        if let Some(block) = self.block.take()
            && let Err(error) = self.abandon(block.holder).await
        {
            log::warn!(error:%; "an open transaction was not rolled back");
        }
    }
}

/// Applies entries whose own transaction was lost after they were committed.
pub(super) fn catch_up(engine: &Engine, replication: &Replication) -> rusqlite::Result<u64> {
    engine.rollback()?;
    let applied = engine.applied_index()?;
    let missing = replication.committed_after(applied, usize::MAX);
    if missing.is_empty() { Ok(applied) } else { engine.apply(&missing) }
}

pub(super) fn append_error(error: ReplicationError) -> SqlError {
    match error {
        ReplicationError::Durable(DurableError::TooLarge(size)) => SqlError::TooLarge(size),
        ReplicationError::Durable(error) => SqlError::Durable(error),
        _ => SqlError::NotPrimary,
    }
}
