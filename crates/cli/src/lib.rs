//! Command line of corktack.
//!
//! [`run`] is the whole program but for the process round it, so that tests call it directly.

mod commands;
mod exit;
mod flags;
mod kind;
mod output;
mod table;

pub use exit::Exit;

use corktack_server::client::{ApiClient, ClientSettings};
use flags::{Corktack, CorktackCmd};
use output::{Format, Output};
use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

/// Addresses of the operators' interface, separated by commas, where no `--server` is given.
pub const SERVER_VARIABLE: &str = "CORKTACK_SERVER";
/// The operators' bearer token, where no `--token` is given.
pub const TOKEN_VARIABLE: &str = "CORKTACK_TOKEN";
/// Where `corktack dev` serves operators; used when no other address is given.
const DEFAULT_SERVER: &str = "http://127.0.0.1:6480";

/// What the program takes from its environment.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Value of [`SERVER_VARIABLE`].
    pub servers: Option<String>,
    /// Value of [`TOKEN_VARIABLE`].
    pub token: Option<String>,
}

impl Environment {
    /// The environment of this process.
    #[must_use]
    pub fn from_process() -> Self {
        let variable = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
        Self { servers: variable(SERVER_VARIABLE), token: variable(TOKEN_VARIABLE) }
    }
}

/// Runs one command; errors are for the operator to read.
///
/// # Errors
/// What kept the command from doing what was asked; the program then ends with 1.
pub fn run(
    arguments: Vec<OsString>,
    environment: &Environment,
    out: &mut dyn Write,
) -> eyre::Result<ExitCode> {
    let flags = match Corktack::from_vec(arguments) {
        Ok(flags) => flags,
        Err(usage) if usage.is_help() => {
            writeln!(out, "{usage}")?;
            return Ok(Exit::Done.into());
        }
        Err(usage) => {
            eprintln!("{usage}");
            return Ok(Exit::Usage.into());
        }
    };
    let exit = dispatch(flags, environment, out)?;
    Ok(exit.into())
}

fn dispatch(flags: Corktack, environment: &Environment, out: &mut dyn Write) -> eyre::Result<Exit> {
    let settings = client_settings(&flags, environment);
    let mut output = Output::new(flags.output.unwrap_or(Format::Table), out);
    match flags.subcommand {
        CorktackCmd::Control(command) => commands::control::run(command),
        CorktackCmd::Proxy(command) => commands::proxy::run(command),
        CorktackCmd::Dev(command) => commands::dev::run(command, &mut output),
        CorktackCmd::Check(command) => commands::check::run(&command, &mut output),
        CorktackCmd::Explain(command) => Ok(commands::explain::run(&command, &mut output)?),
        CorktackCmd::Apply(command) => with_client(settings, async |client| {
            commands::apply::run(client, command, &mut output).await
        }),
        CorktackCmd::Get(command) => with_client(settings, async |client| {
            commands::get::run(client, command, &mut output).await
        }),
        CorktackCmd::Watch(command) => with_client(settings, async |client| {
            commands::watch::run(client, command, &mut output).await
        }),
        CorktackCmd::Delete(command) => with_client(settings, async |client| {
            commands::delete::run(client, command, &mut output).await
        }),
        CorktackCmd::Status(command) => with_client(settings, async |client| {
            commands::status::run(client, command, &mut output).await
        }),
        CorktackCmd::Cell(command) => with_client(settings, async |client| {
            commands::cell::run(client, command, &mut output).await
        }),
    }
}

fn client_settings(flags: &Corktack, environment: &Environment) -> ClientSettings {
    let mut servers = flags.server.clone();
    if servers.is_empty() {
        let named = environment.servers.as_deref().unwrap_or(DEFAULT_SERVER);
        servers = named.split(',').map(|server| server.trim().to_owned()).collect();
    }
    let token = flags.token.clone().or_else(|| environment.token.clone());
    ClientSettings { servers, token, ..ClientSettings::default() }
}

fn with_client<E: std::error::Error + Send + Sync + 'static>(
    settings: ClientSettings,
    command: impl AsyncFnOnce(ApiClient) -> Result<Exit, E>,
) -> eyre::Result<Exit> {
    let system = actix_rt::System::new();
    let exit = system.block_on(async {
        let client = ApiClient::new(settings)?;
        command(client).await.map_err(eyre::Report::from)
    })?;
    Ok(exit)
}
