//! Hollow back ends: listeners that answer what control asks a member, and no SQL.

use super::group::{HollowGroup, Life, Refusal};
use bytes::BytesMut;
use corktack_core::backend::{
    MemberRole, NOT_PRIMARY, SHOW_READ_INDEX, SHOW_STATUS, STATUS_COLUMNS, TERM_TOO_LOW,
    fence_statement, promote_statement,
};
use corktack_core::position::Term;
use pgwire::error::PgWireError;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, SslResponse, TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage as Answer, PgWireFrontendMessage as Request,
    SslNegotiationMetaMessage,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// SQLSTATE of a statement that a hollow back end does not know.
const NOT_SUPPORTED: &str = "0A000";
/// SQLSTATE of a promotion that no majority confirms.
const CANNOT_CONNECT: &str = "57P03";
/// Type of all columns: text, of any length, without modifier, in text format.
const TEXT: (u32, i16, i32, i16) = (25, -1, -1, 0);
/// Pause after a connection could not be accepted, as when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum SessionError {
    #[error("connection lost")]
    Connection(#[from] std::io::Error),
    #[error("not the PostgreSQL wire protocol")]
    Protocol(#[from] PgWireError),
}

/// Serves the member in this place of a group until it refuses connections.
pub async fn serve(group: Arc<HollowGroup>, place: usize, listener: TcpListener) {
    let mut life = group.follow_life(place);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = refusing(&mut life) => return,
        };
        let Ok((socket, _)) = accepted else {
            log::warn!("a hollow back end could not accept a connection");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let session = Session { group: Arc::clone(&group), place, output: BytesMut::new() };
        tokio::spawn(session.run(socket));
    }
}

async fn refusing(life: &mut watch::Receiver<Life>) {
    if life.wait_for(|life| *life == Life::Refusing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

struct Session {
    group: Arc<HollowGroup>,
    place: usize,
    output: BytesMut,
}

impl Session {
    async fn run(mut self, socket: TcpStream) {
        if let Err(error) = self.serve(socket).await {
            log::debug!(error:%; "connection of a hollow back end ended");
        }
    }

    async fn serve(&mut self, mut socket: TcpStream) -> Result<(), SessionError> {
        let mut life = self.group.follow_life(self.place);
        let mut context = DecodeContext::default();
        let mut input = BytesMut::new();
        loop {
            let read = tokio::select! {
                read = socket.read_buf(&mut input) => read?,
                () = refusing(&mut life) => 0,
            };
            if read == 0 {
                return Ok(());
            }
            if *life.borrow() == Life::Silent {
                input.clear();
                continue;
            }
            while let Some(request) = Request::decode(&mut input, &context)? {
                if !self.take(request, &mut context)? {
                    return Ok(());
                }
            }
            socket.write_all_buf(&mut self.output).await?;
        }
    }

    /// Whether the connection goes on after this request.
    fn take(
        &mut self,
        request: Request,
        context: &mut DecodeContext,
    ) -> Result<bool, SessionError> {
        match request {
            Request::SslNegotiation(SslNegotiationMetaMessage::None) => {
                context.awaiting_frontend_ssl = false;
            }
            // Another negotiation may follow a refused one.
            Request::SslNegotiation(_) => {
                self.put(Answer::SslResponse(SslResponse::Refuse))?;
            }
            Request::Startup(_) => {
                context.awaiting_frontend_startup = false;
                self.put(Answer::Authentication(Authentication::Ok))?;
                let key = BackendKeyData::new(1, SecretKey::I32(1));
                self.put(Answer::BackendKeyData(key))?;
                self.ready()?;
            }
            Request::Query(query) => {
                self.query(query.query.trim().trim_end_matches(';'))?;
                self.ready()?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn query(&mut self, text: &str) -> Result<(), SessionError> {
        let term = text.rsplit(' ').next().and_then(|word| word.parse().ok()).map(Term);
        match term {
            _ if text == SHOW_STATUS => self.show_status(),
            _ if text == SHOW_READ_INDEX => self.show_read_index(),
            Some(term) if text == fence_statement(term) => self.fence(term),
            Some(term) if text == promote_statement(term) => self.promote(term),
            _ => self.error(NOT_SUPPORTED, "a hollow back end runs no SQL"),
        }
    }

    fn show_status(&mut self) -> Result<(), SessionError> {
        let (status, primary) = self.group.status(self.place);
        let role = match status.role {
            MemberRole::Primary => "primary",
            MemberRole::Replica => "replica",
            MemberRole::Fenced => "fenced",
        };
        let values = [
            status.member.to_string(),
            role.to_owned(),
            status.promised_term.to_string(),
            status.last_position.to_string(),
            status.applied_position.to_string(),
            primary.map(|name| name.to_string()).unwrap_or_default(),
        ];
        self.row(&STATUS_COLUMNS, &values, "SHOW")
    }

    fn show_read_index(&mut self) -> Result<(), SessionError> {
        let (status, _) = self.group.status(self.place);
        if status.role != MemberRole::Primary {
            return self.error(NOT_PRIMARY, "not the primary");
        }
        self.row(&["position"], &[status.applied_position.to_string()], "SHOW")
    }

    fn fence(&mut self, term: Term) -> Result<(), SessionError> {
        match self.group.fence(self.place, term) {
            Ok((promised, last)) => {
                let values = [promised.to_string(), last.to_string()];
                self.row(&["promised_term", "last_position"], &values, "ALTER SYSTEM")
            }
            Err(refusal) => self.refuse(refusal),
        }
    }

    fn promote(&mut self, term: Term) -> Result<(), SessionError> {
        match self.group.promote(self.place, term) {
            Ok(position) => self.row(&["position"], &[position.to_string()], "ALTER SYSTEM"),
            Err(refusal) => self.refuse(refusal),
        }
    }

    fn refuse(&mut self, refusal: Refusal) -> Result<(), SessionError> {
        let state = match refusal {
            Refusal::Term { .. } | Refusal::NotPromised => TERM_TOO_LOW,
            Refusal::NoMajority => CANNOT_CONNECT,
        };
        self.error(state, &refusal.to_string())
    }

    fn put(&mut self, answer: Answer) -> Result<(), SessionError> {
        Ok(answer.encode(&mut self.output)?)
    }

    fn ready(&mut self) -> Result<(), SessionError> {
        self.put(Answer::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle)))
    }

    fn row(&mut self, names: &[&str], values: &[String], tag: &str) -> Result<(), SessionError> {
        let (kind, size, modifier, format) = TEXT;
        let field = |name: &&str| {
            FieldDescription::new((*name).to_owned(), 0, 0, kind, size, modifier, format)
        };
        let fields = names.iter().map(field).collect();
        self.put(Answer::RowDescription(RowDescription::new(fields)))?;
        let mut data = BytesMut::new();
        for value in values {
            data.extend_from_slice(&(value.len() as i32).to_be_bytes());
            data.extend_from_slice(value.as_bytes());
        }
        self.put(Answer::DataRow(DataRow::new(data, values.len() as i16)))?;
        self.put(Answer::CommandComplete(CommandComplete::new(tag.to_owned())))
    }

    fn error(&mut self, state: &str, text: &str) -> Result<(), SessionError> {
        let fields = [(b'S', "ERROR"), (b'C', state), (b'M', text)];
        let fields = fields.map(|(code, text)| (code, text.to_owned())).to_vec();
        self.put(Answer::ErrorResponse(ErrorResponse::new(fields)))
    }
}
