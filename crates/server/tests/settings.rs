//! Checks which settings files are refused, and that the error names the file, key and value.

mod support;

use corktack_server::listeners::bind;
use corktack_server::settings::{ProxyOverrides, ProxySettings, SettingsError, ValueProblem};
use rstest::rstest;
use std::io::ErrorKind;
use std::path::PathBuf;
use support::{CONTROL, PROXY, load_control, load_proxy, settings_file};

/// A file that lists users expects all other users to be refused, but `trust` accepts every user.
const USERS_WITHOUT_SCRAM: &str =
    "mode = \"trust\"\n[[authentication.users]]\nname = \"app\"\npassword = \"secret\"";
const USER_WITHOUT_PASSWORD: &str =
    "mode = \"scram\"\n[[authentication.users]]\nname = \"app\"\npassword = \"\"";

#[test]
fn command_line_overrides_the_file() {
    let overrides = ProxyOverrides {
        zone: Some("cuyo.b".parse().expect("valid literal")),
        callers: Some("127.0.0.1:5433".parse().expect("valid literal")),
        data_folder: Some("/elsewhere".into()),
        ..ProxyOverrides::default()
    };
    let settings =
        ProxySettings::load(&settings_file(PROXY).1, overrides).expect("accepted settings");
    assert_eq!(settings.zone.as_str(), "cuyo.b");
    assert_eq!(settings.addresses.callers.port(), 5433);
    assert_eq!(settings.data_folder, PathBuf::from("/elsewhere"));
    assert_eq!(settings.limits.callers, 500);
    assert_eq!(settings.limits.edge_arbiters, 2);
}

#[rstest]
#[case("callers = 500", "calers = 500", "calers")]
#[case("callers = 500", "callers = \"many\"", "many")]
#[case("callers = 500", "callers = -1", "-1")]
#[case("mode = \"trust\"", "mode = \"none\"", "none")]
#[case("127.0.0.1:6432", "localhost:6432", "localhost:6432")]
#[case("name = \"proxy-1\"", "name = \"proxy 1\"", "proxy 1")]
fn a_parse_error_names_the_line_with_key_and_value(
    #[case] from: &str,
    #[case] to: &str,
    #[case] named: &str,
) {
    let error = load_proxy(&PROXY.replace(from, to)).expect_err("must be refused");
    let SettingsError::Form { text, .. } = &error else { panic!("{error:?}") };
    assert!(text.contains(named), "{text}");
    assert!(error.to_string().contains("settings.toml"), "{error}");
}

#[rstest]
#[case("callers = 500", "callers = 0", "limits.callers")]
#[case("127.0.0.1:6432", "0.0.0.0:6432", "addresses.callers")]
#[case("127.0.0.1:9101", "127.0.0.1:7001", "addresses.telemetry")]
#[case("\"127.0.0.1:7101\", \"127.0.0.1:7102\"", "", "control.replicas")]
#[case("127.0.0.1:7102", "127.0.0.1:7101", "control.replicas")]
#[case("127.0.0.1:7102", "127.0.0.1:0", "control.replicas")]
#[case("mode = \"trust\"", "mode = \"scram\"", "authentication.users")]
#[case("[limits]\ncallers = 500", "[timeouts]\nhandover_ms = 0", "timeouts.handover_ms")]
#[case("[control]", "[control]\nheartbeat_interval_ms = 4000", "control.heartbeat_interval_ms")]
#[case("[control]", "[control]\nretry_minimum_ms = 3000", "control.retry_minimum_ms")]
#[case("callers = 500", "startup_message_bytes = 10", "limits.startup_message_bytes")]
#[case("[control]", "peers_own = \"127.0.0.1:0\"\n[control]", "addresses.peers_own")]
#[case("[control]", "peers_announced = \"127.0.0.1:0\"\n[control]", "addresses.peers_announced")]
#[case("zone =", "back_end_user = \"\"\nzone =", "back_end_user")]
#[case("mode = \"trust\"", USERS_WITHOUT_SCRAM, "authentication.users.name")]
#[case("mode = \"trust\"", USER_WITHOUT_PASSWORD, "authentication.users.password")]
fn an_invalid_value_names_file_key_and_value(
    #[case] from: &str,
    #[case] to: &str,
    #[case] key: &str,
) {
    let error = load_proxy(&PROXY.replace(from, to)).expect_err("must be refused");
    let SettingsError::Value(value_error) = &error else { panic!("{error:?}") };
    assert_eq!(value_error.key, key);
    let text = error.to_string();
    assert!(
        text.contains("settings.toml") && text.contains(&format!("{key} = {}", value_error.value)),
        "{text}"
    );
}

