//! The project's own programs as processes on loopback addresses, the operator and the platform.

use crate::members::Group;
use crate::net::{call, draw, text_field, HttpRequest, Record};
use std::collections::HashMap;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const CONTROL_PORT: u16 = 8782;
pub const FRONT_PORT: u16 = 8784;
pub const READY_PORT: u16 = 8785;
pub const MEMBER_PORT: u16 = 8080;
pub const PLATFORM_PORT: u16 = 8783;
const INTERNAL_PORTS: (u16, u16) = (7440, 7455);
const ZONES: [(&str, &str); 3] = [("vest-a", "vest"), ("ost-a", "ost"), ("nord-a", "nord")];

/// Time that a member serves on after it was acknowledged as leaving, as the huts' sheet has it.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(7_000);
/// Time from SIGTERM until the platform kills a process.
pub const GRACE: Duration = Duration::from_secs(6);
/// Time for which machines must be undisturbed to be in touch.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(4_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Node {
    Core(u8),
    Front(u8),
    Member(u8),
    Platform,
}

impl Node {
    pub fn name(self) -> String {
        match self {
            Self::Core(number) => format!("core-{number}"),
            Self::Front(number) => format!("front-{number}"),
            Self::Member(number) => format!("member-{number}"),
            Self::Platform => "platform".to_owned(),
        }
    }

    pub fn zone(self) -> (&'static str, &'static str) {
        match self {
            Self::Core(number) | Self::Front(number) | Self::Member(number) => {
                ZONES[number as usize % ZONES.len()]
            }
            Self::Platform => ZONES[0],
        }
    }
}

pub struct Fleet {
    root: PathBuf,
    folder: PathBuf,
    network: u8,
    pub cores: u8,
    pub fronts: u8,
    pub record: Record,
    children: Mutex<HashMap<String, Child>>,
}

impl Fleet {
    /// Finds a free network of loopback addresses; starts nothing.
    pub fn prepare(root: &Path, folder: &Path, record: Record, cores: u8, fronts: u8) -> Option<Self> {
        let network = (0..60).map(|_| 20 + draw(200) as u8).find(|network| is_free(*network))?;
        let children = Mutex::default();
        let (root, folder) = (root.to_owned(), folder.to_owned());
        Some(Self { root, folder, network, cores, fronts, record, children })
    }

