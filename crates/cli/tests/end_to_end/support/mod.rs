//! Starts `dev` on free ports, connects callers to its proxies and runs the program against it.

mod caller;
mod operator;
mod program;
mod third;

pub use caller::{Caller, CallerSettings, sqlstate};
pub use operator::{apply_manifest, run, run_json, wait_until_in_force};
pub use program::{Finished, Program};
pub use third::ThirdProxy;

use corktack_server::dev::{Dev, DevSettings};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of every wait in these tests, far longer than any wait takes in a run that passes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Starts `dev` on free ports with a temporary data folder.
pub async fn start_dev() -> Dev {
    let settings = DevSettings { callers_port: 0, operators_port: 0, ..DevSettings::default() };
    Dev::start(settings).await.expect("dev starts")
}

/// Returns the callers' address of a proxy of `dev`; indexes start at 0.
pub fn proxy_address(dev: &Dev, proxy_index: usize) -> SocketAddr {
    dev.ready().callers[proxy_index]
}

/// Connects a caller to the demo database through a proxy of `dev`.
pub async fn connect_caller(dev: &Dev, proxy_index: usize) -> Caller {
    CallerSettings::new(proxy_address(dev, proxy_index))
        .connect()
        .await
        .expect("the caller is accepted")
}

/// Prepares a run of the program with the operators' interface of `dev` as its server.
pub fn program(dev: &Dev, arguments: &[&str]) -> Program {
    let server = format!("http://{}", dev.ready().operators[0]);
    Program::new(&[&["--server", &server], arguments].concat())
}
