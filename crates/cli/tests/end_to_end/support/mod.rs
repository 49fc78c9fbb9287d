//! A running `dev` on free ports, its callers and its operators.

mod caller;
mod operator;
mod program;
mod third;

pub use caller::{Caller, CallerSettings, sqlstate};
pub use operator::{apply_text, json, run, settled};
pub use program::{Finished, Program};
pub use third::ThirdProxy;

use corktack_server::dev::{Dev, DevSettings};
use std::net::SocketAddr;
use std::time::Duration;

/// Bound on every wait of these tests; none is expected to come near it.
pub const LIMIT: Duration = Duration::from_secs(120);

/// Starts `dev` on free ports with a temporary data folder.
pub async fn start_dev() -> Dev {
    let settings = DevSettings { callers_port: 0, operators_port: 0, ..DevSettings::default() };
    Dev::start(settings).await.expect("dev starts")
}

/// The callers' address of a proxy of `dev`, counted from 0.
pub fn proxy(dev: &Dev, place: usize) -> SocketAddr {
    dev.ready().callers[place]
}

/// A caller of the demo database at a proxy.
pub async fn caller(dev: &Dev, place: usize) -> Caller {
    CallerSettings::new(proxy(dev, place)).connect().await.expect("the caller is let in")
}

/// The program, pointed at the operators' interface of `dev`.
pub fn program(dev: &Dev, arguments: &[&str]) -> Program {
    let server = format!("http://{}", dev.ready().operators[0]);
    Program::new(&[&["--server", &server], arguments].concat())
}
