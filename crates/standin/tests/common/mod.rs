//! Helpers of the stand-in's tests: a group in a temporary folder and a caller.

#![allow(dead_code, clippy::unwrap_used)]

use corktack_core::backend::{MemberStatus, POSITION_PARAMETER, SHOW_STATUS};
use corktack_core::identity::GroupName;
use corktack_core::position::Position;
use corktack_standin::{Group, GroupSettings};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio_postgres::tls::NoTlsStream;
use tokio_postgres::{CancelToken, Client, Config, Connection, Error, NoTls, SimpleQueryMessage};

/// Most attempts of a poll, and the pause between two.
const ATTEMPTS: usize = 1000;
const PAUSE: Duration = Duration::from_millis(10);

pub struct TestGroup {
    pub group: Group,
    pub folder: TempDir,
}

pub fn settings(folder: &TempDir) -> GroupSettings {
    GroupSettings::new(GroupName::new("cdr").unwrap(), folder.path().to_owned())
}

pub fn start_group() -> TestGroup {
    start_group_with(|_| {})
}

pub fn start_group_with(adjust: impl FnOnce(&mut GroupSettings)) -> TestGroup {
    let folder = TempDir::new().unwrap();
    let mut settings = settings(&folder);
    adjust(&mut settings);
    TestGroup { group: Group::start(settings).unwrap(), folder }
}

impl TestGroup {
    pub async fn caller(&self, place: usize) -> Caller {
        Caller::connect(self.group.postgres_addresses()[place]).await.unwrap()
    }
}

/// A client whose connection is driven by its own calls, so that parameters can be read.
pub struct Caller {
    pub client: Client,
    connection: Option<CallerConnection>,
    position: Option<Position>,
}

type CallerConnection = Connection<tokio_postgres::Socket, NoTlsStream>;

pub fn config(address: SocketAddr) -> Config {
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("clerk").dbname("cdr");
    config
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Result<Self, Error> {
        Self::connect_with(&config(address)).await
    }

    pub async fn connect_with(config: &Config) -> Result<Self, Error> {
        let (client, connection) = config.connect(NoTls).await?;
        Ok(Self { client, connection: Some(connection), position: None })
    }

    pub async fn simple(&mut self, sql: &str) -> Result<Vec<Vec<Option<String>>>, Error> {
        let messages = self.messages(sql).await?;
        Ok(messages.iter().filter_map(row_texts).collect())
    }

    pub async fn messages(&mut self, sql: &str) -> Result<Vec<SimpleQueryMessage>, Error> {
        let request = self.client.simple_query(sql);
        let result = drive(&mut self.connection, request).await;
        let reported = self.connection.as_ref().and_then(|open| open.parameter(POSITION_PARAMETER));
        self.position = reported.and_then(|text| text.parse().ok()).or(self.position);
        result
    }

    pub async fn status(&mut self) -> MemberStatus {
        let rows = self.simple(SHOW_STATUS).await.unwrap();
        let columns: Vec<_> = rows[0].iter().map(Option::as_deref).collect();
        MemberStatus::from_columns(&columns).unwrap()
    }

    /// The position the member reported last.
    pub fn position(&self) -> Option<Position> {
        self.position
    }
}

/// Waits for a request while its connection is driven.
///
/// A connection that ended is dropped at once: it owns the senders of the answers
/// it still owed, and a request waits for ever while one of them lives.
async fn drive<T>(
    connection: &mut Option<CallerConnection>,
    request: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    tokio::pin!(request);
    if let Some(open) = connection {
        tokio::select! {
            biased;
            result = &mut request => return result,
            _ = open => {}
        }
    }
    drop(connection.take());
    request.await
}

fn row_texts(message: &SimpleQueryMessage) -> Option<Vec<Option<String>>> {
    match message {
        SimpleQueryMessage::Row(row) => {
            Some((0..row.len()).map(|place| row.get(place).map(str::to_owned)).collect())
        }
        _ => None,
    }
}

/// A client whose connection runs on a task of its own.
pub async fn client(address: SocketAddr) -> Client {
    let (client, connection) = config(address).connect(NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}

pub fn sqlstate(error: &Error) -> &str {
    error.code().map_or("closed", |state| state.code())
}

/// Sends a cancel request and waits until the member has dealt with it and closed the
/// connection, so that it cannot reach a later statement.
pub async fn cancel(token: &CancelToken, address: SocketAddr) {
    let stream = std::net::TcpStream::connect(address).expect("the member listens");
    stream.set_nonblocking(true).expect("a socket takes the option");
    let sending = stream.try_clone().and_then(TcpStream::from_std).expect("a socket is cloned");
    let mut closing = TcpStream::from_std(stream).expect("a socket is handed over");
    token.cancel_query_raw(sending, NoTls).await.expect("the member takes the request");
    let mut answer = Vec::new();
    closing.read_to_end(&mut answer).await.expect("the member closes the connection");
}

/// Polls until a condition holds, for a bounded number of attempts.
pub async fn eventually<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    for _ in 0..ATTEMPTS {
        if condition().await {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("the condition did not hold after {ATTEMPTS} attempts");
}
