//! Runs statements inside and outside transaction blocks.
//!
//! Decides where a statement runs: alone or in the open block, on the reading or the writing connection.

use super::block::{Block, Holder, WriteTransaction};
use super::{Reply, Session, grouped};
use crate::entry::{Value, WriteStatement};
use crate::sql::run::{self, RowSet};
use crate::sql::{Command, SqlError, Statement};
use corktack_core::position::Position;

/// What a read outside a transaction came to.
enum ReadOutcome {
    /// Rows and the applied index they were read at.
    Rows(RowSet, u64),
    /// The statement writes.
    Writes,
}

impl Session {
    /// Runs one statement.
    ///
    /// # Errors
    /// The statement's failure; an open block is then failed.
    pub async fn execute(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<Reply, SqlError> {
        let result = self.execute_command(statement, parameters).await;
        if result.is_err()
            && let Some(block) = &mut self.block
        {
            block.failed = true;
        }
        result
    }

    async fn execute_command(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<Reply, SqlError> {
        let ends_block = matches!(statement.command, Command::Commit | Command::Rollback);
        let returns = statement.command == Command::Savepoint && !is_mark(statement);
        if self.block_state() == Some(true) && !ends_block && !returns {
            return Err(SqlError::Aborted);
        }
        match &statement.command {
            Command::Begin { read_only } => Ok(self.begin(*read_only)),
            Command::Commit => self.commit().await,
            Command::Rollback => self.rollback().await,
            Command::Savepoint => self.savepoint(statement).await,
            Command::Sql => self.execute_sql(statement, parameters).await,
            other => self.administer(other).await,
        }
    }

    /// Opens the implicit block of a query string with several statements.
    pub fn begin_implicit(&mut self) {
        if self.block.is_none() {
            self.block = Some(Block { implicit: true, ..Block::default() });
        }
    }

    /// Commits the block if it is implicit; returns the position to report.
    ///
    /// # Errors
    /// The commit failed.
    pub async fn end_implicit(&mut self) -> Result<Option<Position>, SqlError> {
        match self.block.take_if(|block| block.implicit) {
            Some(block) => self.finish_block(block).await,
            None => Ok(None),
        }
    }

    /// Rolls the block back if it is implicit.
    pub async fn drop_implicit(&mut self) {
        if self.block.as_ref().is_some_and(|block| block.implicit) {
            self.close().await;
        }
    }

    fn begin(&mut self, read_only: bool) -> Reply {
        let block = self.block.get_or_insert_default();
        block.implicit = false;
        block.read_only |= read_only;
        Reply::of_tag("BEGIN")
    }

    async fn commit(&mut self) -> Result<Reply, SqlError> {
        let Some(block) = self.block.take() else {
            return Ok(Reply::of_tag("COMMIT"));
        };
        if block.failed {
            self.abandon(block.holder).await?;
            return Ok(Reply::of_tag("ROLLBACK"));
        }
        let position = self.finish_block(block).await?;
        Ok(Reply { position, ..Reply::of_tag("COMMIT") })
    }

    async fn finish_block(&mut self, block: Block) -> Result<Option<Position>, SqlError> {
        match block.holder {
            Holder::Nothing => Ok(None),
            Holder::Reader(index) => {
                let term = self.shared.replication.status().promised_term;
                self.on_reader(|engine| Ok(engine.rollback()?)).await?;
                Ok(Some(Position { term, index }))
            }
            Holder::Writer(transaction) => Ok(Some(self.commit_write(transaction).await?)),
        }
    }

    async fn rollback(&mut self) -> Result<Reply, SqlError> {
        if let Some(block) = self.block.take() {
            self.abandon(block.holder).await?;
        }
        Ok(Reply::of_tag("ROLLBACK"))
    }

    async fn savepoint(&mut self, statement: &Statement) -> Result<Reply, SqlError> {
        if self.block.is_none() {
            return Err(SqlError::Syntax(statement.sql.clone()));
        }
        self.execute_in_block(statement, &[]).await?;
        if let Some(block) = &mut self.block {
            block.failed = false;
        }
        let tag = statement.tag(0, 0);
        Ok(Reply::of_tag(&tag))
    }

    async fn execute_sql(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<Reply, SqlError> {
        if self.block.is_some() {
            let rows = self.execute_in_block(statement, parameters).await?;
            return Ok(reply(statement, rows, None));
        }
        let term = self.shared.replication.status().promised_term;
        if statement.changes_rows() {
            return self.write_alone(statement, parameters).await;
        }
        match self.read_alone(statement, parameters).await? {
            ReadOutcome::Rows(rows, index) => {
                Ok(reply(statement, rows, Some(Position { term, index })))
            }
            ReadOutcome::Writes => self.write_alone(statement, parameters).await,
        }
    }

    async fn read_alone(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<ReadOutcome, SqlError> {
        let (statement, parameters) = (statement.clone(), parameters.to_vec());
        let read = move |engine: &crate::engine::Engine| {
            let index = engine.begin_read()?;
            let result = match run::is_read_only(engine, &statement) {
                Ok(true) => engine
                    .renew_circumstances()
                    .map_err(SqlError::from)
                    .and_then(|_| run::run(engine, &statement, &parameters))
                    .map(|rows| ReadOutcome::Rows(rows, index)),
                Ok(false) => Ok(ReadOutcome::Writes),
                Err(error) => Err(error),
            };
            engine.rollback()?;
            result
        };
        self.on_reader(read).await
    }

    async fn write_alone(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<Reply, SqlError> {
        if grouped::joins_group(statement, parameters) {
            let (rows, position) = self.write_grouped(statement, parameters).await?;
            return Ok(reply(statement, rows, Some(position)));
        }
        let transaction = self.begin_write().await?;
        let (transaction, result) = self.run_write(transaction, statement, parameters).await?;
        match result {
            Ok(rows) => {
                let position = self.commit_write(transaction).await?;
                Ok(reply(statement, rows, Some(position)))
            }
            Err(error) => {
                self.abandon(Holder::Writer(transaction)).await?;
                Err(error)
            }
        }
    }

    async fn execute_in_block(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<RowSet, SqlError> {
        let read_only = self.block.as_ref().is_some_and(|block| block.read_only);
        match self.take_holder(read_only).await? {
            Holder::Writer(transaction) => {
                let (transaction, result) =
                    self.run_write(transaction, statement, parameters).await?;
                self.put_holder(Holder::Writer(transaction));
                result
            }
            holder => {
                self.put_holder(holder);
                self.read_in_block(statement, parameters, read_only).await
            }
        }
    }

    /// Takes what the block runs on out of it, and opens it at the first statement.
    async fn take_holder(&mut self, read_only: bool) -> Result<Holder, SqlError> {
        let holder = self.block.as_mut().map(|block| std::mem::take(&mut block.holder));
        match holder {
            Some(Holder::Nothing) | None => {}
            Some(holder) => return Ok(holder),
        }
        let status = self.shared.replication.status();
        if !read_only && status.is_primary_of(status.promised_term) {
            return Ok(Holder::Writer(self.begin_write().await?));
        }
        let index = self.on_reader(|engine| Ok(engine.begin_read()?)).await?;
        Ok(Holder::Reader(index))
    }

    pub(super) fn put_holder(&mut self, holder: Holder) {
        if let Some(block) = &mut self.block {
            block.holder = holder;
        }
    }

    async fn read_in_block(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
        read_only: bool,
    ) -> Result<RowSet, SqlError> {
        let (statement, parameters) = (statement.clone(), parameters.to_vec());
        let read =
            move |engine: &crate::engine::Engine| match run::is_read_only(engine, &statement)? {
                true => {
                    engine.renew_circumstances()?;
                    run::run(engine, &statement, &parameters)
                }
                false if read_only => Err(SqlError::ReadOnlyTransaction),
                false => Err(SqlError::NotPrimary),
            };
        self.on_reader(read).await
    }

    /// Runs a statement in a write transaction and notes it if it writes.
    async fn run_write(
        &self,
        transaction: WriteTransaction,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<(WriteTransaction, Result<RowSet, SqlError>), SqlError> {
        let WriteTransaction { engine, term, mut writes } = transaction;
        let (statement, parameters) = (statement.clone(), parameters.to_vec());
        let work = move |engine: &crate::engine::Engine| {
            let keeps = statement.command == Command::Savepoint
                || !run::is_read_only(engine, &statement)? && !is_locking_read(&statement);
            let circumstances = engine.renew_circumstances()?;
            let rows = run::run(engine, &statement, &parameters)?;
            let write = WriteStatement { sql: statement.sql, parameters, circumstances };
            Ok((rows, keeps.then_some(write)))
        };
        let (engine, result) = self.run_on(engine, work).await?;
        let result = result.map(|(rows, write)| {
            writes.extend(write);
            rows
        });
        Ok((WriteTransaction { engine, term, writes }, result))
    }
}

fn is_mark(statement: &Statement) -> bool {
    statement.sql.to_ascii_uppercase().starts_with("SAVEPOINT")
}

/// A query with row locks runs on the writing connection but writes nothing.
fn is_locking_read(statement: &Statement) -> bool {
    statement.locking
}

fn reply(statement: &Statement, rows: RowSet, position: Option<Position>) -> Reply {
    Reply { tag: statement.tag(rows.rows.len(), rows.changes), rows, position }
}
