//! Statements to back ends on behalf of the leader: probes, fences, promotions.

use crate::consensus::{ConsensusHandle, ConsensusInput};
use crate::stop::StopSignal;
use actix_rt::ArbiterHandle;
use corktack_core::backend::{
    MemberStatus, SHOW_STATUS, STATUS_COLUMNS, StatusError, TERM_TOO_LOW, fence_statement,
    promote_statement,
};
use corktack_core::failover::CallTarget;
use corktack_core::position::{Position, Term};
use std::time::Duration;
use tokio::time::timeout;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage, SimpleQueryRow};

const APPLICATION_NAME: &str = "corktack-control";
const USER: &str = "corktack";

/// What a back end is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// How it is.
    Probe,
    /// To promise a term.
    Fence(Term),
    /// To become primary of a term.
    Promote(Term),
}

/// One question to one back end.
#[derive(Clone, Debug)]
pub(crate) struct BackEndCall {
    pub(crate) target: CallTarget,
    pub(crate) operation: Operation,
}

/// What a back end answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BackEndAnswer {
    /// To a probe.
    Status(MemberStatus),
    /// To a fence.
    Fenced {
        /// The highest term it promised.
        promised: Term,
        /// The end of its log.
        last_position: Position,
    },
    /// To a promotion: an entry of the new term that a majority holds.
    Promoted(Position),
}

/// Why a back end gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BackEndError {
    /// It did not answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// It promised a higher term.
    #[error("a higher term was promised")]
    TermTooLow,
    /// The connection or the statement failed.
    #[error("the statement failed")]
    Failed(#[source] tokio_postgres::Error),
    /// The answer has no row, or one of another form.
    #[error("the answer is not of the agreed form")]
    Malformed,
    /// The status is not of the agreed form.
    #[error(transparent)]
    Status(#[from] StatusError),
}

/// A call with its result.
#[derive(Debug)]
pub(crate) struct BackEndResult {
    pub(crate) call: BackEndCall,
    pub(crate) answer: Result<BackEndAnswer, BackEndError>,
}

/// Makes calls on an arbiter, many at once.
#[derive(Clone)]
pub(crate) struct BackEnds {
    pub(crate) arbiter: ArbiterHandle,
    pub(crate) consensus: ConsensusHandle,
    pub(crate) stop: StopSignal,
}

impl BackEnds {
    /// Starts a call; its result reaches the consensus thread as an input.
    pub(crate) fn start(&self, call: BackEndCall, limit: Duration) {
        let Self { consensus, stop, .. } = self.clone();
        self.arbiter.spawn(async move {
            tokio::select! {
                answer = ask(&call, limit) => {
                    // An error says that the thread has ended: no one waits for the answer.
                    let _ = consensus.send(ConsensusInput::BackEnd(BackEndResult { call, answer }));
                }
                () = stop.stopped() => (),
            }
        });
    }
}

async fn ask(call: &BackEndCall, limit: Duration) -> Result<BackEndAnswer, BackEndError> {
    timeout(limit, connect_and_ask(call)).await.unwrap_or(Err(BackEndError::TimedOut))
}

async fn connect_and_ask(call: &BackEndCall) -> Result<BackEndAnswer, BackEndError> {
    let mut config = Config::new();
    config
        .hostaddr(call.target.address.ip())
        .port(call.target.address.port())
        .user(USER)
        .dbname(&call.target.database)
        .application_name(APPLICATION_NAME);
    let (client, connection) = config.connect(NoTls).await.map_err(classify)?;
    // The connection ends with the client, which ends with this call.
    actix_rt::spawn(async move { drop(connection.await) });
    query(&client, call.operation).await
}

async fn query(client: &Client, operation: Operation) -> Result<BackEndAnswer, BackEndError> {
    let statement = match operation {
        Operation::Probe => SHOW_STATUS.to_owned(),
        Operation::Fence(term) => fence_statement(term),
        Operation::Promote(term) => promote_statement(term),
    };
    let messages = client.simple_query(&statement).await.map_err(classify)?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row = row.ok_or(BackEndError::Malformed)?;
    match operation {
        Operation::Probe => status(row),
        Operation::Fence(_) => fenced(row),
        Operation::Promote(_) => Ok(BackEndAnswer::Promoted(position(row, 0)?)),
    }
}

fn classify(error: tokio_postgres::Error) -> BackEndError {
    match error.code() {
        Some(code) if code.code() == TERM_TOO_LOW => BackEndError::TermTooLow,
        _ => BackEndError::Failed(error),
    }
}

fn status(row: &SimpleQueryRow) -> Result<BackEndAnswer, BackEndError> {
    let columns: Vec<_> = (0..STATUS_COLUMNS.len().min(row.len())).map(|n| row.get(n)).collect();
    Ok(BackEndAnswer::Status(MemberStatus::from_columns(&columns)?))
}

fn fenced(row: &SimpleQueryRow) -> Result<BackEndAnswer, BackEndError> {
    let promised = text(row, 0)?.parse().map_err(|_| BackEndError::Malformed)?;
    Ok(BackEndAnswer::Fenced { promised: Term(promised), last_position: position(row, 1)? })
}

fn position(row: &SimpleQueryRow, column: usize) -> Result<Position, BackEndError> {
    text(row, column)?.parse().map_err(|_| BackEndError::Malformed)
}

fn text(row: &SimpleQueryRow, column: usize) -> Result<&str, BackEndError> {
    row.try_get(column).ok().flatten().ok_or(BackEndError::Malformed)
}
