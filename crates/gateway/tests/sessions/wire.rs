//! Codec of the tests: each message is a line of fields separated by `|`.

use bytes::{Buf, BufMut, BytesMut};
use corktack_core::position::{Position, Term};
use corktack_core::statement::{
    Access, CallerMessage, ErrorCode, MemberRequest, MemberStatus, OwnStatement, PreparedShape,
    ReadyState, Reply, Request, Statement, TransactionState,
};
use corktack_core::tenancy::ApiKey;
use corktack_gateway::{Wire, WireError};

/// Codec of the tests, for both ends of a connection.
#[derive(Clone, Copy, Debug)]
pub struct TestWire;

const CODES: [(&str, ErrorCode); 12] = [
    ("busy", ErrorCode::Busy),
    ("aborted", ErrorCode::Aborted),
    ("lagging", ErrorCode::Lagging),
    ("readonly", ErrorCode::ReadOnly),
    ("toomany", ErrorCode::TooManyConnections),
    ("nodb", ErrorCode::UnknownDatabase),
    ("unauth", ErrorCode::Unauthenticated),
    ("overlimit", ErrorCode::OverLimit),
    ("timeout", ErrorCode::TimedOut),
    ("indoubt", ErrorCode::InDoubt),
    ("malformed", ErrorCode::Malformed),
    ("failed", ErrorCode::Failed),
];

/// Longest text of a statement to which a position may be added, in bytes.
pub const MOST_TEXT_BYTES: usize = 8 * 1024;

/// Removes the next whole line from the buffer.
pub fn take_line(buffer: &mut BytesMut) -> Option<String> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let line = String::from_utf8_lossy(&buffer.split_to(end)).into_owned();
    buffer.advance(1);
    Some(line)
}

fn put_line(buffer: &mut BytesMut, fields: &[&str]) {
    buffer.put_slice(fields.join("|").as_bytes());
    buffer.put_u8(b'\n');
}

fn position_text(position: Option<Position>) -> String {
    position.map_or_else(String::new, |position| format!("{}.{}", position.term, position.index))
}

/// Parses `TERM.INDEX`; returns none for any other text.
pub fn position(text: &str) -> Option<Position> {
    let (term, index) = text.split_once('.')?;
    Some(Position { term: Term(term.parse().ok()?), index: index.parse().ok()? })
}

fn statement(text: &str) -> Statement {
    let words: Vec<&str> = text.split(' ').collect();
    match words.as_slice() {
        ["begin"] => Statement::Begin { access: Access::Write },
        ["begin", "read"] => Statement::Begin { access: Access::Read },
        ["commit"] => Statement::Commit,
        ["rollback"] => Statement::Rollback,
        ["read", ..] => Statement::Run(Access::Read),
        ["write", ..] => Statement::Run(Access::Write),
        ["set", name, value] => {
            Statement::Set { name: (*name).to_owned(), value: (*value).to_owned() }
        }
        ["prepare", name, text] => Statement::Prepare {
            name: (*name).to_owned(),
            shape: PreparedShape { access: Access::Read, text: (*text).to_owned() },
        },
        ["execute", name, arguments] => {
            Statement::Execute { name: (*name).to_owned(), arguments: (*arguments).to_owned() }
        }
        _ => Statement::Malformed,
    }
}

fn own_text(statement: &OwnStatement) -> String {
    match statement {
        OwnStatement::Begin { access: Access::Read, .. } => "begin read".to_owned(),
        OwnStatement::Begin { .. } => "begin".to_owned(),
        OwnStatement::Rollback => "rollback".to_owned(),
        OwnStatement::Reset => "reset".to_owned(),
        OwnStatement::Set { name, value } => format!("set {name} {value}"),
        OwnStatement::Prepare { name, shape } => format!("prepare {name} {}", shape.text),
        OwnStatement::Status => "status".to_owned(),
        OwnStatement::Pause { term } => format!("pause {term}"),
        OwnStatement::Resume => "resume".to_owned(),
    }
}

