//! Commands on a cell of control replicas: changes of its members, and the operators' token.

use crate::support::{Finished, Program, program};
use corktack_server::control::{Bootstrap, ControlProcess, start};
use corktack_server::dev::{Dev, DevSettings};
use corktack_server::settings::{ControlOverrides, ControlSettings};
use serde_json::Value;
use std::path::Path;

async fn start_dev_with_three_replicas() -> Dev {
    let free_ports = DevSettings { callers_port: 0, operators_port: 0, ..DevSettings::default() };
    Dev::start(DevSettings { control_replicas: 3, ..free_ports }).await.expect("dev starts")
}

async fn run_cell(dev: &Dev, arguments: &[&str]) -> Finished {
    let servers: Vec<String> =
        dev.ready().operators.iter().map(|address| format!("http://{address}")).collect();
    let servers = servers.join(",");
    Program::new(&[&["cell"], arguments].concat())
        .env_variable("CORKTACK_SERVER", &servers)
        .run()
        .await
}

async fn read_members(dev: &Dev) -> Vec<(u64, bool)> {
    let status = program(dev, &["-o", "json", "status"]).run().await;
    assert_eq!(status.code, Some(0), "{status:?}");
    let status: Value = serde_json::from_str(&status.stdout).expect("JSON");
    let members = status["members"].as_array().expect("a list").iter();
    let to_member = |member: &Value| (member["id"].as_u64(), member["voter"].as_bool());
    let require_both = |(id, voter): (Option<u64>, Option<bool>)| {
        (id.expect("a number"), voter.expect("yes or no"))
    };
    members.map(to_member).map(require_both).collect()
}

#[actix_rt::test]
async fn a_replica_is_replaced_one_change_at_a_time() {
    let dev = start_dev_with_three_replicas().await;
    assert_eq!(read_members(&dev).await, [(1, true), (2, true), (3, true)]);
    let duplicate = run_cell(&dev, &["add-learner", "3", "127.0.0.1:1"]).await;
    assert_eq!(duplicate.code, Some(3), "{duplicate:?}");
    let added = run_cell(&dev, &["add-learner", "4", "127.0.0.1:1"]).await;
    assert_eq!(added.code, Some(0), "{added:?}");
    assert!(added.stdout.contains("replica 4 added"), "{added:?}");
    // No process runs as replica 4, so the replica cannot have caught up.
    let early = run_cell(&dev, &["promote", "4"]).await;
    assert_eq!(early.code, Some(3), "{early:?}");
    assert!(early.stdout.contains("conflict"), "{early:?}");
    let removed = run_cell(&dev, &["remove", "3"]).await;
    assert_eq!(removed.code, Some(0), "{removed:?}");
    assert_eq!(read_members(&dev).await, [(1, true), (2, true), (4, false)]);
    let unknown = run_cell(&dev, &["remove", "9"]).await;
    assert_eq!(unknown.code, Some(3), "{unknown:?}");
    dev.stop().await;
}

const OPERATOR_TOKEN: &str = "a token of the operators";

fn start_control_with_token(folder: &Path) -> ControlProcess {
    let text = format!(
        "replica = 1\ndata_folder = \"{}\"\noperator_token = \"{OPERATOR_TOKEN}\"\n[addresses]\n\
         cell = \"127.0.0.1:0\"\nproxies = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
         [[members]]\nid = 1\naddress = \"127.0.0.1:1\"\n",
        folder.join("data").display()
    );
    let file = folder.join("control.toml");
    std::fs::write(&file, text).expect("file written");
    let settings = ControlSettings::load(&file, ControlOverrides::default());
    start(settings.expect("valid settings"), Bootstrap::Allow).expect("control starts")
}

#[actix_rt::test]
async fn operators_present_the_token_by_flag_or_variable() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let control = start_control_with_token(folder.path());
    let server = format!("http://{}", control.addresses().operators);
    let get_class = |arguments: &[&str]| {
        Program::new(&[&["--server", &server], arguments, &["get", "class"]].concat())
    };
    for refused in [get_class(&[]), get_class(&["--token", "another token of others"])] {
        let refused = refused.run().await;
        assert_eq!(refused.code, Some(1), "{refused:?}");
        assert!(refused.stderr.contains("bearer token"), "{refused:?}");
        assert!(!refused.stderr.contains(OPERATOR_TOKEN), "{refused:?}");
    }
    for accepted in [
        get_class(&["--token", OPERATOR_TOKEN]),
        get_class(&[]).env_variable("CORKTACK_TOKEN", OPERATOR_TOKEN),
    ] {
        let accepted = accepted.run().await;
        assert_eq!(accepted.code, Some(0), "{accepted:?}");
    }
    control.stop().await;
}
