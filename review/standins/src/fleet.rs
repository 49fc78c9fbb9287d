//! The processes of a small deployment on loopback addresses, their settings files and signals.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub const CONTROL_PORT: u16 = 8782;
pub const FRONT_PORT: u16 = 8784;
pub const READY_PORT: u16 = 8785;
pub const MEMBER_PORT: u16 = 8080;
pub const AUTHORITY_PORT: u16 = 8783;
const INTERNAL_PORTS: (u16, u16) = (7440, 7455);
const METRICS_PORT: u16 = 9464;

/// Kinds of addresses: the third byte.
const CORE: u8 = 1;
const FRONT: u8 = 2;
const MEMBER: u8 = 3;
const AUTHORITY: u8 = 4;

/// Addresses of one run.
#[derive(Clone, Copy, Debug)]
pub struct Network(u8);

impl Network {
    /// Finds a second byte under which all ports of the run are free.
    pub fn find(cores: u8, fronts: u8, members: u8) -> Option<Self> {
        let start = 20 + (std::process::id() % 200) as u8;
        (0..200_u16).map(|step| Self(20 + ((u16::from(start) + step) % 200) as u8)).find(
            |network| {
                let machines = (0..cores)
                    .map(|n| network.core(n))
                    .chain((0..fronts).map(|n| network.front(n)));
                let ports = [CONTROL_PORT, FRONT_PORT, READY_PORT, METRICS_PORT];
                let inner = INTERNAL_PORTS.0..=INTERNAL_PORTS.1;
                let mut wanted: Vec<SocketAddr> = machines
                    .flat_map(|ip| {
                        ports
                            .into_iter()
                            .chain(inner.clone())
                            .map(move |port| SocketAddr::new(ip, port))
                    })
                    .collect();
                wanted.extend((0..members).map(|n| network.member(n)));
                wanted.push(network.authority());
                wanted.iter().all(|address| TcpListener::bind(address).is_ok())
            },
        )
    }

    fn ip(self, kind: u8, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.0, kind, number + 1).into()
    }

    pub fn core(self, number: u8) -> IpAddr {
        self.ip(CORE, number)
    }

    pub fn front(self, number: u8) -> IpAddr {
        self.ip(FRONT, number)
    }

    pub fn member(self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(MEMBER, number), MEMBER_PORT)
    }

    pub fn authority(self) -> SocketAddr {
        SocketAddr::new(self.ip(AUTHORITY, 0), AUTHORITY_PORT)
    }
}

/// Zones and their regions, as in the site hyttebooking.
pub const ZONES: [(&str, &str); 3] = [("vest-a", "vest"), ("ost-a", "ost"), ("nord-a", "nord")];

/// One process of the deployment.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    child: Child,
}

impl Machine {
    /// Writes the settings file and starts `target/release/corktack-platform ROLE` at the root.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        role: &str,
        settings: &str,
    ) -> std::io::Result<Self> {
        let file = folder.join(format!("{name}.conf"));
        fs::write(&file, settings)?;
        let log =
            File::options().create(true).append(true).open(folder.join(format!("{name}.log")))?;
        let child = Command::new(root.join("target/release/corktack-platform"))
            .arg(role)
            .current_dir(root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CORKTACK_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Sends a signal by the process's own id.
    pub fn signal(&mut self, signal: &str) -> std::io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let command = format!("kill -{signal} {}", self.child.id());
        Command::new("sh").arg("-c").arg(command).status().map(drop)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Folder of the run, removed at the end.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("corktack-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Settings that both roles share; figures of the site hyttebooking.
fn settings(
    network: Network,
    name: &str,
    ip: IpAddr,
    zone: usize,
    seeds: &[u8],
    bootstrap: bool,
) -> String {
    let (zone, region) = ZONES[zone % ZONES.len()];
    let zones: String =
        ZONES.iter().map(|(zone, region)| format!("zones.{zone}={region}\n")).collect();
    let seeds: Vec<String> =
        seeds.iter().map(|n| SocketAddr::new(network.core(*n), CONTROL_PORT).to_string()).collect();
    format!(
        "node_name={name}\nip={ip}\nzone={zone}\nregion={region}\n{zones}\
         internal_port_range={},{}\nseeds={}\nbootstrap={bootstrap}\n\
         fault_tolerance.machines=2\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
         discovery=registry\nentry=virtual_ip\nheartbeat_interval_ms=1200\n\
         contracts=base,drain,config,cost,recover,sql\n\
         bounds.seed_lag_s=3\nbounds.address_reuse_s=2\nbounds.contact_timeout_ms=4000\n\
         bounds.ack_timeout_ms=5000\nbounds.catch_up_s=4\nbounds.drain_timeout_ms=7000\n\
         bounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\n\
         bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=12000\nbounds.recovery_s=12\n\
         bounds.fencing_required=true\nbounds.thaw_slack_ms=300\nconfig_mode=highest\n\
         cloud_api.address={}\ncloud_api.rate_per_s=50.0\ncloud_api.duties=promotion\n\
         cloud_api.duty_per_s=50.0\n",
        INTERNAL_PORTS.0,
        INTERNAL_PORTS.1,
        seeds.join(","),
        network.authority(),
    )
}

/// Folder for the data of a core machine.
pub fn data_folder(folder: &Path, number: u8) -> PathBuf {
    folder.join(format!("core-{number}-data"))
}

pub fn core_settings(
    network: Network,
    number: u8,
    seeds: &[u8],
    bootstrap: bool,
    folder: &Path,
) -> String {
    let name = format!("core-{number}");
    let ip = network.core(number);
    let data = data_folder(folder, number);
    let _ = fs::create_dir_all(&data);
    let common = settings(network, &name, ip, usize::from(number), seeds, bootstrap);
    format!(
        "{common}role=core\nmachine_class=core\nserves=control\nbind_addresses.control={}\n\
         counts_as_loss=true\ndata_directory={}\nlimits.memory_mb=256\nlimits.disk_mb=128\n",
        SocketAddr::new(ip, CONTROL_PORT),
        data.display()
    )
}

pub fn front_settings(network: Network, number: u8, zone: usize, seeds: &[u8]) -> String {
    let name = format!("front-{number}");
    let ip = network.front(number);
    let common = settings(network, &name, ip, zone, seeds, true);
    format!(
        "{common}role=front\nmachine_class=front\nserves=front\nbind_addresses.front={}\n\
         bind_addresses.ready={}\ncounts_as_loss=false\nlimits.memory_mb=260\nlimits.disk_mb=0\n",
        SocketAddr::new(ip, FRONT_PORT),
        SocketAddr::new(ip, READY_PORT)
    )
}

/// Makes one HTTP call; returns the status and the body.
pub fn http(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Some((status, body.to_owned()))
}
