//! A deployment whose back ends register themselves and whose configuration is one document.
//!
//! Processes of such a deployment know little: their own machine, a few seeds and the bounds that
//! must be kept. This module owns their addresses; `start` starts their parts, whose timers stand in
//! `settings` and `bounds`.

mod bounds;
mod gateway;
mod member_calls;
mod settings;
mod start;

pub use bounds::DeploymentBounds;
pub use gateway::RunningGateway;

use crate::listeners::ListenError;
use crate::watch_client::WatchError;
use corktack_control::ControlError;
use corktack_core::identity::{NameError, ZoneName};
use corktack_gateway::GatewayError;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Why a process of a deployment could not start.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// A name of the machine is not valid.
    #[error("machine name or zone")]
    Name(#[from] NameError),
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The control replica cannot start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The watch of control cannot start.
    #[error(transparent)]
    Watch(#[from] WatchError),
    /// The gateway cannot start.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// The machine has no disk, and the role needs one.
    #[error("the role needs a data folder")]
    NoDataFolder,
}

/// What a process knows of its deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the machine.
    pub name: String,
    /// Its address, as other processes reach it.
    pub machine: IpAddr,
    /// Where it listens for other processes, if not at its address: behind a relay, say.
    pub listen: Option<IpAddr>,
    /// Its zone.
    pub zone: ZoneName,
    /// First of the ports for what processes say to each other; the same on all machines.
    pub first_port: u16,
    /// Machines with control replicas.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole deployment starts for the first time.
    pub bootstrap: bool,
    /// Folder of the disk, on machines that have one.
    pub data_folder: Option<PathBuf>,
    /// Bounds that must be kept.
    pub bounds: DeploymentBounds,
}

impl Deployment {
    fn cell_port(&self) -> u16 {
        self.first_port
    }

    fn proxies_port(&self) -> u16 {
        self.first_port + 1
    }

    fn operators_port(&self) -> u16 {
        self.first_port + 2
    }

    fn peers_port(&self) -> u16 {
        self.first_port + 3
    }

    /// Where other gateways reach this one.
    fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.machine, self.peers_port())
    }

    fn listening_at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.listen.unwrap_or(self.machine), port)
    }

    /// Operators come from the machine itself.
    fn operators(&self) -> SocketAddr {
        let listening = self.listening_at(self.operators_port());
        if listening.ip().is_loopback() {
            return listening;
        }
        SocketAddr::new(Ipv4Addr::LOCALHOST.into(), listening.port())
    }

    fn at_seeds(&self, port: u16) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(*seed, port)).collect()
    }
}