impl Wire for TestWire {
    fn is_decodable(&self, buffer: &[u8], searched: usize) -> bool {
        buffer[searched..].contains(&b'\n')
    }

    fn has_room_for_position(&self, request: &Request) -> bool {
        request.text.len() <= MOST_TEXT_BYTES
    }

    fn decode_caller(&self, buffer: &mut BytesMut) -> Result<Option<CallerMessage>, WireError> {
        let Some(line) = take_line(buffer) else { return Ok(None) };
        let fields: Vec<&str> = line.split('|').collect();
        Ok(Some(match fields.as_slice() {
            ["start", database, key] => {
                CallerMessage::Start { database: (*database).to_owned(), key: ApiKey::new(key) }
            }
            ["query", id, text] => CallerMessage::Query(Request {
                id: (*id).to_owned(),
                text: (*text).to_owned(),
                statement: statement(text),
            }),
            ["terminate"] => CallerMessage::Terminate,
            _ => return Err(WireError::Field { field: "word" }),
        }))
    }

    fn encode_reply(&self, reply: &Reply, buffer: &mut BytesMut) {
        match reply {
            Reply::Row(row) => put_line(buffer, &["row", row]),
            Reply::Complete(signature) => {
                put_line(buffer, &["complete", signature.as_deref().unwrap_or_default()]);
            }
            Reply::Error { code, text } => {
                let word =
                    CODES.iter().find(|(_, known)| known == code).map_or("other", |(word, _)| word);
                put_line(buffer, &["error", word, text]);
            }
            Reply::Ready(ready) => {
                let state = match ready.state {
                    TransactionState::Idle => "idle",
                    TransactionState::Open => "open",
                    TransactionState::Failed => "failed",
                };
                put_line(buffer, &["ready", state, &position_text(ready.position)]);
            }
        }
    }

    fn encode_request(&self, request: &MemberRequest<'_>, buffer: &mut BytesMut) {
        match request {
            MemberRequest::Start { group, client_name, member } => {
                put_line(buffer, &["start", group, client_name, member]);
            }
            MemberRequest::Forward { id, after, text } => {
                put_line(buffer, &["query", id, &position_text(*after), text]);
            }
            MemberRequest::Execute { id, after, name, arguments } => {
                let text = format!("execute {name} {arguments}");
                put_line(buffer, &["query", id, &position_text(*after), &text]);
            }
            MemberRequest::Own(statement) => {
                let after = match statement {
                    OwnStatement::Begin { after, .. } => position_text(*after),
                    _ => String::new(),
                };
                put_line(buffer, &["query", "", &after, &own_text(statement)]);
            }
            MemberRequest::Terminate => put_line(buffer, &["terminate"]),
        }
    }

    fn decode_reply(&self, buffer: &mut BytesMut) -> Result<Option<Reply>, WireError> {
        let Some(line) = take_line(buffer) else { return Ok(None) };
        let fields: Vec<&str> = line.split('|').collect();
        Ok(Some(match fields.as_slice() {
            ["row", row] => Reply::Row((*row).to_owned()),
            ["complete", signature] => {
                Reply::Complete((!signature.is_empty()).then(|| (*signature).to_owned()))
            }
            ["error", word, text] => {
                let code =
                    CODES.iter().find(|(known_word, _)| known_word == word).map(|(_, code)| *code);
                Reply::Error { code: code.unwrap_or(ErrorCode::Other), text: (*text).to_owned() }
            }
            ["ready", state, reported] => {
                let state = match *state {
                    "idle" => TransactionState::Idle,
                    "open" => TransactionState::Open,
                    _ => TransactionState::Failed,
                };
                Reply::Ready(ReadyState { state, position: position(reported) })
            }
            _ => return Err(WireError::Field { field: "word" }),
        }))
    }

    fn decode_status(&self, _row: &str) -> Result<MemberStatus, WireError> {
        Err(WireError::Field { field: "status" })
    }
}