    pub fn address(&self, node: Node, port: u16) -> SocketAddr {
        let (third, fourth) = match node {
            Node::Core(number) => (1, number + 1),
            Node::Front(number) => (2, number + 1),
            Node::Member(number) => (3, number + 1),
            Node::Platform => (4, 1),
        };
        let ip = Ipv4Addr::new(127, self.network, third, fourth);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    fn settings(&self, node: Node) -> String {
        let (zone, region) = node.zone();
        let ip = self.address(node, 0).ip();
        let (class, serves) = match node {
            Node::Front(_) => ("front", "front"),
            _ => ("core", "control"),
        };
        let mut text = format!(
            "node_name={}\nrole={class}\nmachine_class={class}\nserves={serves}\nip={ip}\nzone={zone}\nregion={region}\n",
            node.name()
        );
        for (zone, region) in ZONES {
            text += &format!("zones.{zone}={region}\n");
        }
        if class == "front" {
            text += &format!("bind_addresses.front={}\n", self.address(node, FRONT_PORT));
            text += &format!("bind_addresses.ready={}\n", self.address(node, READY_PORT));
            text += "counts_as_loss=false\nlimits.disk_mb=0\n";
        } else {
            let data = self.folder.join(format!("{}-data", node.name()));
            text += &format!("bind_addresses.control={}\n", self.address(node, CONTROL_PORT));
            text += &format!("data_directory={}\n", data.display());
            text += "counts_as_loss=true\nlimits.disk_mb=128\n";
        }
        let seeds = (0..self.cores.min(3)).map(|core| self.address(Node::Core(core), CONTROL_PORT));
        let seeds: Vec<String> = seeds.map(|seed| seed.to_string()).collect();
        text + &format!(
            "internal_port_range={},{}\nseeds={}\nbootstrap=true\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=256\nlimits.file_descriptors=4096\n\
             limits.link_mbps=1000.0\ndiscovery=registry\nentry=virtual_ip\nheartbeat_interval_ms=1200\n\
             contracts=base,drain,config,cost,recover,sql\nfault_tolerance.machines=2\n\
             fault_tolerance.zones=0\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\n\
             bounds.address_reuse_s=2\nbounds.contact_timeout_ms=4000\nbounds.ack_timeout_ms=5000\n\
             bounds.catch_up_s=4\nbounds.drain_timeout_ms=7000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\n\
             bounds.max_stretch_ms=12000\nbounds.recovery_s=12\nbounds.fencing_required=true\n\
             bounds.thaw_slack_ms=300\nconfig_mode=highest\ncloud_api.address={}\n\
             cloud_api.rate_per_s=50.0\ncloud_api.duties=promotion\ncloud_api.duty_per_s=50.0\n",
            INTERNAL_PORTS.0,
            INTERNAL_PORTS.1,
            seeds.join(","),
            self.address(Node::Platform, PLATFORM_PORT),
        )
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&self, node: Node) -> std::io::Result<()> {
        let name = node.name();
        let settings = self.folder.join(format!("{name}.conf"));
        std::fs::write(&settings, self.settings(node))?;
        std::fs::create_dir_all(self.folder.join(format!("{name}-data")))?;
        let log = std::fs::File::create(self.folder.join(format!("{name}.log")))?;
        let role = if matches!(node, Node::Front(_)) { "front" } else { "core" };
        let mut command = Command::new(self.root.join("target/release/corktack-platform"));
        command.arg(role).current_dir(&self.root).env_clear();
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        command.env("CORKTACK_SETTINGS", &settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        self.record.line(format!("{name} starts as process {}", child.id()));
        self.children.lock().unwrap().insert(name, child);
        Ok(())
    }

    pub fn start_all(&self) -> std::io::Result<()> {
        (0..self.cores).try_for_each(|number| self.start(Node::Core(number)))?;
        (0..self.fronts).try_for_each(|number| self.start(Node::Front(number)))
    }

    /// Sends a signal to a process that this run started and that has not ended.
    pub fn signal(&self, node: Node, signal: &str) -> bool {
        let mut children = self.children.lock().unwrap();
        let Some(child) = children.get_mut(&node.name()) else { return false };
        if !matches!(child.try_wait(), Ok(None)) {
            return false;
        }
        let command = format!("kill -{signal} {}", child.id());
        Command::new("sh").args(["-c", &command]).status().is_ok_and(|status| status.success())
    }

    pub fn has_ended(&self, node: Node) -> bool {
        let mut children = self.children.lock().unwrap();
        children.get_mut(&node.name()).is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Ends all processes that this run started, and starts no more.
    pub fn end_all(&self) {
        for child in self.children.lock().unwrap().values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Names of processes that have ended.
    pub fn ended(&self) -> Vec<String> {
        let mut children = self.children.lock().unwrap();
        let ended = children
            .iter_mut()
            .filter_map(|(name, child)| (!matches!(child.try_wait(), Ok(None))).then(|| name.clone()));
        ended.collect()
    }

    pub fn any_core(&self) -> SocketAddr {
        self.address(Node::Core(draw(self.cores as usize) as u8), CONTROL_PORT)
    }

    /// The operator: sends a configuration until it is acknowledged.
    pub fn put_configuration(&self, body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut pause = 100;
        while Instant::now() < until {
            let at = self.any_core();
            match call(at, "PUT", "/v1/configuration", body, Duration::from_secs(1)) {
                Some((200, _)) => {
                    self.record.line(format!("configuration acknowledged by {at}"));
                    return true;
                }
                Some((status @ 400..=499, text)) => {
                    self.record.line(format!("configuration refused by {at}: {status} {text}"));
                    return false;
                }
                _ => std::thread::sleep(Duration::from_millis(pause)),
            }
            pause = (pause * 2).min(800);
        }
        false
    }

    pub fn is_ready(&self, front: u8) -> bool {
        let at = self.address(Node::Front(front), READY_PORT);
        matches!(call(at, "GET", "/v1/readiness", "", Duration::from_millis(500)), Some((200, _)))
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if (0..self.fronts).all(|front| self.is_ready(front)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

fn is_free(network: u8) -> bool {
    let places = [
        (1, 1, CONTROL_PORT),
        (1, 1, INTERNAL_PORTS.0),
        (2, 1, FRONT_PORT),
        (2, 1, READY_PORT),
        (3, 1, MEMBER_PORT),
        (4, 1, PLATFORM_PORT),
    ];
    places.iter().all(|(third, fourth, port)| {
        TcpListener::bind((Ipv4Addr::new(127, network, *third, *fourth), *port)).is_ok()
    })
}

/// A route of the configuration.
pub struct Route {
    pub host: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub priority: u32,
}

pub fn configuration(version: u64, service: &str, routes: &[Route], sync_replicas: u32) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let staleness = match route.kind {
                "bounded" => ",\"max_staleness_ms\":1500",
                "read_your_writes" => ",\"max_staleness_ms\":2500",
                _ => "",
            };
            format!(
                "{{\"name\":\"r-{0}\",\"host\":\"{0}\",\"path_prefix\":\"/\",\"kind\":\"{1}\",\
                 \"timeout_ms\":{2},\"target_latency_ms\":{3},\"priority\":{4},\"service\":\"{service}\",\
                 \"max_attempts\":2{staleness}}}",
                route.host, route.kind, route.timeout_ms, route.target_ms, route.priority
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{service}\",\
         \"health_path\":\"/health\",\"max_connections\":50,\"protocol\":\"h1\",\"tls\":false,\
         \"sync_replicas\":{sync_replicas}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\
         \"transaction_idle_ms\":3000}}}}",
        routes.join(",")
    )
}

/// The platform: carries out promotions, and refuses a fence below one already seen.
pub fn serve_platform(fleet: &Fleet, group: Arc<Group>) -> std::io::Result<()> {
    let listener = TcpListener::bind(fleet.address(Node::Platform, PLATFORM_PORT))?;
    let record = fleet.record.clone();
    let newest = Arc::new(Mutex::new(0_u64));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (group, record, newest) = (Arc::clone(&group), record.clone(), Arc::clone(&newest));
            std::thread::spawn(move || {
                let mut stream = stream;
                while let Some(request) = HttpRequest::read(&stream) {
                    let status = promote(&group, &record, &newest, &request);
                    let answer = format!("HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n");
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

fn promote(group: &Arc<Group>, record: &Record, newest: &Mutex<u64>, request: &HttpRequest) -> u16 {
    let id = text_field(&request.body, "id").unwrap_or_default();
    let holder = request.header("duty-holder");
    let Ok(fence) = request.header("fencing-token").parse::<u64>() else { return 400 };
    if !request.line.starts_with("POST /promotion ") {
        return 404;
    }
    {
        let mut newest = newest.lock().unwrap();
        if fence < *newest {
            record.line(format!("platform: {holder} orders {id}, fence {fence}: 409, {newest} was seen"));
            return 409;
        }
        *newest = fence;
    }
    let status = if group.begin_promotion(&id) { 200 } else { 409 };
    record.line(format!("platform: {holder} orders promotion of {id}, fence {fence}: {status}"));
    status
}
