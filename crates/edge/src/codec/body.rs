//! Checks the bodies of callers' messages before they are decoded.

use crate::error::Rejection;
use pgwire::messages::extendedquery::{
    MESSAGE_TYPE_BYTE_BIND, MESSAGE_TYPE_BYTE_CLOSE, MESSAGE_TYPE_BYTE_DESCRIBE,
    MESSAGE_TYPE_BYTE_EXECUTE, MESSAGE_TYPE_BYTE_FLUSH, MESSAGE_TYPE_BYTE_PARSE,
    MESSAGE_TYPE_BYTE_SYNC,
};
use pgwire::messages::simplequery::MESSAGE_TYPE_BYTE_QUERY;
use pgwire::messages::terminate::MESSAGE_TYPE_BYTE_TERMINATE;

/// Bytes of a cancel request of protocol 3.0.
pub(super) const CANCEL_REQUEST_BYTES: usize = 16;

/// Whether these are the parameters of a startup message: pairs of texts and a last zero.
pub(super) fn is_startup(parameters: &[u8]) -> bool {
    let Some((0, texts)) = parameters.split_last() else {
        return false;
    };
    if texts.is_empty() {
        return true;
    }
    let Some((0, texts)) = texts.split_last() else {
        return false;
    };
    let parts: Vec<&[u8]> = texts.split(|byte| *byte == 0).collect();
    let names_are_given = parts.iter().step_by(2).all(|name| !name.is_empty());
    parts.len().is_multiple_of(2) && names_are_given && std::str::from_utf8(texts).is_ok()
}

/// Checks that a message's body has exactly the parts that its type asks for.
pub(super) fn check(kind: u8, body: &[u8]) -> Result<(), Rejection> {
    let mut body = Body { kind, rest: body };
    match kind {
        MESSAGE_TYPE_BYTE_QUERY => body.text()?,
        MESSAGE_TYPE_BYTE_PARSE => body.parse()?,
        MESSAGE_TYPE_BYTE_BIND => body.bind()?,
        MESSAGE_TYPE_BYTE_DESCRIBE | MESSAGE_TYPE_BYTE_CLOSE => body.target()?,
        MESSAGE_TYPE_BYTE_EXECUTE => body.execute()?,
        MESSAGE_TYPE_BYTE_SYNC | MESSAGE_TYPE_BYTE_FLUSH | MESSAGE_TYPE_BYTE_TERMINATE => {}
        _ => return Ok(()),
    }
    body.end()
}

struct Body<'a> {
    kind: u8,
    rest: &'a [u8],
}

impl Body<'_> {
    fn malformed(&self) -> Rejection {
        Rejection::MalformedMessage(char::from(self.kind))
    }

    fn skip(&mut self, bytes: usize) -> Result<(), Rejection> {
        self.rest = self.rest.get(bytes..).ok_or_else(|| self.malformed())?;
        Ok(())
    }

    fn text(&mut self) -> Result<(), Rejection> {
        let end = self.rest.iter().position(|byte| *byte == 0);
        let end = end.ok_or_else(|| self.malformed())?;
        std::str::from_utf8(&self.rest[..end]).map_err(|_| Rejection::NotUtf8)?;
        self.skip(end + 1)
    }

    fn count(&mut self) -> Result<usize, Rejection> {
        let [first, second, ..] = *self.rest else {
            return Err(self.malformed());
        };
        self.skip(2)?;
        Ok(usize::from(u16::from_be_bytes([first, second])))
    }

    fn parse(&mut self) -> Result<(), Rejection> {
        self.text()?;
        self.text()?;
        let types = self.count()?;
        self.skip(4 * types)
    }

    fn bind(&mut self) -> Result<(), Rejection> {
        self.text()?;
        self.text()?;
        let formats = self.count()?;
        self.skip(2 * formats)?;
        for _ in 0..self.count()? {
            self.value()?;
        }
        let formats = self.count()?;
        self.skip(2 * formats)
    }

    fn value(&mut self) -> Result<(), Rejection> {
        let [a, b, c, d, ..] = *self.rest else {
            return Err(self.malformed());
        };
        self.skip(4)?;
        match i32::from_be_bytes([a, b, c, d]) {
            -1 => Ok(()),
            length => self.skip(usize::try_from(length).map_err(|_| self.malformed())?),
        }
    }

    fn target(&mut self) -> Result<(), Rejection> {
        if !matches!(self.rest.first(), Some(b'S' | b'P')) {
            return Err(self.malformed());
        }
        self.skip(1)?;
        self.text()
    }

    fn execute(&mut self) -> Result<(), Rejection> {
        self.text()?;
        self.skip(4)
    }

    fn end(&self) -> Result<(), Rejection> {
        if self.rest.is_empty() { Ok(()) } else { Err(self.malformed()) }
    }
}
