//! Command line of corktack.
//!
//! [`run`] executes one command with the given arguments, environment and output stream, so that tests can call
//! it directly; the `corktack` binary only passes in those of its process.

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

/// Environment variable with the addresses of the operators' interface, separated by commas; read when no
/// `--server` is given.
pub const SERVER_VARIABLE: &str = "CORKTACK_SERVER";
/// Environment variable with the operators' bearer token; read when no `--token` is given.
pub const TOKEN_VARIABLE: &str = "CORKTACK_TOKEN";
/// Address at which `corktack dev` serves operators by default; used when no other address is given.
const DEFAULT_SERVER: &str = "http://127.0.0.1:6480";

/// Values of the environment variables that the program reads.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Value of [`SERVER_VARIABLE`].
    pub servers: Option<String>,
    /// Value of [`TOKEN_VARIABLE`].
    pub token: Option<String>,
}

impl Environment {
    /// Reads the variables from the environment of this process; an empty value counts as unset.
    #[must_use]
    pub fn from_process() -> Self {
        let read_variable = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
        Self { servers: read_variable(SERVER_VARIABLE), token: read_variable(TOKEN_VARIABLE) }
    }
}

/// Parses the arguments, runs the command and returns the exit code of the program.
///
/// # Errors
/// Returns the reason why the command failed, worded for the operator; the program then ends with code 1.
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
        CorktackCmd::Apply(command) => run_with_client(settings, async |client| {
            commands::apply::run(client, command, &mut output).await
        }),
        CorktackCmd::Get(command) => run_with_client(settings, async |client| {
            commands::get::run(client, command, &mut output).await
        }),
        CorktackCmd::Watch(command) => run_with_client(settings, async |client| {
            commands::watch::run(client, command, &mut output).await
        }),
        CorktackCmd::Delete(command) => run_with_client(settings, async |client| {
            commands::delete::run(client, command, &mut output).await
        }),
        CorktackCmd::Status(command) => run_with_client(settings, async |client| {
            commands::status::run(client, command, &mut output).await
        }),
        CorktackCmd::Cell(command) => run_with_client(settings, async |client| {
            commands::cell::run(client, command, &mut output).await
        }),
    }
}

fn client_settings(flags: &Corktack, environment: &Environment) -> ClientSettings {
    let mut servers = flags.server.clone();
    if servers.is_empty() {
        let addresses = environment.servers.as_deref().unwrap_or(DEFAULT_SERVER);
        servers = addresses.split(',').map(|server| server.trim().to_owned()).collect();
    }
    let token = flags.token.clone().or_else(|| environment.token.clone());
    ClientSettings { servers, token, ..ClientSettings::default() }
}

fn run_with_client<E: std::error::Error + Send + Sync + 'static>(
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
