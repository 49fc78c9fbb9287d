//! `corktack proxy`: runs a proxy.

use crate::exit::Exit;
use crate::flags::Proxy;
use corktack_server::proxy::run_until_stopped;
use corktack_server::settings::{ProxyOverrides, ProxySettings};

pub(crate) fn run(command: Proxy) -> eyre::Result<Exit> {
    let overrides = ProxyOverrides {
        name: command.name,
        zone: command.zone,
        data_folder: command.data_folder,
        callers: command.callers,
        peers: command.peers,
        telemetry: command.telemetry,
    };
    let settings = ProxySettings::load(&command.settings, overrides)?;
    run_until_stopped(settings)?;
    Ok(Exit::Done)
}