#[test]
fn a_callers_address_off_loopback_needs_scram_users() {
    let open = PROXY.replace("127.0.0.1:6432", "10.0.0.1:6432");
    let scram = "mode = \"scram\"\n[[authentication.users]]\nname = \"app\"\npassword = \"secret\"";
    let settings = load_proxy(&open.replace("mode = \"trust\"", scram)).expect("accepted settings");
    assert_eq!(settings.authentication.users[0].name, "app");
    assert!(!format!("{settings:?}").contains("secret"));
}

#[test]
fn an_operators_address_off_loopback_needs_a_token() {
    let open = CONTROL.replace("127.0.0.1:7102", "10.0.0.1:7102");
    let error = load_control(&open).expect_err("must be refused");
    let SettingsError::Value(value_error) = &error else { panic!("{error:?}") };
    assert_eq!(value_error.key, "addresses.operators");
    assert!(matches!(value_error.problem, ValueProblem::Unauthenticated(_)), "{error}");
    let token = format!("operator_token = \"0123456789abcdef\"\n{open}");
    assert!(load_control(&token).is_ok());
}

#[rstest]
#[case("replica = 1", "replica = 2", "replica")]
#[case("replica = 1", "replica = 0", "replica")]
#[case("127.0.0.1:7101", "127.0.0.1:7100", "addresses.proxies")]
#[case("replica = 1", "replica = 1\noperator_token = \"short\"", "operator_token")]
fn an_invalid_control_value_names_its_key(#[case] from: &str, #[case] to: &str, #[case] key: &str) {
    let error = load_control(&CONTROL.replacen(from, to, 1)).expect_err("must be refused");
    let SettingsError::Value(value_error) = &error else { panic!("{error:?}") };
    assert_eq!(value_error.key, key);
    assert!(!error.to_string().contains("short\""));
}

#[rstest]
#[case("suspicion_ms = 0", "failover.suspicion_ms")]
#[case("retry_minimum_ms = 5000", "failover.retry_minimum_ms")]
#[case("cooldown_minimum_ms = 70000", "failover.cooldown_minimum_ms")]
#[case("answer_ms = 1000", "failover.answer_ms")]
#[case("probe_ms = 3000", "failover.answer_ms")]
fn an_invalid_failover_time_names_its_key(#[case] line: &str, #[case] key: &str) {
    let error = load_control(&format!("{CONTROL}[failover]\n{line}\n")).expect_err("refused");
    let SettingsError::Value(value_error) = &error else { panic!("{error:?}") };
    assert_eq!(value_error.key, key);
}

#[rstest]
#[case("path = \"machines\"", "platform.path")]
#[case("poll_interval_ms = 0", "platform.poll_interval_ms")]
fn an_invalid_platform_setting_names_its_key(#[case] line: &str, #[case] key: &str) {
    let section = format!("{CONTROL}[platform]\naddress = \"127.0.0.1:8500\"\n{line}\n");
    let error = load_control(&section).expect_err("refused");
    let SettingsError::Value(value_error) = &error else { panic!("{error:?}") };
    assert_eq!(value_error.key, key);
}

#[test]
fn a_joining_replica_need_not_be_a_member() {
    let joining = CONTROL.replacen("replica = 1", "replica = 4\njoin = true", 1);
    assert!(load_control(&joining).is_ok());
}

#[test]
fn a_port_in_use_names_setting_and_address() {
    let first_listener = bind("addresses.callers", "127.0.0.1:0".parse().expect("valid literal"))
        .expect("free port");
    let address = first_listener.local_addr().expect("bound address");
    let error = bind("addresses.callers", address).expect_err("must be refused");
    assert_eq!(error.source.kind(), ErrorKind::AddrInUse);
    assert!(error.to_string().contains(&format!("addresses.callers = {address}")), "{error}");
}
