//! Starts of processes: a start that must fail is refused with an error that names the file, key and value,
//! and `dev` keeps its data over a restart.

use crate::support::{Finished, Program, TEST_TIMEOUT};
use corktack_server::dev::{Dev, DevSettings};
use rstest::rstest;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use tempfile::TempDir;
use tokio::time::timeout;

/// Settings of a control replica on free ports; `FOLDER` is replaced by its data folder.
const CONTROL_SETTINGS: &str = r#"
replica = 1
data_folder = "FOLDER"
[addresses]
cell = "127.0.0.1:0"
proxies = "127.0.0.1:0"
operators = "127.0.0.1:0"
[[members]]
id = 1
address = "127.0.0.1:7100"
"#;
/// Settings of a proxy on free ports; `FOLDER` is replaced by its data folder.
const PROXY_SETTINGS: &str = r#"
name = "proxy-1"
zone = "amba.a"
data_folder = "FOLDER"
[addresses]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
telemetry = "127.0.0.1:0"
[control]
replicas = ["127.0.0.1:7200"]
"#;

/// A settings file in a temporary folder.
struct SettingsFile {
    folder: TempDir,
}

impl SettingsFile {
    fn new(text: &str) -> Self {
        let folder = tempfile::tempdir().expect("temporary folder");
        let data = folder.path().join("data");
        let settings = Self { folder };
        settings.write(text, &data);
        settings
    }

    fn write(&self, text: &str, data: &Path) {
        let text = text.replace("FOLDER", data.to_str().expect("UTF-8 path"));
        std::fs::write(self.path(), text).expect("file written");
    }

    fn path(&self) -> PathBuf {
        self.folder.path().join("settings.toml")
    }

    async fn run(&self, role: &str) -> Finished {
        let path = self.path();
        Program::new(&[role, "--settings", path.to_str().expect("UTF-8 path")]).run().await
    }
}

fn assert_refused(finished: &Finished, expected_texts: &[&str]) {
    assert_eq!(finished.code, Some(1), "{finished:?}");
    for text in expected_texts {
        assert!(finished.stderr.contains(text), "{text}: {finished:?}");
    }
}

#[rstest]
#[case::unknown_key("control", CONTROL_SETTINGS, "replica = 1", "replicas = 1", &["replicas"])]
#[case::bad_type(
    "control", CONTROL_SETTINGS, "replica = 1", "replica = \"one\"", &["replica", "one"],
)]
#[case::not_member("control", CONTROL_SETTINGS, "replica = 1", "replica = 2", &["replica = 2"])]
#[case::open_operators(
    "control", CONTROL_SETTINGS, "operators = \"127.0.0.1:0\"", "operators = \"0.0.0.0:0\"",
    &["addresses.operators = 0.0.0.0:0", "operator_token"],
)]
#[case::open_callers(
    "proxy", PROXY_SETTINGS, "callers = \"127.0.0.1:0\"", "callers = \"0.0.0.0:0\"",
    &["addresses.callers = 0.0.0.0:0", "scram"],
)]
#[case::scram_without_users(
    "proxy", PROXY_SETTINGS, "[control]", "[authentication]\nmode = \"scram\"\n[control]",
    &["authentication.users"],
)]
#[case::unknown_section("proxy", PROXY_SETTINGS, "[control]", "[limit]\n[control]", &["limit"])]
#[case::bad_name("proxy", PROXY_SETTINGS, "proxy-1", "proxy 1", &["name", "proxy 1"])]
#[actix_rt::test]
async fn invalid_settings_are_refused_with_file_key_and_value(
    #[case] role: &str,
    #[case] text: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected_texts: &[&str],
) {
    let settings = SettingsFile::new(&text.replacen(from, to, 1));
    let finished = settings.run(role).await;
    assert_refused(&finished, expected_texts);
    assert_refused(&finished, &["settings.toml"]);
    // `corktack check` finds the same error without starting a process.
    let path = settings.path();
    let checked = Program::new(&["check", "-f", path.to_str().expect("UTF-8 path")]).run().await;
    assert_eq!(checked.code, Some(1), "{checked:?}");
    assert!(checked.stdout.contains(expected_texts[0]), "{checked:?}");
}

