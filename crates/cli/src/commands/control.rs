//! `corktack control`: runs a control replica.

use crate::exit::Exit;
use crate::flags::Control;
use corktack_server::control::{Bootstrap, run_until_stopped};
use corktack_server::settings::{ControlOverrides, ControlSettings};

pub(crate) fn run(command: Control) -> eyre::Result<Exit> {
    let overrides = ControlOverrides {
        data_folder: command.data_folder,
        cell: command.cell,
        proxies: command.proxies,
        operators: command.operators,
    };
    let settings = ControlSettings::load(&command.settings, overrides)?;
    let bootstrap = if command.bootstrap { Bootstrap::Allow } else { Bootstrap::Refuse };
    run_until_stopped(settings, bootstrap)?;
    Ok(Exit::Done)
}
