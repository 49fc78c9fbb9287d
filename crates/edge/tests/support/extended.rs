//! Encodes messages of the extended query protocol.

use super::wire;
use corktack_protocol::peer::Batch;
use pgwire::messages::PgWireFrontendMessage as Message;

pub fn parse(name: &str, text: &str) -> Vec<u8> {
    wire::message('P', format!("{name}\0{text}\0\0\0").as_bytes())
}

pub fn bind(portal: &str, statement: &str) -> Vec<u8> {
    wire::message('B', format!("{portal}\0{statement}\0\0\0\0\0\0\0").as_bytes())
}

pub fn execute(portal: &str, rows: u8) -> Vec<u8> {
    let mut body = format!("{portal}\0\0\0\0").into_bytes();
    body.push(rows);
    wire::message('E', &body)
}

pub fn target(message_type: char, target: char, name: &str) -> Vec<u8> {
    wire::message(message_type, format!("{target}{name}\0").as_bytes())
}

pub fn sync() -> Vec<u8> {
    wire::message('S', &[])
}

pub fn flush() -> Vec<u8> {
    wire::message('H', &[])
}

/// Returns the wire type of each message in a batch, one letter for each.
pub fn message_types(batch: &Batch) -> String {
    let message_type = |message: &Message| match message {
        Message::Query(_) => 'Q',
        Message::Parse(_) => 'P',
        Message::Bind(_) => 'B',
        Message::Describe(_) => 'D',
        Message::Execute(_) => 'E',
        Message::Close(_) => 'C',
        Message::Sync(_) => 'S',
        Message::Flush(_) => 'H',
        _ => '?',
    };
    wire::decode(batch).iter().map(message_type).collect()
}