#[rstest]
#[case("control", CONTROL_SETTINGS)]
#[case("proxy", PROXY_SETTINGS)]
#[actix_rt::test]
async fn a_missing_settings_file_is_named(#[case] role: &str, #[case] text: &str) {
    let settings = SettingsFile::new(text);
    std::fs::remove_file(settings.path()).expect("file removed");
    assert_refused(&settings.run(role).await, &["settings.toml"]);
}

#[rstest]
#[case("control", CONTROL_SETTINGS, "cell")]
#[case("control", CONTROL_SETTINGS, "proxies")]
#[case("control", CONTROL_SETTINGS, "operators")]
#[case("proxy", PROXY_SETTINGS, "callers")]
#[case("proxy", PROXY_SETTINGS, "peers")]
#[case("proxy", PROXY_SETTINGS, "telemetry")]
#[actix_rt::test]
async fn a_taken_port_is_named_with_its_setting(
    #[case] role: &str,
    #[case] text: &str,
    #[case] key: &str,
) {
    let taken = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = taken.local_addr().expect("bound address").to_string();
    let from = format!("{key} = \"127.0.0.1:0\"");
    let settings = SettingsFile::new(&text.replacen(&from, &format!("{key} = \"{address}\""), 1));
    let expected_text = format!("addresses.{key} = {address}");
    assert_refused(&settings.run(role).await, &[&expected_text]);
}

#[rstest]
#[case("control", CONTROL_SETTINGS)]
#[case("proxy", PROXY_SETTINGS)]
#[actix_rt::test]
async fn a_data_folder_that_cannot_be_written_is_named(#[case] role: &str, #[case] text: &str) {
    let settings = SettingsFile::new(text);
    // Not even root can create a folder below a file.
    let file = settings.folder.path().join("file");
    std::fs::write(&file, "").expect("file written");
    settings.write(text, &file.join("data"));
    assert_refused(&settings.run(role).await, &["data_folder", "file/data"]);
}

#[rstest]
#[case("control", CONTROL_SETTINGS, "control-1")]
#[case("proxy", PROXY_SETTINGS, "proxy-1")]
#[actix_rt::test]
async fn a_data_folder_in_use_is_named_and_refused(
    #[case] role: &str,
    #[case] text: &str,
    #[case] used_folder: &str,
) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let data_folder = Some(folder.path().to_owned());
    let free_ports = DevSettings { callers_port: 0, operators_port: 0, ..DevSettings::default() };
    let dev = Dev::start(DevSettings { data_folder, ..free_ports }).await.expect("dev starts");
    let settings = SettingsFile::new(text);
    settings.write(text, &folder.path().join(used_folder));
    assert_refused(&settings.run(role).await, &["in use", used_folder]);
    let path = folder.path().to_str().expect("UTF-8 path");
    let second_dev = ["dev", "--data-folder", path, "--port", "0", "--operators-port", "0"];
    assert_refused(&Program::new(&second_dev).run().await, &["in use"]);
    dev.stop().await;
}

#[actix_rt::test]
async fn an_empty_control_replica_does_not_start_without_bootstrap() {
    let settings = SettingsFile::new(CONTROL_SETTINGS);
    assert_refused(&settings.run("control").await, &["data_folder", "--bootstrap"]);
}

#[actix_rt::test]
async fn dev_restarts_on_its_data_folder_and_keeps_committed_rows() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let start = || {
        let data_folder = Some(folder.path().to_owned());
        let free_ports =
            DevSettings { callers_port: 0, operators_port: 0, ..DevSettings::default() };
        Dev::start(DevSettings { data_folder, ..free_ports })
    };
    let dev = start().await.expect("dev starts");
    let caller = crate::support::connect_caller(&dev, 0).await;
    caller.batch_execute("CREATE TABLE beds (id INT)").await.expect("table made");
    caller.batch_execute("INSERT INTO beds VALUES (1)").await.expect("row inserted");
    drop(caller);
    timeout(TEST_TIMEOUT, dev.stop()).await.expect("dev stops in time");
    let dev = start().await.expect("dev starts again");
    let caller = crate::support::connect_caller(&dev, 1).await;
    assert_eq!(caller.query_value("SELECT count(*) FROM beds").await, "1");
    dev.stop().await;
}
