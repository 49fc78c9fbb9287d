//! A caller that speaks the protocol by an independent client library.

use super::LIMIT;
use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::pin::Pin;
use std::rc::Rc;
use tokio::time::timeout;
use tokio_postgres::tls::NoTlsStream;
use tokio_postgres::{Client, Config, Connection, Error, NoTls, SimpleQueryMessage, Socket};

/// Name of the session's token among the parameters.
const TOKEN: &str = "corktack.token";

/// How a caller connects.
pub struct CallerSettings {
    /// What the client library takes.
    pub config: Config,
}

impl CallerSettings {
    /// A caller of the demo database.
    pub fn new(address: SocketAddr) -> Self {
        let mut config = Config::new();
        config.host(address.ip().to_string()).port(address.port()).user("app").dbname("demo");
        Self { config }
    }

    /// Presents a token at the start.
    pub fn token(mut self, token: &str) -> Self {
        self.config.options(format!("-c {TOKEN}={token}"));
        self
    }

    /// Connects, and serves the connection until the caller is dropped.
    pub async fn connect(self) -> Result<Caller, Error> {
        let connected = timeout(LIMIT, self.config.connect(NoTls)).await;
        let (client, connection) = connected.expect("an answer to the startup in time")?;
        let token = Rc::new(RefCell::new(String::new()));
        actix_rt::spawn(serve(connection, Rc::clone(&token)));
        Ok(Caller { client, token })
    }
}

/// Serves a connection, and notes the token that the proxy reported last.
async fn serve(mut connection: Connection<Socket, NoTlsStream>, token: Rc<RefCell<String>>) {
    poll_fn(|context| {
        let ended = Pin::new(&mut connection).poll(context);
        if let Some(reported) = connection.parameter(TOKEN) {
            token.replace(reported.to_owned());
        }
        // A refused or ended connection shows itself in the client's own results.
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
    /// The token that the proxy reported last.
    pub fn token(&self) -> String {
        self.token.borrow().clone()
    }

    /// Rows of a simple query, as texts.
    pub async fn rows(&self, query: &str) -> Result<Vec<Vec<Option<String>>>, Error> {
        let messages = timeout(LIMIT, self.client.simple_query(query)).await;
        let messages = messages.expect("an answer in time")?;
        let row = |message| match message {
            SimpleQueryMessage::Row(row) => {
                Some((0..row.len()).map(|place| row.get(place).map(str::to_owned)).collect())
            }
            _ => None,
        };
        Ok(messages.into_iter().filter_map(row).collect())
    }

    /// The only value of a simple query.
    pub async fn value(&self, query: &str) -> String {
        let rows = self.rows(query).await.expect("the query runs");
        let value = rows.first().and_then(|row| row.first().cloned().flatten());
        value.expect("one value")
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

/// The SQLSTATE of an error that the server sent.
pub fn sqlstate(error: &Error) -> &str {
    error.code().expect("an error of the server").code()
}
