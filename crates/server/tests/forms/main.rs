//! Compares the names that operators rely on with expected files: the keys of settings files, and the metrics
//! of the watch of control.
//!
//! `UPDATE_EXPECT=1` rewrites the expected files after an intended change.

#[path = "../support/mod.rs"]
mod support;

use corktack_server::settings::{ControlSettings, SettingsError};
use corktack_server::telemetry::metrics_text;
use corktack_server::watch_client::WatchMetrics;
use expect_test::expect_file;
use prometheus_client::registry::Registry;
use support::{load_control, load_proxy};

/// Key that no section has; the parser's error lists the keys that the section has.
const UNKNOWN_KEY: &str = "no_such_key = 1\n";
const CONTROL_SECTIONS: [&str; 7] =
    ["", "[addresses]", "[[members]]", "[platform]", "[limits]", "[timeouts]", "[failover]"];
const PROXY_SECTIONS: [&str; 7] = [
    "",
    "[addresses]",
    "[control]",
    "[authentication]",
    "[[authentication.users]]",
    "[limits]",
    "[timeouts]",
];
/// Every key of a control replica's file, each with a different value.
const CONTROL: &str = r#"
cell = "main"
replica = 1
data_folder = "/var/lib/corktack"
join = true
operator_token = "0123456789abcdef"
[addresses]
cell = "127.0.0.1:7100"
proxies = "127.0.0.1:7101"
operators = "127.0.0.1:7102"
[[members]]
id = 1
address = "127.0.0.1:7100"
[platform]
address = "127.0.0.1:8500"
path = "/machines"
poll_interval_ms = 1001
[limits]
snapshot_entries = 2001
watch_changes = 2002
workers = 3
event_records = 2003
[timeouts]
election_ms = 301
heartbeat_ms = 51
proxy_heartbeat_ms = 1002
proxy_silence_ms = 3001
request_ms = 5001
back_end_ms = 1003
[failover]
suspicion_ms = 501
probe_interval_ms = 201
probe_ms = 401
unobserved_interval_ms = 1004
sweep_interval_ms = 10001
resume_wait_ms = 302
adoption_wait_ms = 1005
bootstrap_wait_ms = 3002
fence_settle_ms = 202
retry_minimum_ms = 203
retry_maximum_ms = 3003
answer_ms = 3004
cooldown_minimum_ms = 2004
cooldown_maximum_ms = 60001
quiet_ms = 600001
"#;
/// Every key of a proxy's file, each with a different value.
const PROXY: &str = r#"
name = "proxy-1"
zone = "amba.a"
data_folder = "/var/lib/corktack"
default_class = "silver"
back_end_user = "pooler"
[addresses]
callers = "127.0.0.1:6432"
peers = "127.0.0.1:7001"
peers_announced = "10.0.0.7:7300"
peers_own = "127.0.0.1:7301"
telemetry = "127.0.0.1:9101"
[control]
replicas = ["127.0.0.1:7101", "127.0.0.1:7102"]
heartbeat_interval_ms = 1001
silence_timeout_ms = 3001
connect_timeout_ms = 1002
retry_minimum_ms = 51
retry_maximum_ms = 2001
[authentication]
mode = "scram"
[[authentication.users]]
name = "app"
password = "secret"
[limits]
callers = 501
edge_arbiters = 3
owner_arbiters = 4
message_bytes = 2002
startup_message_bytes = 2003
event_records = 2004
[timeouts]
startup_ms = 2005
handover_ms = 2006
drain_ms = 2007
authentication_ms = 2008
request_ms = 2009
probe_interval_ms = 2010
probe_ms = 2011
member_silence_ms = 2012
outcome_retention_s = 2013
"#;

/// Returns the error for an unknown key in each section; each error lists the keys that the section has.
fn unknown_key_errors<T: std::fmt::Debug>(
    sections: &[&str],
    load: fn(&str) -> Result<T, SettingsError>,
) -> String {
    let unknown_key_error = |section: &&str| match load(&format!("{section}\n{UNKNOWN_KEY}")) {
        Err(SettingsError::Form { line, text, reason, .. }) => {
            format!("{section} line {line}: {text}: {reason}\n")
        }
        other => panic!("{section}: {other:?}"),
    };
    sections.iter().map(unknown_key_error).collect()
}

#[test]
fn a_control_replicas_file_has_the_expected_keys() {
    let settings = load_control(CONTROL).expect("accepted settings");
    let ControlSettings { join, operator_token, platform, limits, timeouts, failover, .. } =
        &settings;
    let errors = unknown_key_errors(&CONTROL_SECTIONS, load_control);
    let text = format!(
        "{errors}{settings:#?}\n{join} {operator_token:?}\n{platform:#?}\n{limits:#?}\n{timeouts:#?}\n{failover:#?}\n"
    );
    expect_file!["./control_settings.txt"].assert_eq(&text);
}

#[test]
fn a_proxys_file_has_the_expected_keys() {
    let settings = load_proxy(PROXY).expect("accepted settings");
    let errors = unknown_key_errors(&PROXY_SECTIONS, load_proxy);
    expect_file!["./proxy_settings.txt"].assert_eq(&format!("{errors}{settings:#?}\n"));
}

#[test]
fn the_watch_of_control_has_the_expected_metrics() {
    let mut registry = Registry::default();
    WatchMetrics::register(&mut registry);
    expect_file!["./watch_metrics.txt"].assert_eq(&metrics_text(&registry));
}
