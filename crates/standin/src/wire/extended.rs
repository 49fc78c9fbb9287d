//! The extended query protocol: parse, bind, describe, execute, close.

use super::connection::{Connection, Flow};
use super::encode::{data_rows, format_of, row_description};
use super::stream::StreamError;
use crate::entry::Value;
use crate::session::Reply;
use crate::session::prepared::{Portal, Prepared};
use crate::sql::run::{Column, Description};
use crate::sql::{ColumnType, SqlError, Statement, value};
use pgwire::messages::PgWireBackendMessage as Message;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
};
use pgwire::messages::response::EmptyQueryResponse;

/// Target of a describe or close message that names a statement.
const STATEMENT_TARGET: u8 = b'S';

/// Messages that answer one request.
type Answer = Result<Vec<Message>, SqlError>;

impl Connection {
    /// Serves one message of the extended protocol; after an error all are skipped up to a sync.
    pub(super) async fn extended(&mut self, request: Request) -> Result<Flow, StreamError> {
        if self.skip_to_sync {
            return Ok(Flow::Continue);
        }
        let answer = match request {
            Request::Parse(parse) => self.parse(parse).await,
            Request::Bind(bind) => self.bind(bind),
            Request::Describe(describe) => self.describe(&describe),
            Request::Execute(execute) => match self.execute(&execute).await {
                Ok(executed) => return self.put_executed(executed),
                Err(error) => Err(error),
            },
            Request::Close(close) => Ok(self.close(&close)),
            _ => Err(SqlError::Protocol),
        };
        match answer {
            Ok(messages) => {
                messages.into_iter().try_for_each(|message| self.stream.put(message))?;
                Ok(Flow::Continue)
            }
            Err(error) => self.extended_error(error).await,
        }
    }

    async fn extended_error(&mut self, error: SqlError) -> Result<Flow, StreamError> {
        let error = self.session.fail(error);
        self.stream.put_error(&error)?;
        if error.is_fatal() {
            self.session.close().await;
            self.stream.flush().await?;
            return Ok(Flow::End);
        }
        self.skip_to_sync = true;
        Ok(Flow::Continue)
    }

    async fn parse(&mut self, parse: Parse) -> Answer {
        let mut statements = Statement::parse(&parse.query)?;
        if statements.len() > 1 {
            return Err(SqlError::SeveralStatements);
        }
        let statement = statements.pop();
        let description = match &statement {
            Some(statement) => self.session.describe(statement, &parse.type_oids).await?,
            None => Description::default(),
        };
        let prepared = Prepared { statement, description };
        self.session.prepared.add_statement(parse.name.unwrap_or_default(), prepared)?;
        Ok(vec![Message::ParseComplete(ParseComplete::new())])
    }

    fn bind(&mut self, bind: Bind) -> Answer {
        let name = bind.statement_name.as_deref().unwrap_or_default();
        let prepared = self.session.prepared.statement(name)?;
        let parameters = bound_values(&bind, &prepared.description.parameters)?;
        let formats = bind.result_column_format_codes;
        let portal = Portal { prepared, parameters, formats };
        self.session.prepared.add_portal(bind.portal_name.unwrap_or_default(), portal);
        Ok(vec![Message::BindComplete(BindComplete::new())])
    }

    fn describe(&self, describe: &Describe) -> Answer {
        let name = describe.name.as_deref().unwrap_or_default();
        if describe.target_type == STATEMENT_TARGET {
            let prepared = self.session.prepared.statement(name)?;
            let types = prepared.description.parameters.iter().map(|kind| kind.oid()).collect();
            let parameters = Message::ParameterDescription(ParameterDescription::new(types));
            return Ok(vec![parameters, columns_message(&prepared.description.columns, &[])]);
        }
        let portal = self.session.prepared.portal(name)?;
        Ok(vec![columns_message(&portal.prepared.description.columns, &portal.formats)])
    }

    async fn execute(&mut self, execute: &Execute) -> Result<Executed, SqlError> {
        let portal = self.session.prepared.portal(execute.name.as_deref().unwrap_or_default())?;
        let Some(statement) = &portal.prepared.statement else {
            return Ok(Executed::Empty);
        };
        let reply = self.session.execute(statement, &portal.parameters).await?;
        let columns = &portal.prepared.description.columns;
        let rows = data_rows(&reply.rows, columns, &portal.formats)?;
        Ok(Executed::Reply(rows, reply))
    }

    fn put_executed(&mut self, executed: Executed) -> Result<Flow, StreamError> {
        match executed {
            Executed::Empty => {
                self.stream.put(Message::EmptyQueryResponse(EmptyQueryResponse::new()))?;
            }
            Executed::Reply(rows, reply) => {
                rows.into_iter().try_for_each(|row| self.stream.put(row))?;
                self.stream.put_completion(&reply)?;
            }
        }
        Ok(Flow::Continue)
    }

    fn close(&mut self, close: &Close) -> Vec<Message> {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == STATEMENT_TARGET {
            self.session.prepared.remove_statement(name);
        } else {
            self.session.prepared.remove_portal(name);
        }
        vec![Message::CloseComplete(CloseComplete::new())]
    }
}

/// What an execute message came to.
enum Executed {
    /// The portal's query string was empty.
    Empty,
    /// Encoded rows and the reply that completes them.
    Reply(Vec<Message>, Reply),
}

fn columns_message(columns: &[Column], formats: &[i16]) -> Message {
    if columns.is_empty() {
        return Message::NoData(NoData::new());
    }
    row_description(columns, formats)
}

fn bound_values(bind: &Bind, types: &[ColumnType]) -> Result<Vec<Value>, SqlError> {
    let (given, needed) = (bind.parameters.len(), types.len());
    if given != needed {
        return Err(SqlError::ParameterCount { given, needed });
    }
    let value = |(place, (bytes, kind)): (usize, (&Option<bytes::Bytes>, &ColumnType))| {
        let format = format_of(&bind.parameter_format_codes, place);
        bytes.as_ref().map_or(Ok(Value::Null), |bytes| value::decode(bytes, *kind, format))
    };
    bind.parameters.iter().zip(types).enumerate().map(value).collect()
}
