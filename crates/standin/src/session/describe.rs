//! Describes statements before they run.

use super::Session;
use super::block::{Holder, WriteTransaction};
use crate::sql::run::{self, Description};
use crate::sql::{Command, SqlError, Statement};

impl Session {
    /// Describes a statement where it would run.
    ///
    /// # Errors
    /// The engine cannot prepare it.
    pub async fn describe(
        &mut self,
        statement: &Statement,
        given: &[u32],
    ) -> Result<Description, SqlError> {
        if statement.command != Command::Sql {
            return Ok(Self::describe_command(&statement.command));
        }
        if self.block_state() == Some(true) {
            return Err(SqlError::Aborted);
        }
        let (statement, given) = (statement.clone(), given.to_vec());
        let work = move |engine: &crate::engine::Engine| run::describe(engine, &statement, &given);
        match self.block.as_mut().map(|block| std::mem::take(&mut block.holder)) {
            Some(Holder::Writer(transaction)) => {
                let WriteTransaction { engine, term, writes } = transaction;
                let (engine, described) = self.run_on(engine, work).await?;
                self.put_holder(Holder::Writer(WriteTransaction { engine, term, writes }));
                described
            }
            other => {
                self.put_holder(other.unwrap_or_default());
                self.on_reader(work).await
            }
        }
    }
}
