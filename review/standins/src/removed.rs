//! A core machine stands still for some seconds while another is replaced, and much later two disks are lost.
//!
//! Rules CONFIG and LOST: the configuration that was acknowledged can be read back after a final fault that
//! takes no more disks than `fault_tolerance` (2 machines) allows.
//!
//! `TROUBLE=0`: nothing is disturbed. `TROUBLE=final`: only the two disks are lost.

use crate::fleet::{CONTROL_PORT, Folder, Machine, Network, core_settings, data_folder, http};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Core machines at the start; the successor has the next number.
const CORES: u8 = 5;
const SUCCESSOR: u8 = CORES;
const SEEDS: [u8; 3] = [0, 1, 2];
/// The machine that stands still, and the one that is gone for good.
const FROZEN: u8 = 0;
const REPLACED: u8 = 2;
/// The machines whose disks are lost at the end.
const WIPED: [u8; 2] = [3, SUCCESSOR];
/// Without a replacement, the second of them is the machine that would have been replaced.
const WIPED_UNREPLACED: [u8; 2] = [3, REPLACED];
const CALM: Duration = Duration::from_secs(8);
const FREEZE: Duration = Duration::from_millis(7_500);
const REPLACED_AT: Duration = Duration::from_millis(300);
const SUCCESSOR_AT: Duration = Duration::from_millis(2_300);
/// Time from the beginning of the disruption to the final fault: `catch_up_s` is 4 s.
const FINAL_AT: Duration = Duration::from_secs(26);
const DOWN: Duration = Duration::from_secs(1);
/// `recovery_s` is 12 s, `contact_timeout_ms` 4 s.
const READ_BACK: Duration = Duration::from_secs(30);

type Error = Box<dyn std::error::Error>;

struct Run {
    network: Network,
    began: Instant,
    record: String,
}

impl Run {
    fn note(&mut self, text: &str) {
        let _ = writeln!(self.record, "{:7.3} s  {text}", self.began.elapsed().as_secs_f64());
    }

    fn wait_until(&self, at: Instant) {
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }

    /// Sends a configuration to one core after the other until it is acknowledged.
    fn put(&mut self, version: u64, cores: &[u8], limit: Duration) -> Result<(), Error> {
        let since = Instant::now();
        let body = configuration(version);
        while since.elapsed() < limit {
            for core in cores {
                let address = SocketAddr::new(self.network.core(*core), CONTROL_PORT);
                let answered =
                    http(address, "PUT", "/v1/configuration", &body).map(|(status, _)| status);
                self.note(&format!("PUT version {version} at core-{core}: {answered:?}"));
                if answered == Some(200) {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(300));
        }
        Err(format!("version {version} was not acknowledged").into())
    }

    /// Reads the configuration at all cores until one gives the version; reports whether one did.
    fn read_back(&mut self, version: u64, cores: &[u8]) -> bool {
        let since = Instant::now();
        let wanted = format!("\"version\":{version},");
        while since.elapsed() < READ_BACK {
            for core in cores {
                let address = SocketAddr::new(self.network.core(*core), CONTROL_PORT);
                let answered = http(address, "GET", "/v1/configuration", "");
                let is_wanted = answered
                    .as_ref()
                    .is_some_and(|(status, body)| *status == 200 && body.contains(&wanted));
                let status = answered.map(|(status, _)| status);
                self.note(&format!(
                    "GET at core-{core}: {status:?}, version {version}: {is_wanted}"
                ));
                if is_wanted {
                    return true;
                }
            }
            thread::sleep(Duration::from_secs(1));
        }
        false
    }
}

fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-browse\",\"host\":\"browse1\",\
         \"path_prefix\":\"/\",\"kind\":\"bounded\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\
         \"priority\":2,\"service\":\"huts7a\",\"max_attempts\":2,\"max_staleness_ms\":1500}}],\
         \"services\":[{{\"name\":\"huts7a\",\"health_path\":\"/health\",\"max_connections\":50,\
         \"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\
         \"transaction_idle_ms\":3000}}}}"
    )
}

/// Plays the scenario; returns 1 if the configuration could not be read back, else 0.
pub fn play(root: &Path, record: &Path, trouble: &str) -> Result<usize, Error> {
    let network = Network::find(CORES + 1, 0, 0).ok_or("no free addresses")?;
    let folder = Folder::create()?;
    let start = |core: u8, seeds: &[u8], bootstrap: bool| {
        let text = core_settings(network, core, seeds, bootstrap, &folder.0);
        Machine::start(root, &folder.0, &format!("core-{core}"), "core", &text)
    };
    let mut run = Run { network, began: Instant::now(), record: String::new() };
    let mut machines = Vec::new();
    for core in 0..CORES {
        machines.push(start(core, &SEEDS, true)?);
    }
    run.note("five core machines start");
    let mut cores: Vec<u8> = (0..CORES).collect();
    run.put(3, &cores, Duration::from_secs(20))?;
    thread::sleep(CALM);

    let disrupted = Instant::now();
    let is_replaced = trouble.is_empty();
    if is_replaced {
        machines[usize::from(FROZEN)].signal("STOP")?;
        run.note("core-0 stands still (SIGSTOP)");
        run.wait_until(disrupted + REPLACED_AT);
        machines[usize::from(REPLACED)].kill();
        run.note("core-2 is gone for good (SIGKILL)");
        run.wait_until(disrupted + SUCCESSOR_AT);
        cores.retain(|core| *core != REPLACED);
        cores.push(SUCCESSOR);
        machines.push(start(SUCCESSOR, &[1, 3, 4], false)?);
        run.note("core-5, its successor, starts at another address with an empty disk");
        run.wait_until(disrupted + FREEZE);
        machines[usize::from(FROZEN)].signal("CONT")?;
        run.note("core-0 wakes (SIGCONT)");
    }
    run.wait_until(disrupted + FINAL_AT);
    run.put(4, &cores, Duration::from_secs(10))?;
    if trouble != "0" {
        let wiped = if is_replaced { WIPED } else { WIPED_UNREPLACED };
        for core in wiped {
            machines[usize::from(core)].kill();
        }
        for core in wiped {
            std::fs::remove_dir_all(data_folder(&folder.0, core))?;
        }
        run.note(&format!(
            "core-{} and core-{} are killed and lose their disks",
            wiped[0], wiped[1]
        ));
        thread::sleep(DOWN);
        for core in wiped {
            machines[usize::from(core)] = start(core, &[0, 1, 4], false)?;
        }
        run.note("they start again, each at its address with an empty disk");
    }
    let is_there = run.read_back(4, &cores);
    for core in &cores {
        if machines[usize::from(*core)].has_ended() {
            std::fs::write(record, &run.record)?;
            return Err(format!("core-{core} ended by itself").into());
        }
    }
    run.note(if is_there {
        "held: version 4, which was acknowledged, was read back"
    } else {
        "BROKEN: version 4 was acknowledged and does not come"
    });
    std::fs::write(record, &run.record)?;
    Ok(usize::from(!is_there))
}
