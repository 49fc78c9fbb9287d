//! Starts of processes: what is refused, and that the error says where to look.

use crate::support::{Finished, LIMIT, Program};
use corktack_server::dev::{Dev, DevSettings};
use rstest::rstest;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use tempfile::TempDir;
use tokio::time::timeout;

/// Settings of a control replica on free ports; `FOLDER` stands for its data folder.
const CONTROL: &str = r#"
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
/// Settings of a proxy on free ports.
const PROXY: &str = r#"
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

/// A settings file in a folder of its own.
struct Settings {
    folder: TempDir,
}

impl Settings {
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

fn assert_refused(finished: &Finished, named: &[&str]) {
    assert_eq!(finished.code, Some(1), "{finished:?}");
    for text in named {
        assert!(finished.errors.contains(text), "{text}: {finished:?}");
    }
}

#[rstest]
#[case::unknown_key("control", CONTROL, "replica = 1", "replicas = 1", &["replicas"])]
#[case::bad_type("control", CONTROL, "replica = 1", "replica = \"one\"", &["replica", "one"])]
#[case::not_member("control", CONTROL, "replica = 1", "replica = 2", &["replica = 2"])]
#[case::open_operators(
    "control", CONTROL, "operators = \"127.0.0.1:0\"", "operators = \"0.0.0.0:0\"",
    &["addresses.operators = 0.0.0.0:0", "operator_token"],
)]
#[case::open_callers(
    "proxy", PROXY, "callers = \"127.0.0.1:0\"", "callers = \"0.0.0.0:0\"",
    &["addresses.callers = 0.0.0.0:0", "scram"],
)]
#[case::scram_without_users(
    "proxy", PROXY, "[control]", "[authentication]\nmode = \"scram\"\n[control]",
    &["authentication.users"],
)]
#[case::unknown_section("proxy", PROXY, "[control]", "[limit]\n[control]", &["limit"])]
#[case::bad_name("proxy", PROXY, "proxy-1", "proxy 1", &["name", "proxy 1"])]
#[actix_rt::test]
async fn bad_settings_name_file_key_and_value(
    #[case] role: &str,
    #[case] text: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] named: &[&str],
) {
    let settings = Settings::new(&text.replacen(from, to, 1));
    let finished = settings.run(role).await;
    assert_refused(&finished, named);
    assert_refused(&finished, &["settings.toml"]);
    // `check` finds the same without a start.
    let path = settings.path();
    let checked = Program::new(&["check", "-f", path.to_str().expect("UTF-8 path")]).run().await;
    assert_eq!(checked.code, Some(1), "{checked:?}");
    assert!(checked.output.contains(named[0]), "{checked:?}");
}

#[rstest]
#[case("control", CONTROL)]
#[case("proxy", PROXY)]
#[actix_rt::test]
async fn a_settings_file_that_is_not_there_is_named(#[case] role: &str, #[case] text: &str) {
    let settings = Settings::new(text);
    std::fs::remove_file(settings.path()).expect("file removed");
    assert_refused(&settings.run(role).await, &["settings.toml"]);
}

#[rstest]
#[case("control", CONTROL, "cell")]
#[case("control", CONTROL, "proxies")]
#[case("control", CONTROL, "operators")]
#[case("proxy", PROXY, "callers")]
#[case("proxy", PROXY, "peers")]
#[case("proxy", PROXY, "telemetry")]
#[actix_rt::test]
async fn a_taken_port_is_named_with_its_setting(
    #[case] role: &str,
    #[case] text: &str,
    #[case] key: &str,
) {
    let taken = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = taken.local_addr().expect("bound address").to_string();
    let from = format!("{key} = \"127.0.0.1:0\"");
    let settings = Settings::new(&text.replacen(&from, &format!("{key} = \"{address}\""), 1));
    let named = format!("addresses.{key} = {address}");
    assert_refused(&settings.run(role).await, &[&named]);
}

#[rstest]
#[case("control", CONTROL)]
#[case("proxy", PROXY)]
#[actix_rt::test]
async fn a_data_folder_that_cannot_be_written_is_named(#[case] role: &str, #[case] text: &str) {
    let settings = Settings::new(text);
    // No user may make a folder below a file.
    let file = settings.folder.path().join("file");
    std::fs::write(&file, "").expect("file written");
    settings.write(text, &file.join("data"));
    assert_refused(&settings.run(role).await, &["data_folder", "file/data"]);
}

#[rstest]
#[case("control", CONTROL, "control-1")]
#[case("proxy", PROXY, "proxy-1")]
#[actix_rt::test]
async fn a_data_folder_in_use_is_named_and_left_alone(
    #[case] role: &str,
    #[case] text: &str,
    #[case] used: &str,
) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let data_folder = Some(folder.path().to_owned());
    let ports = DevSettings { callers_port: 0, operators_port: 0, ..DevSettings::default() };
    let dev = Dev::start(DevSettings { data_folder, ..ports }).await.expect("dev starts");
    let settings = Settings::new(text);
    settings.write(text, &folder.path().join(used));
    assert_refused(&settings.run(role).await, &["in use", used]);
    let path = folder.path().to_str().expect("UTF-8 path");
    let second = ["dev", "--data-folder", path, "--port", "0", "--operators-port", "0"];
    assert_refused(&Program::new(&second).run().await, &["in use"]);
    dev.stop().await;
}

#[actix_rt::test]
async fn an_empty_control_replica_is_refused_without_the_word_of_the_operator() {
    let settings = Settings::new(CONTROL);
    assert_refused(&settings.run("control").await, &["data_folder", "--bootstrap"]);
}

#[actix_rt::test]
async fn dev_starts_again_on_its_data_and_keeps_what_was_accepted() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let start = || {
        let data_folder = Some(folder.path().to_owned());
        let ports = DevSettings { callers_port: 0, operators_port: 0, ..DevSettings::default() };
        Dev::start(DevSettings { data_folder, ..ports })
    };
    let dev = start().await.expect("dev starts");
    let caller = crate::support::caller(&dev, 0).await;
    caller.batch_execute("CREATE TABLE beds (id INT)").await.expect("table made");
    caller.batch_execute("INSERT INTO beds VALUES (1)").await.expect("row inserted");
    drop(caller);
    timeout(LIMIT, dev.stop()).await.expect("dev stops in time");
    let dev = start().await.expect("dev starts again");
    let caller = crate::support::caller(&dev, 1).await;
    assert_eq!(caller.value("SELECT count(*) FROM beds").await, "1");
    dev.stop().await;
}
