//! Checks the bodies of callers' messages before they are decoded, because the `pgwire` codec trusts
//! the lengths inside a message.

use crate::error::Rejection;
use pgwire::messages::extendedquery::{
    MESSAGE_TYPE_BYTE_BIND, MESSAGE_TYPE_BYTE_CLOSE, MESSAGE_TYPE_BYTE_DESCRIBE,
    MESSAGE_TYPE_BYTE_EXECUTE, MESSAGE_TYPE_BYTE_FLUSH, MESSAGE_TYPE_BYTE_PARSE,
    MESSAGE_TYPE_BYTE_SYNC,
};
use pgwire::messages::simplequery::MESSAGE_TYPE_BYTE_QUERY;
use pgwire::messages::terminate::MESSAGE_TYPE_BYTE_TERMINATE;

/// Size of a cancel request of protocol 3.0, with its length field.
pub(super) const CANCEL_REQUEST_BYTES: usize = 16;

/// Reports whether the bytes are the parameters of a startup message: pairs of zero-terminated names
/// and values, and a final zero.
pub(super) fn is_startup(parameters: &[u8]) -> bool {
    let Some((0, strings)) = parameters.split_last() else {
        return false;
    };
    if strings.is_empty() {
        return true;
    }
    let Some((0, strings)) = strings.split_last() else {
        return false;
    };
    let parts: Vec<&[u8]> = strings.split(|byte| *byte == 0).collect();
    let names_are_not_empty = parts.iter().step_by(2).all(|name| !name.is_empty());
    parts.len().is_multiple_of(2) && names_are_not_empty && std::str::from_utf8(strings).is_ok()
}

/// Checks that the body of a message consists of exactly the fields of its type. Other types than those
/// of the simple and extended query protocol are not checked.
pub(super) fn check_body(message_type: u8, body: &[u8]) -> Result<(), Rejection> {
    let mut body = BodyReader { message_type, remaining: body };
    match message_type {
        MESSAGE_TYPE_BYTE_QUERY => body.skip_text()?,
        MESSAGE_TYPE_BYTE_PARSE => body.check_parse()?,
        MESSAGE_TYPE_BYTE_BIND => body.check_bind()?,
        MESSAGE_TYPE_BYTE_DESCRIBE | MESSAGE_TYPE_BYTE_CLOSE => body.check_target()?,
        MESSAGE_TYPE_BYTE_EXECUTE => body.check_execute()?,
        MESSAGE_TYPE_BYTE_SYNC | MESSAGE_TYPE_BYTE_FLUSH | MESSAGE_TYPE_BYTE_TERMINATE => {}
        _ => return Ok(()),
    }
    body.check_end()
}

struct BodyReader<'a> {
    message_type: u8,
    remaining: &'a [u8],
}

impl BodyReader<'_> {
    fn malformed(&self) -> Rejection {
        Rejection::MalformedMessage(char::from(self.message_type))
    }

    fn skip(&mut self, bytes: usize) -> Result<(), Rejection> {
        self.remaining = self.remaining.get(bytes..).ok_or_else(|| self.malformed())?;
        Ok(())
    }

    fn skip_text(&mut self) -> Result<(), Rejection> {
        let length = self.remaining.iter().position(|byte| *byte == 0);
        let length = length.ok_or_else(|| self.malformed())?;
        std::str::from_utf8(&self.remaining[..length]).map_err(|_| Rejection::NotUtf8)?;
        self.skip(length + 1)
    }

    fn read_count(&mut self) -> Result<usize, Rejection> {
        let [first, second, ..] = *self.remaining else {
            return Err(self.malformed());
        };
        self.skip(2)?;
        Ok(usize::from(u16::from_be_bytes([first, second])))
    }

    fn check_parse(&mut self) -> Result<(), Rejection> {
        self.skip_text()?;
        self.skip_text()?;
        let types = self.read_count()?;
        self.skip(4 * types)
    }

    fn check_bind(&mut self) -> Result<(), Rejection> {
        self.skip_text()?;
        self.skip_text()?;
        let formats = self.read_count()?;
        self.skip(2 * formats)?;
        for _ in 0..self.read_count()? {
            self.skip_value()?;
        }
        let formats = self.read_count()?;
        self.skip(2 * formats)
    }

    fn skip_value(&mut self) -> Result<(), Rejection> {
        let [a, b, c, d, ..] = *self.remaining else {
            return Err(self.malformed());
        };
        self.skip(4)?;
        match i32::from_be_bytes([a, b, c, d]) {
            -1 => Ok(()),
            length => self.skip(usize::try_from(length).map_err(|_| self.malformed())?),
        }
    }

    fn check_target(&mut self) -> Result<(), Rejection> {
        if !matches!(self.remaining.first(), Some(b'S' | b'P')) {
            return Err(self.malformed());
        }
        self.skip(1)?;
        self.skip_text()
    }

    fn check_execute(&mut self) -> Result<(), Rejection> {
        self.skip_text()?;
        self.skip(4)
    }

    fn check_end(&self) -> Result<(), Rejection> {
        if self.remaining.is_empty() { Ok(()) } else { Err(self.malformed()) }
    }
}
