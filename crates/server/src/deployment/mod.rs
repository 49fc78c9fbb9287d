//! The processes of a deployment whose back ends register themselves and whose configuration is one document.
//!
//! Such a process is configured only with its own machine, a few seeds and the bounds that the deployment
//! must keep. This module derives the addresses; `start` starts the parts of a process, and `settings` and
//! `bounds` hold their timers.

mod bounds;
mod gateway;
mod member_calls;
mod settings;
mod start;

pub use bounds::DeploymentBounds;
pub use gateway::RunningGateway;

use crate::listeners::ListenError;
use crate::watch_client::WatchError;
use corktack_clients::ProcessResources;
use corktack_control::ControlError;
use corktack_core::identity::{NameError, ZoneName};
use corktack_gateway::GatewayError;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Reasons why a process of a deployment could not start.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// The name of the machine is not a valid name.
    #[error("machine name or zone")]
    Name(#[from] NameError),
    /// An address could not be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The control replica could not start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The watch of control could not start.
    #[error(transparent)]
    Watch(#[from] WatchError),
    /// The gateway could not start.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// The machine has no data folder, and the role needs one.
    #[error("the role needs a data folder")]
    NoDataFolder,
}

impl DeploymentError {
    /// Reports whether the start failed only because the disk is full.
    pub(crate) fn is_disk_full(&self) -> bool {
        matches!(self, Self::Control(error) if error.is_disk_full())
    }
}

/// Configuration of a process of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the machine; its gateway uses it as its proxy name.
    pub name: String,
    /// Address at which other processes reach the machine.
    pub machine: IpAddr,
    /// Address on which the process listens for other processes, where it differs from `machine`, for
    /// example behind a relay.
    pub listen: Option<IpAddr>,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// First of the four consecutive ports for connections between processes; the same on all machines.
    pub first_port: u16,
    /// Addresses of machines with control replicas.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole deployment starts for the first time.
    pub bootstrap: bool,
    /// Data folder, on machines that have a disk.
    pub data_folder: Option<PathBuf>,
    /// Memory and descriptors of the process.
    pub resources: ProcessResources,
    /// Bounds that the deployment must keep.
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

    /// Returns the address at which other gateways reach this one.
    fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.machine, self.peers_port())
    }

    fn listen_address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.listen.unwrap_or(self.machine), port)
    }

    /// Returns the address of the operators' interface, always a loopback address: operators connect from
    /// the machine itself.
    fn operator_address(&self) -> SocketAddr {
        let address = self.listen_address(self.operators_port());
        if address.ip().is_loopback() {
            return address;
        }
        SocketAddr::new(Ipv4Addr::LOCALHOST.into(), address.port())
    }

    fn seed_addresses(&self, port: u16) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(*seed, port)).collect()
    }
}
