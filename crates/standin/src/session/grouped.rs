//! Group commit: writes outside a transaction block share one transaction of the engine.
//!
//! A write is queued, and whoever gets the writing connection runs all that is
//! queued: each under a savepoint and with a log entry of its own, but with one
//! sync, one round to the replicas and one commit of the engine for all. Answers
//! are held back until then, errors too: they may come of a write that is lost.

use super::Session;
use super::commit::catch_up;
use crate::engine::Engine;
use crate::entry::{Value, WriteStatement};
use crate::replication::Replication;
use crate::sql::run::{self, RowSet};
use crate::sql::{SqlError, Statement};
use crate::wire::cancel::CancelHandle;
use corktack_core::position::{Position, Term};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{OwnedMutexGuard, oneshot};

/// Most writes of one group.
const GROUP_LIMIT: usize = 128;
/// Largest write that joins a group, in bytes; a larger one runs alone.
const GROUPED_BYTES: usize = 64 * 1024;

type Answer = Result<(RowSet, Position), SqlError>;

/// A write that waits for the writing connection.
struct QueuedWrite {
    ticket: u64,
    statement: Statement,
    parameters: Vec<Value>,
    cancel: Arc<CancelHandle>,
    answer: oneshot::Sender<Answer>,
}

#[derive(Default)]
struct Waiting {
    next_ticket: u64,
    writes: VecDeque<QueuedWrite>,
}

/// The writes that wait for the writing connection, in order.
#[derive(Default)]
pub struct WriteQueue {
    waiting: Mutex<Waiting>,
}

impl WriteQueue {
    fn push(
        &self,
        statement: Statement,
        parameters: Vec<Value>,
        cancel: Arc<CancelHandle>,
    ) -> (u64, oneshot::Receiver<Answer>) {
        let (answer, answered) = oneshot::channel();
        let mut waiting = self.lock();
        waiting.next_ticket += 1;
        let ticket = waiting.next_ticket;
        waiting.writes.push_back(QueuedWrite { ticket, statement, parameters, cancel, answer });
        (ticket, answered)
    }

    fn take(&self) -> Vec<QueuedWrite> {
        let mut waiting = self.lock();
        let count = waiting.writes.len().min(GROUP_LIMIT);
        waiting.writes.drain(..count).collect()
    }

