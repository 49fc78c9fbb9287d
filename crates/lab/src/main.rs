//! `corktack-lab`: runs load and failover experiments on whole fleets on this machine's loopback interface.

use corktack_lab::experiment::failover::{FailoverSettings, Fault, run_failovers};
use corktack_lab::experiment::profile_load::{ProfileLoadSettings, run_profile};
use corktack_lab::profile::Profile;
use eyre::eyre;
use std::path::{Path, PathBuf};
use std::time::Duration;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs fleets of corktack on loopback and measures them.
        cmd corktack-lab {
            /// Runs a profile's load through a fleet, beside callers straight to the primary.
            cmd load {
                /// Profile: carte or huts; both when absent.
                optional --profile name: String
                /// Seconds of arrivals.
                optional --seconds seconds: u64
                /// Factor on the profile's arrivals.
                optional --rate factor: f64
                /// Seed of arrivals and choices.
                optional --seed seed: u64
                /// Milliseconds between an owner's probes of a member.
                optional --probe-interval millis: u32
                /// Folder of the processes.
                optional --folder folder: PathBuf
            }
            /// Measures the failover gap.
            cmd failover {
                /// How the primary is lost: kill, freeze or cut.
                required --fault fault: String
                /// Kill the leading control replica in the same moment.
                optional --with-control-leader
                /// Profile: carte or huts.
                optional --profile name: String
                /// Runs, each on a fresh fleet.
                optional --runs count: u32
                /// Milliseconds between an owner's probes of a member.
                optional --probe-interval millis: u32
                /// Folder of the processes.
                optional --folder folder: PathBuf
            }
        }
    }
}

fn main() -> eyre::Result<()> {
    env_logger::init();
    let flags = flags::CorktackLab::from_env_or_exit();
    actix_rt::System::new().block_on(async {
        match flags.subcommand {
            flags::CorktackLabCmd::Load(load) => run_load(load).await,
            flags::CorktackLabCmd::Failover(failover) => run_failover(failover).await,
        }
    })
}

async fn run_load(flags: flags::Load) -> eyre::Result<()> {
    let profiles = match &flags.profile {
        Some(name) => vec![parse_profile(name)?],
        None => vec![Profile::carte(), Profile::huts()],
    };
    for profile in profiles {
        let settings = ProfileLoadSettings {
            profile,
            duration: Duration::from_secs(flags.seconds.unwrap_or(20)),
            rate: flags.rate.unwrap_or(1.0),
            seed: flags.seed.unwrap_or(1),
            probe_interval_ms: flags.probe_interval,
            folder: create_folder(flags.folder.as_deref())?,
        };
        run_profile(&settings).await?;
    }
    Ok(())
}

async fn run_failover(flags: flags::Failover) -> eyre::Result<()> {
    let settings = FailoverSettings {
        profile: parse_profile(flags.profile.as_deref().unwrap_or("carte"))?,
        fault: flags.fault.parse::<Fault>()?,
        with_control_leader: flags.with_control_leader,
        runs: flags.runs.unwrap_or(5),
        probe_interval_ms: flags.probe_interval,
        folder: create_folder(flags.folder.as_deref())?,
    };
    run_failovers(&settings).await
}

fn parse_profile(name: &str) -> eyre::Result<Profile> {
    Profile::by_name(name).ok_or_else(|| eyre!("unknown profile {name:?}: expected carte or huts"))
}

/// Creates the requested folder, or one in the system's folder for temporary files.
fn create_folder(requested: Option<&Path>) -> eyre::Result<PathBuf> {
    let temporary = || std::env::temp_dir().join(format!("corktack-lab-{}", std::process::id()));
    let folder = requested.map_or_else(temporary, Path::to_owned);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
