//! Opening, committing and rolling back write transactions.

use super::Session;
use super::block::{Holder, WriteTransaction};
use crate::engine::Engine;
use crate::error::DurableError;
use crate::replication::{ReplicationError, ReplicationStatus};
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
        let (engine, applied) = self.catch_up(engine).await?;
        self.shared.note_applied(applied);
        let (engine, begun) = self.run_on(engine, Engine::begin_write).await?;
        begun?;
        Ok(WriteTransaction { engine, term, writes: Vec::new() })
    }

    fn primary_term(&self) -> Result<Term, SqlError> {
        let status = self.shared.replication.status();
        let term = status.promised_term;
        if status.is_primary_of(term) { Ok(term) } else { Err(SqlError::NotPrimary) }
    }

    /// Applies entries whose own transaction was lost after they were committed.
    async fn catch_up(
        &self,
        engine: OwnedMutexGuard<Engine>,
    ) -> Result<(OwnedMutexGuard<Engine>, u64), SqlError> {
        let replication = self.shared.replication.clone();
        let work = move |engine: &Engine| {
            engine.rollback()?;
            let applied = engine.applied_index()?;
            let missing = replication.committed_after(applied, usize::MAX);
            if missing.is_empty() { Ok(applied) } else { engine.apply(&missing) }
        };
        let (engine, applied) = self.run_on(engine, work).await?;
        Ok((engine, applied?))
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
        let appending = move || replication.append(term, writes);
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
        let (_, committed) =
            self.run_on(engine, move |engine| engine.commit_applied(index)).await?;
        committed.map_err(|error| {
            log::error!(error:%, index; "a committed entry was not applied by its transaction");
            SqlError::OutcomeUnknown
        })?;
        self.shared.note_applied(index);
        Ok(Position { term, index })
    }

    async fn wait_for_majority(&self, term: Term, index: u64) -> Result<(), SqlError> {
        let mut status = self.shared.replication.subscribe();
        let settled =
            |now: &ReplicationStatus| now.commit_index >= index || !now.is_primary_of(term);
        let now = status.wait_for(settled).await.map_err(|_| SqlError::OutcomeUnknown)?;
        if now.is_primary_of(term) { Ok(()) } else { Err(SqlError::OutcomeUnknown) }
    }

    async fn rollback_engine(&self, engine: OwnedMutexGuard<Engine>) -> Result<(), SqlError> {
        let (_, result) = self.run_on(engine, Engine::rollback).await?;
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

fn append_error(error: ReplicationError) -> SqlError {
    match error {
        ReplicationError::Durable(DurableError::TooLarge(size)) => SqlError::TooLarge(size),
        ReplicationError::Durable(error) => SqlError::Durable(error),
        _ => SqlError::NotPrimary,
    }
}
