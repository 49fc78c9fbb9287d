//! Record of a run, HTTP calls, and the clients' side of the wire. Standard library only.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes what happened, with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let text = format!("{:8.3} s  {}\n", self.seconds(at), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }

    /// A line of the record that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new id, different in each call and each run.
pub fn new_id() -> String {
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let mixed = (time.as_nanos() as u64 ^ count.rotate_left(40)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    format!("{:016x}", mixed ^ count)
}

/// A number below `limit`.
pub fn draw(limit: usize) -> usize {
    (u64::from_str_radix(&new_id(), 16).unwrap_or(0) >> 20) as usize % limit.max(1)
}

/// One HTTP call; none without a whole answer within `limit`.
pub fn call(at: SocketAddr, method: &str, path: &str, body: &str, limit: Duration) -> Option<(u16, String)> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&at, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut buffer).ok()? {
            0 => break,
            count => answer.extend_from_slice(&buffer[..count]),
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned());
    Some((status, body))
}

/// An HTTP request as a server reads it.
pub struct HttpRequest {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl HttpRequest {
    pub fn read(stream: &TcpStream) -> Option<Self> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let mut headers = Vec::new();
        loop {
            let mut header = String::new();
            reader.read_line(&mut header).ok().filter(|count| *count > 0)?;
            let header = header.trim_end();
            if header.is_empty() {
                break;
            }
            let (name, value) = header.split_once(':')?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let body = String::from_utf8(body).ok()?;
        Some(Self { line: line.trim_end().to_owned(), headers, body })
    }

    pub fn header(&self, name: &str) -> String {
        let header = self.headers.iter().find(|(other, _)| other == name);
        header.map_or(String::new(), |(_, value)| value.clone())
    }
}

/// Text value of a field in a flat JSON body.
pub fn text_field(body: &str, name: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{name}\""))?.1;
    let rest = rest.trim_start().strip_prefix(':')?.trim_start().strip_prefix('"')?;
    Some(rest.split_once('"')?.0.to_owned())
}

/// How a request of a client ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// `COMPLETE` with this signature, and `READY` with this state.
    Done { signature: String, rows: Vec<String>, state: String },
    /// `ERROR` with this code and text, and `READY` with this state.
    Failed { code: String, text: String, state: String },
    /// The connection ended with no complete answer; what had come of it.
    Cut { got: String },
}

/// A client's session.
pub struct Session {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Session {
    pub fn start(at: SocketAddr, database: &str) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(2)).map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).map_err(text)?;
        let reader = BufReader::new(stream.try_clone().map_err(text)?);
        let mut session = Self { stream, reader };
        let start = format!("START {database} u{}\r\n", &new_id()[..6]);
        session.stream.write_all(start.as_bytes()).map_err(text)?;
        let answer = session.read_line().ok_or("no answer to START")?;
        if answer.starts_with("READY ") {
            Ok(session)
        } else {
            Err(answer)
        }
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.reader.read_line(&mut line).ok()?;
        (count > 0 && line.ends_with("\r\n")).then(|| line.trim_end().to_owned())
    }

    /// Reports whether the connection was closed while nothing is asked.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0; 1];
        let closed = match self.stream.peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }

    /// Sends a statement and waits for its answer until the deadline.
    pub fn query(&mut self, id: &str, text: &str, deadline: Duration) -> Ended {
        let _ = self.stream.set_read_timeout(Some(deadline));
        let mut got = String::new();
        if let Err(error) = self.stream.write_all(format!("QUERY {id} {text}\r\n").as_bytes()) {
            return Ended::Cut { got: format!("cannot be sent: {error}") };
        }
        let mut rows = Vec::new();
        let mut last = None;
        loop {
            let Some(line) = self.read_line() else { return Ended::Cut { got } };
            got.push_str(&line);
            got.push(';');
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => last = Some(Ok(rest.to_owned())),
                "ERROR" => last = Some(Err(rest.to_owned())),
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or("").to_owned();
                    return match last {
                        Some(Ok(signature)) => Ended::Done { signature, rows, state },
                        Some(Err(error)) => {
                            let (code, text) = error.split_once(' ').unwrap_or((&error, ""));
                            let (code, text) = (code.to_owned(), text.to_owned());
                            Ended::Failed { code, text, state }
                        }
                        None => Ended::Cut { got },
                    };
                }
                _ => return Ended::Cut { got },
            }
        }
    }

    pub fn terminate(mut self) {
        let _ = self.stream.write_all(b"TERMINATE\r\n");
    }
}
