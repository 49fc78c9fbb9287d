//! One connection of a caller, from startup to its end.
//!
//! Owns the order of answers of one connection and its end; relies on the session for what each statement
//! gives.

use super::cancel::CancelHandle;
use super::encode::{data_rows, row_description};
use super::startup;
use super::stream::{MessageStream, StreamError};
use crate::session::{Reply, Session};
use crate::shared::Shared;
use crate::sql::{SqlError, Statement};
use pgwire::messages::PgWireBackendMessage as Message;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::response::EmptyQueryResponse;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

/// Accepts callers for ever.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_caller(stream, shared.clone()));
            }
            Err(error) => log::warn!(error:%; "connection not accepted"),
        }
    }
}

async fn serve_caller(stream: TcpStream, shared: Arc<Shared>) {
    if let Err(error) = run_caller(stream, &shared).await {
        log::debug!(error:%; "connection of a caller ended");
    }
}

async fn run_caller(stream: TcpStream, shared: &Arc<Shared>) -> Result<(), StreamError> {
    let mut stream = MessageStream::new(stream)?;
    let Some(startup) = startup::read_startup(&mut stream, shared).await? else {
        return Ok(());
    };
    let permit = match startup::admit(shared, &startup).await {
        Ok(permit) => permit,
        Err(error) => {
            stream.put_error(&error)?;
            return stream.flush().await;
        }
    };
    let (key, cancel) = shared.cancels.register();
    let served = match startup::welcome(&mut stream, &startup, key).await {
        Ok(()) => serve_session(stream, shared, cancel).await,
        Err(error) => Err(error),
    };
    shared.cancels.remove(key.process);
    drop(permit);
    served
}

async fn serve_session(
    stream: MessageStream,
    shared: &Arc<Shared>,
    cancel: Arc<CancelHandle>,
) -> Result<(), StreamError> {
    let session = Session::new(shared.clone(), cancel);
    let mut connection = Connection { stream, session, skip_to_sync: false };
    let result = connection.serve().await;
    connection.session.close().await;
    result
}

/// Whether the connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// It waits for the next message.
    Continue,
    /// It ends.
    End,
}

/// A connection after its startup.
pub struct Connection {
    pub(super) stream: MessageStream,
    pub(super) session: Session,
    /// An extended request failed; messages are skipped up to the next sync.
    pub(super) skip_to_sync: bool,
}

impl Connection {
    async fn serve(&mut self) -> Result<(), StreamError> {
        loop {
            let request = tokio::select! {
                request = self.stream.read() => request?,
                () = self.session.primary_lost() => {
                    return self.end_with(&SqlError::FencedInTransaction).await;
                }
            };
            let Some(request) = request else {
                return Ok(());
            };
            if self.dispatch(request).await? == Flow::End {
                return Ok(());
            }
        }
    }

    async fn end_with(&mut self, error: &SqlError) -> Result<(), StreamError> {
        self.session.close().await;
        self.stream.put_error(error)?;
        self.stream.flush().await
    }

    async fn dispatch(&mut self, request: Request) -> Result<Flow, StreamError> {
        match request {
            Request::Terminate(_) => Ok(Flow::End),
            Request::Query(query) => self.simple_query(&query.query).await,
            Request::Sync(_) => {
                self.skip_to_sync = false;
                self.ready().await
            }
            Request::Flush(_) => {
                self.stream.flush().await?;
                Ok(Flow::Continue)
            }
            extended if extended.is_extended_query() => self.extended(extended).await,
            _ => {
                self.end_with(&SqlError::Protocol).await?;
                Ok(Flow::End)
            }
        }
    }

    pub(super) async fn ready(&mut self) -> Result<Flow, StreamError> {
        self.stream.put_ready(self.session.block_state())?;
        self.stream.flush().await?;
        Ok(Flow::Continue)
    }

    async fn simple_query(&mut self, query: &str) -> Result<Flow, StreamError> {
        let result = match Statement::parse(query) {
            Ok(statements) if statements.is_empty() => {
                self.stream.put(Message::EmptyQueryResponse(EmptyQueryResponse::new()))?;
                Ok(())
            }
            Ok(statements) => self.run_statements(&statements).await?,
            Err(error) => Err(self.session.fail(error)),
        };
        if let Err(error) = result {
            self.session.drop_implicit().await;
            self.stream.put_error(&error)?;
            if error.is_fatal() {
                self.session.close().await;
                self.stream.flush().await?;
                return Ok(Flow::End);
            }
        }
        self.ready().await
    }

    /// Runs the statements of one query string; several form one implicit block.
    async fn run_statements(
        &mut self,
        statements: &[Statement],
    ) -> Result<Result<(), SqlError>, StreamError> {
        for (place, statement) in statements.iter().enumerate() {
            let last = place + 1 == statements.len();
            if statements.len() > 1 {
                self.session.begin_implicit();
            }
            let reply = match self.run_statement(statement, last).await {
                Ok(reply) => reply,
                Err(error) => return Ok(Err(error)),
            };
            if let Err(error) = self.put_reply(&reply)? {
                return Ok(Err(error));
            }
        }
        Ok(Ok(()))
    }

    async fn run_statement(
        &mut self,
        statement: &Statement,
        last: bool,
    ) -> Result<Reply, SqlError> {
        let mut reply = self.session.execute(statement, &[]).await?;
        if last && let Some(position) = self.session.end_implicit().await? {
            reply.position = Some(position);
        }
        Ok(reply)
    }

    fn put_reply(&mut self, reply: &Reply) -> Result<Result<(), SqlError>, StreamError> {
        let columns = &reply.rows.columns;
        if !columns.is_empty() {
            let rows = match data_rows(&reply.rows, columns, &[]) {
                Ok(rows) => rows,
                Err(error) => return Ok(Err(error)),
            };
            self.stream.put(row_description(columns, &[]))?;
            rows.into_iter().try_for_each(|row| self.stream.put(row))?;
        }
        self.stream.put_completion(reply)?;
        Ok(Ok(()))
    }
}
