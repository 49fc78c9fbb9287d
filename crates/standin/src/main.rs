//! Runs one member of a stand-in group.

use corktack_core::identity::{MemberName, NameError};
use corktack_standin::{DEFAULT_CONNECTION_LIMIT, Member, MemberError, MemberSettings, Peer};
use std::net::{AddrParseError, SocketAddr, TcpListener};
use std::path::PathBuf;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one member of a stand-in group until SIGINT or SIGTERM.
        cmd corktack-standin {
            /// Name of the member.
            required --name name: String
            /// Folder of the member's files.
            required --data-folder folder: PathBuf
            /// Address of the PostgreSQL protocol.
            required --listen address: SocketAddr
            /// Address of the replication protocol.
            required --replication address: SocketAddr
            /// Another member, as NAME=ADDRESS of its replication; once for each.
            repeated --peer peer: String
            /// Primary of term 1 if the data folder is fresh.
            optional --initial-primary
            /// Most connections of callers.
            optional --connection-limit count: usize
        }
    }
}

/// Why the program ended early.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    Flags(#[from] xflags::Error),
    #[error(transparent)]
    Name(#[from] NameError),
    #[error("peer {0:?} is not NAME=ADDRESS")]
    Peer(String),
    #[error("peer address: {0}")]
    PeerAddress(#[from] AddrParseError),
    #[error("address {0} cannot be used: {1}")]
    Listen(SocketAddr, #[source] std::io::Error),
    #[error("signals cannot be handled: {0}")]
    Signal(#[source] std::io::Error),
    #[error(transparent)]
    Member(#[from] MemberError),
}

fn main() -> Result<(), ProgramError> {
    env_logger::init();
    let flags = flags::CorktackStandin::from_env()?;
    let member = Member::start(settings(flags)?)?;
    log::info!(address:% = member.postgres_address(); "member serves");
    actix_rt::System::new().block_on(wait_for_signal())?;
    member.stop();
    Ok(())
}

fn settings(flags: flags::CorktackStandin) -> Result<MemberSettings, ProgramError> {
    let name = MemberName::new(flags.name)?;
    let data_folder: PathBuf = flags.data_folder;
    let (postgres, replication) = (bind(flags.listen)?, bind(flags.replication)?);
    let mut settings = MemberSettings::new(name, data_folder, postgres, replication);
    settings.peers = flags.peer.iter().map(|text| peer(text)).collect::<Result<_, _>>()?;
    settings.initial_primary = flags.initial_primary;
    settings.connection_limit = flags.connection_limit.unwrap_or(DEFAULT_CONNECTION_LIMIT);
    Ok(settings)
}

fn bind(address: SocketAddr) -> Result<TcpListener, ProgramError> {
    TcpListener::bind(address).map_err(|error| ProgramError::Listen(address, error))
}

fn peer(text: &str) -> Result<Peer, ProgramError> {
    let (name, address) =
        text.split_once('=').ok_or_else(|| ProgramError::Peer(text.to_owned()))?;
    Ok(Peer { name: MemberName::new(name)?, replication: address.parse()? })
}

async fn wait_for_signal() -> Result<(), ProgramError> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).map_err(ProgramError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(ProgramError::Signal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
