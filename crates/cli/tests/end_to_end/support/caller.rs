//! A caller that connects to a proxy with an independent PostgreSQL client library.

use super::TEST_TIMEOUT;
use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::pin::Pin;
use std::rc::Rc;
use tokio::time::timeout;
use tokio_postgres::tls::NoTlsStream;
use tokio_postgres::{Client, Config, Connection, Error, NoTls, SimpleQueryMessage, Socket};

/// Session parameter in which the proxy reports the session's consistency token.
const TOKEN_PARAMETER: &str = "corktack.token";

/// Connection settings of a caller.
pub struct CallerSettings {
    /// Configuration of the client library.
    pub config: Config,
}

impl CallerSettings {
    /// Returns settings for a connection to the demo database as the user `app`.
    pub fn new(address: SocketAddr) -> Self {
        let mut config = Config::new();
        config.host(address.ip().to_string()).port(address.port()).user("app").dbname("demo");
        Self { config }
    }

    /// Adds a consistency token to the startup message.
    pub fn with_token(mut self, token: &str) -> Self {
        self.config.options(format!("-c {TOKEN_PARAMETER}={token}"));
        self
    }

    /// Connects and starts a task that serves the connection until the caller is dropped.
    pub async fn connect(self) -> Result<Caller, Error> {
        let connected = timeout(TEST_TIMEOUT, self.config.connect(NoTls)).await;
        let (client, connection) = connected.expect("an answer to the startup in time")?;
        let token = Rc::new(RefCell::new(String::new()));
        actix_rt::spawn(serve(connection, Rc::clone(&token)));
        Ok(Caller { client, token })
    }
}

/// Serves a connection and records the token that the proxy reported last.
async fn serve(mut connection: Connection<Socket, NoTlsStream>, token: Rc<RefCell<String>>) {
    poll_fn(|context| {
        let ended = Pin::new(&mut connection).poll(context);
        if let Some(reported) = connection.parameter(TOKEN_PARAMETER) {
            token.replace(reported.to_owned());
        }
        // The client's own requests return the error of a refused or closed connection.
        ended.map(drop)
    })
    .await;
}

/// A connected caller.
pub struct Caller {
    client: Client,
    token: Rc<RefCell<String>>,
}

impl Caller {
    /// Returns the token that the proxy reported last; empty before its first report.
    pub fn token(&self) -> String {
        self.token.borrow().clone()
    }

    /// Runs a simple query and returns its rows as texts.
    pub async fn query_rows(&self, query: &str) -> Result<Vec<Vec<Option<String>>>, Error> {
        let messages = timeout(TEST_TIMEOUT, self.client.simple_query(query)).await;
        let messages = messages.expect("an answer in time")?;
        let to_row = |message| match message {
            SimpleQueryMessage::Row(row) => {
                Some((0..row.len()).map(|column| row.get(column).map(str::to_owned)).collect())
            }
            _ => None,
        };
        Ok(messages.into_iter().filter_map(to_row).collect())
    }

    /// Runs a simple query that must succeed and returns the first value of its first row.
    pub async fn query_value(&self, query: &str) -> String {
        let rows = self.query_rows(query).await.expect("the query runs");
        let value = rows.first().and_then(|row| row.first().cloned().flatten());
        value.expect("the query returns a value")
    }
}

impl Deref for Caller {
    type Target = Client;

    fn deref(&self) -> &Client {
        &self.client
    }
}

impl DerefMut for Caller {
    fn deref_mut(&mut self) -> &mut Client {
        &mut self.client
    }
}

/// Returns the SQLSTATE of an error that the server sent; panics for any other error.
pub fn sqlstate(error: &Error) -> &str {
    error.code().expect("an error of the server").code()
}
