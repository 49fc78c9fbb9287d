//! A cell of control replicas: its changes, its token, and a replica that stops.

use crate::support::{Finished, Program, program};
use corktack_server::control::{Bootstrap, ControlProcess, start};
use corktack_server::dev::{Dev, DevSettings};
use corktack_server::settings::{ControlOverrides, ControlSettings};
use serde_json::Value;
use std::path::Path;

async fn start_three() -> Dev {
    let ports = DevSettings { callers_port: 0, operators_port: 0, ..DevSettings::default() };
    Dev::start(DevSettings { control_replicas: 3, ..ports }).await.expect("dev starts")
}

async fn cell(dev: &Dev, arguments: &[&str]) -> Finished {
    let servers: Vec<String> =
        dev.ready().operators.iter().map(|address| format!("http://{address}")).collect();
    let servers = servers.join(",");
    Program::new(&[&["cell"], arguments].concat()).variable("CORKTACK_SERVER", &servers).run().await
}

async fn members(dev: &Dev) -> Vec<(u64, bool)> {
    let status = program(dev, &["-o", "json", "status"]).run().await;
    assert_eq!(status.code, Some(0), "{status:?}");
    let status: Value = serde_json::from_str(&status.output).expect("JSON");
    let members = status["members"].as_array().expect("a list").iter();
    let member = |member: &Value| (member["id"].as_u64(), member["voter"].as_bool());
    let whole = |(id, voter): (Option<u64>, Option<bool>)| {
        (id.expect("a number"), voter.expect("yes or no"))
    };
    members.map(member).map(whole).collect()
}

#[actix_rt::test]
async fn a_replica_is_replaced_one_change_at_a_time() {
    let dev = start_three().await;
    assert_eq!(members(&dev).await, [(1, true), (2, true), (3, true)]);
    let twice = cell(&dev, &["add-learner", "3", "127.0.0.1:1"]).await;
    assert_eq!(twice.code, Some(3), "{twice:?}");
    let added = cell(&dev, &["add-learner", "4", "127.0.0.1:1"]).await;
    assert_eq!(added.code, Some(0), "{added:?}");
    assert!(added.output.contains("replica 4 added"), "{added:?}");
    // It answers nobody, so it has not caught up.
    let early = cell(&dev, &["promote", "4"]).await;
    assert_eq!(early.code, Some(3), "{early:?}");
    assert!(early.output.contains("conflict"), "{early:?}");
    let removed = cell(&dev, &["remove", "3"]).await;
    assert_eq!(removed.code, Some(0), "{removed:?}");
    assert_eq!(members(&dev).await, [(1, true), (2, true), (4, false)]);
    let unknown = cell(&dev, &["remove", "9"]).await;
    assert_eq!(unknown.code, Some(3), "{unknown:?}");
    dev.stop().await;
}

const TOKEN: &str = "a token of the operators";

fn start_with_token(folder: &Path) -> ControlProcess {
    let text = format!(
        "replica = 1\ndata_folder = \"{}\"\noperator_token = \"{TOKEN}\"\n[addresses]\n\
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
    let control = start_with_token(folder.path());
    let server = format!("http://{}", control.addresses().operators);
    let get = |arguments: &[&str]| {
        Program::new(&[&["--server", &server], arguments, &["get", "class"]].concat())
    };
    for refused in [get(&[]), get(&["--token", "another token of others"])] {
        let refused = refused.run().await;
        assert_eq!(refused.code, Some(1), "{refused:?}");
        assert!(refused.errors.contains("bearer token"), "{refused:?}");
        assert!(!refused.errors.contains(TOKEN), "{refused:?}");
    }
    for let_in in [get(&["--token", TOKEN]), get(&[]).variable("CORKTACK_TOKEN", TOKEN)] {
        let let_in = let_in.run().await;
        assert_eq!(let_in.code, Some(0), "{let_in:?}");
    }
    control.stop().await;
}