    /// Takes a write out again, unless it was taken to run.
    fn remove(&self, ticket: u64) -> bool {
        let mut waiting = self.lock();
        let before = waiting.writes.len();
        waiting.writes.retain(|write| write.ticket != ticket);
        waiting.writes.len() < before
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a write is small enough to share a group.
pub(super) fn joins_group(statement: &Statement, parameters: &[Value]) -> bool {
    let size = |value: &Value| match value {
        Value::Text(text) => text.len(),
        Value::Blob(bytes) => bytes.len(),
        _ => size_of::<Value>(),
    };
    statement.sql.len() + parameters.iter().map(size).sum::<usize>() <= GROUPED_BYTES
}

/// What running a group came to, before its commit.
struct Ran {
    /// Rows of each write, and the index of its entry if it changed anything.
    results: Vec<Result<(RowSet, Option<u64>), SqlError>>,
    /// Index of the last entry, or of what was applied before.
    last: u64,
    applied: u64,
}

impl Session {
    /// Runs one write together with others that wait.
    pub(super) async fn write_grouped(
        &self,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<(RowSet, Position), SqlError> {
        self.primary_term()?;
        let queue = &self.shared.queue;
        let (ticket, mut answered) =
            queue.push(statement.clone(), parameters.to_vec(), self.cancel.clone());
        loop {
            tokio::select! {
                biased;
                answer = &mut answered => return answer.map_err(|_| SqlError::OutcomeUnknown)?,
                () = self.cancel.cancelled() => {
                    if queue.remove(ticket) {
                        return Err(SqlError::Cancelled);
                    }
                }
                engine = self.shared.writer.clone().lock_owned() => self.lead(engine).await,
            }
        }
    }

    /// Runs and commits what is queued.
    async fn lead(&self, engine: OwnedMutexGuard<Engine>) {
        let group = self.shared.queue.take();
        if group.is_empty() {
            return;
        }
        let Ok(term) = self.primary_term() else {
            return refuse(group, || SqlError::NotPrimary);
        };
        let replication = self.shared.replication.clone();
        let running = actix_rt::task::spawn_blocking(move || {
            let ran = run_group(&engine, &replication, term, &group);
            (engine, group, ran)
        });
        // A worker that panicked drops the group; its callers then know no outcome.
        let Ok((engine, group, ran)) = running.await else {
            return;
        };
        match ran {
            Ok(ran) => self.finish(engine, term, group, ran).await,
            Err(error) => {
                log::debug!(error:%; "a group of writes did not run");
                let unknown = matches!(error, SqlError::Durable(_));
                if let Err(error) = self.rollback_engine(engine).await {
                    log::error!(error:%; "a group of writes was not rolled back");
                }
                refuse(group, || match unknown {
                    true => SqlError::OutcomeUnknown,
                    false => SqlError::NotPrimary,
                });
            }
        }
    }

    async fn finish(
        &self,
        engine: OwnedMutexGuard<Engine>,
        term: Term,
        group: Vec<QueuedWrite>,
        ran: Ran,
    ) {
        let Ran { results, last, applied } = ran;
        self.shared.note_applied(applied);
        if let Err(error) = self.commit_entries(engine, term, last, applied).await {
            log::debug!(error:%; "a group of writes has no known outcome");
            let wrote = |result: &Result<(RowSet, Option<u64>), SqlError>| {
                matches!(result, Ok((_, Some(_))))
            };
            for (write, result) in group.into_iter().zip(results) {
                let unknown = wrote(&result);
                let error = if unknown { SqlError::OutcomeUnknown } else { SqlError::NotPrimary };
                let _ = write.answer.send(Err(error));
            }
            return;
        }
        for (write, result) in group.into_iter().zip(results) {
            let position = |index: Option<u64>| Position { term, index: index.unwrap_or(last) };
            let _ = write.answer.send(result.map(|(rows, index)| (rows, position(index))));
        }
    }

    async fn commit_entries(
        &self,
        engine: OwnedMutexGuard<Engine>,
        term: Term,
        last: u64,
        applied: u64,
    ) -> Result<(), SqlError> {
        if last == applied {
            return self.rollback_engine(engine).await;
        }
        if let Err(error) = self.wait_for_majority(term, last).await {
            self.rollback_engine(engine).await?;
            return Err(error);
        }
        self.commit_engine(engine, last).await
    }
}

fn refuse(group: Vec<QueuedWrite>, error: impl Fn() -> SqlError) {
    for write in group {
        let _ = write.answer.send(Err(error()));
    }
}

/// Runs a group in one transaction of the engine and appends its entries to the log.
fn run_group(
    engine: &Engine,
    replication: &Replication,
    term: Term,
    group: &[QueuedWrite],
) -> Result<Ran, SqlError> {
    let applied = catch_up(engine, replication)?;
    let ran = run_writes(engine, group)?;
    let writes: Vec<_> = ran.iter().flatten().filter_map(|(_, write)| write.clone()).collect();
    let count = writes.len() as u64;
    if count == 0 {
        let results = ran.into_iter().map(|result| result.map(|(rows, _)| (rows, None)));
        return Ok(Ran { results: results.collect(), last: applied, applied });
    }
    let entries = writes.into_iter().map(|write| vec![write]).collect();
    let last = replication.append(term, entries).map_err(super::commit::append_error)?;
    let mut next = last - count;
    let results = ran.into_iter().map(|result| {
        result.map(|(rows, write)| {
            let index = write.map(|_| {
                next += 1;
                next
            });
            (rows, index)
        })
    });
    Ok(Ran { results: results.collect(), last, applied })
}

type WriteResult = Result<(RowSet, Option<WriteStatement>), SqlError>;

/// Runs each write under a savepoint. The engine ends the whole transaction on
/// some failures, an interruption for one; then the others run once more.
fn run_writes(engine: &Engine, group: &[QueuedWrite]) -> Result<Vec<WriteResult>, SqlError> {
    let mut failed: Vec<Option<SqlError>> = group.iter().map(|_| None).collect();
    'again: loop {
        engine.begin_write()?;
        let mut ran = Vec::with_capacity(group.len());
        for (write, failure) in group.iter().zip(&mut failed) {
            if failure.is_some() {
                ran.push(None);
                continue;
            }
            match run_write(engine, write) {
                Ok(result) => ran.push(Some(result)),
                Err(error) => {
                    *failure = Some(error);
                    ran.push(None);
                    if engine.connection().is_autocommit() {
                        continue 'again;
                    }
                }
            }
        }
        let results = ran.into_iter().zip(failed);
        let result = |(ran, failure): (Option<_>, Option<SqlError>)| match (ran, failure) {
            (Some(ran), _) => Ok(ran),
            (None, failure) => Err(failure.unwrap_or(SqlError::Worker)),
        };
        return Ok(results.map(result).collect());
    }
}

fn run_write(engine: &Engine, write: &QueuedWrite) -> WriteResult {
    let _running = write.cancel.run(engine.interrupt());
    let QueuedWrite { statement, parameters, .. } = write;
    let run = || {
        let keeps = !run::is_read_only(engine, statement)? && !statement.locking;
        let circumstances = engine.renew_circumstances()?;
        let rows = run::run(engine, statement, parameters)?;
        let (sql, parameters) = (statement.sql.clone(), parameters.clone());
        let entry = WriteStatement { sql, parameters, circumstances };
        Ok((rows, keeps.then_some(entry)))
    };
    engine.in_savepoint(run)
}
