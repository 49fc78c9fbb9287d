//! The `corktack` program: runs one command with the arguments and environment of the process.

use std::process::ExitCode;

fn main() -> eyre::Result<ExitCode> {
    let arguments = std::env::args_os().skip(1).collect();
    let environment = corktack_cli::Environment::from_process();
    corktack_cli::run(arguments, &environment, &mut std::io::stdout())
}
