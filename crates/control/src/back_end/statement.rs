//! Runs one call as an SQL statement on its own connection and parses the answer.
//!
//! The connection lives as long as the call; the caller enforces the timeout.

use super::call::{BackEndAnswer, BackEndCall, BackEndError, Operation};
use corktack_core::backend::{
    MemberStatus, SHOW_STATUS, STATUS_COLUMNS, TERM_TOO_LOW, fence_statement, promote_statement,
};
use corktack_core::position::{Position, Term};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage, SimpleQueryRow};

const APPLICATION_NAME: &str = "corktack-control";
const USER: &str = "corktack";

/// Connects, runs the call and closes the connection.
pub(super) async fn connect_and_query(call: &BackEndCall) -> Result<BackEndAnswer, BackEndError> {
    let mut config = Config::new();
    config
        .hostaddr(call.target.address.ip())
        .port(call.target.address.port())
        .user(USER)
        .dbname(&call.target.database)
        .application_name(APPLICATION_NAME);
    let (client, connection) = config.connect(NoTls).await.map_err(classify_error)?;
    // The connection task ends when the client is dropped at the end of this call.
    actix_rt::spawn(async move { drop(connection.await) });
    run_operation(&client, call.operation).await
}

async fn run_operation(
    client: &Client,
    operation: Operation,
) -> Result<BackEndAnswer, BackEndError> {
    let statement = match operation {
        Operation::Probe => SHOW_STATUS.to_owned(),
        Operation::Fence(term) => fence_statement(term),
        Operation::Promote(term) => promote_statement(term),
    };
    let messages = client.simple_query(&statement).await.map_err(classify_error)?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row = row.ok_or(BackEndError::Malformed)?;
    match operation {
        Operation::Probe => parse_status(row),
        Operation::Fence(_) => parse_fenced(row),
        Operation::Promote(_) => Ok(BackEndAnswer::Promoted(parse_position(row, 0)?)),
    }
}

fn classify_error(error: tokio_postgres::Error) -> BackEndError {
    match error.code() {
        Some(code) if code.code() == TERM_TOO_LOW => BackEndError::TermTooLow,
        _ => BackEndError::Failed(error),
    }
}

fn parse_status(row: &SimpleQueryRow) -> Result<BackEndAnswer, BackEndError> {
    let columns: Vec<_> =
        (0..STATUS_COLUMNS.len().min(row.len())).map(|column| row.get(column)).collect();
    Ok(BackEndAnswer::Status(MemberStatus::from_columns(&columns)?))
}

fn parse_fenced(row: &SimpleQueryRow) -> Result<BackEndAnswer, BackEndError> {
    let promised = column_text(row, 0)?.parse().map_err(|_| BackEndError::Malformed)?;
    Ok(BackEndAnswer::Fenced { promised: Term(promised), last_position: parse_position(row, 1)? })
}

fn parse_position(row: &SimpleQueryRow, column: usize) -> Result<Position, BackEndError> {
    column_text(row, column)?.parse().map_err(|_| BackEndError::Malformed)
}

fn column_text(row: &SimpleQueryRow, column: usize) -> Result<&str, BackEndError> {
    row.try_get(column).ok().flatten().ok_or(BackEndError::Malformed)
}
