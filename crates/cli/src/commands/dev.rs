//! `corktack dev`: runs every role in one process.

use crate::exit::Exit;
use crate::flags::Dev;
use crate::output::Output;
use corktack_server::dev::{DevSettings, run_until_stopped};

pub(crate) fn run(command: Dev, output: &mut Output<'_>) -> eyre::Result<Exit> {
    let defaults = DevSettings::default();
    let settings = DevSettings {
        data_folder: command.data_folder,
        callers_port: command.port.unwrap_or(defaults.callers_port),
        operators_port: command.operators_port.unwrap_or(defaults.operators_port),
        control_replicas: command.control_replicas.unwrap_or(defaults.control_replicas),
    };
    let mut write_result = Ok(());
    run_until_stopped(settings, |ready| write_result = output.write_line(&ready.to_string()))?;
    write_result?;
    Ok(Exit::Done)
}
