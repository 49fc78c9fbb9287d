//! Checks that each value of a settings file reaches the part that uses it.

mod support;

use corktack_control::CellStart;
use corktack_core::identity::{Incarnation, ReplicaId};
use corktack_protocol::cell::CellName;
use corktack_server::control::replica_settings;
use corktack_server::proxy::{edge_settings, owner_settings};
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;
use support::{CONTROL, PROXY, load_control, load_proxy};

/// Every key of the section `failover`, in the order of the schema.
const FAILOVER_KEYS: [&str; 15] = [
    "suspicion_ms",
    "probe_interval_ms",
    "probe_ms",
    "unobserved_interval_ms",
    "sweep_interval_ms",
    "resume_wait_ms",
    "adoption_wait_ms",
    "bootstrap_wait_ms",
    "fence_settle_ms",
    "retry_minimum_ms",
    "retry_maximum_ms",
    "answer_ms",
    "cooldown_minimum_ms",
    "cooldown_maximum_ms",
    "quiet_ms",
];

#[test]
fn every_failover_time_reaches_the_control_replica() {
    let lines = FAILOVER_KEYS.iter().zip(2_001..).map(|(key, value)| format!("{key} = {value}\n"));
    let section = format!("{CONTROL}[failover]\n{}", lines.collect::<String>());
    let settings = load_control(&section).expect("accepted settings");
    let replica = replica_settings(settings, PathBuf::from("log"));
    let failover = replica.failover;
    let actual = [
        failover.suspicion,
        failover.probe_interval,
        replica.probe_timeout,
        failover.unobserved_interval,
        failover.sweep_interval,
        failover.resume_wait,
        failover.adoption_wait,
        failover.bootstrap_wait,
        failover.fence_settle,
        failover.retry_minimum,
        failover.retry_maximum,
        failover.answer_timeout,
        failover.cooldown_minimum,
        failover.cooldown_maximum,
        failover.quiet_time,
    ];
    let expected: Vec<Duration> = (2_001..2_016).map(Duration::from_millis).collect();
    assert_eq!(actual.to_vec(), expected);
}

#[test]
fn defaults_without_a_failover_section_equal_those_of_the_control_replica() {
    let settings = load_control(CONTROL).expect("accepted settings");
    let members = settings.members.len();
    let replica = replica_settings(settings, PathBuf::from("log"));
    let start = CellStart::Join(Vec::with_capacity(members));
    let cell = CellName("main".to_owned());
    let default_settings =
        corktack_control::ControlSettings::new(cell, ReplicaId(1), start, "log".into());
    assert_eq!(format!("{:?}", replica.failover), format!("{:?}", default_settings.failover));
    assert_eq!(replica.probe_timeout, default_settings.probe_timeout);
    assert_eq!(replica.back_end_timeout, default_settings.back_end_timeout);
    assert_eq!(replica.watch_changes, default_settings.watch_changes);
    assert_eq!(replica.snapshot_entries, default_settings.snapshot_entries);
}

/// Limits and times with a different number for each key, so that swapped values are noticed.
const PROXY_NUMBERS: &str = "callers = 501\nedge_arbiters = 3\nowner_arbiters = 4\n\
    message_bytes = 2001\nstartup_message_bytes = 2002\n[timeouts]\ndrain_ms = 2003\n\
    authentication_ms = 2004\nrequest_ms = 2005\nprobe_interval_ms = 2006\nprobe_ms = 2007\nmember_silence_ms = 2009\n\
    outcome_retention_s = 2008\n";

#[test]
fn every_limit_and_time_of_a_proxy_reaches_the_part_that_uses_it() {
    let settings = load_proxy(&PROXY.replace("callers = 500", PROXY_NUMBERS));
    let settings = settings.expect("accepted settings");
    let peers = "0.0.0.0:7001".parse().expect("valid literal");
    let edge = edge_settings(&settings, peers, Incarnation(1));
    assert_eq!((edge.connection_limit, edge.arbiters), (501, 3));
    assert_eq!((edge.message_limit, edge.startup_message_limit), (2_001, 2_002));
    let timeouts = [edge.drain_timeout, edge.startup_timeout, edge.request_timeout];
    assert_eq!(timeouts, [2_003, 2_004, 2_005].map(Duration::from_millis));
    assert_eq!(edge.local_owner, Some("127.0.0.1:7001".parse().expect("valid literal")));
    let owner = owner_settings(&settings, Incarnation(1));
    assert_eq!(owner.arbiters, 4);
    assert_eq!(owner.probe_interval, Duration::from_millis(2_006));
    assert_eq!(owner.probe_timeout, Duration::from_millis(2_007));
    assert_eq!(owner.silence_timeout, Duration::from_millis(2_009));
    assert_eq!(owner.outcome_retention, Duration::from_secs(2_008));
    assert_eq!(owner.back_end_user, "corktack");
}

#[rstest]
#[case::configured("peers_own = \"127.0.0.9:7009\"", "10.0.0.1:7001", "127.0.0.9:7009")]
#[case::bound("", "10.0.0.1:7001", "10.0.0.1:7001")]
#[case::all_addresses("", "0.0.0.0:7001", "127.0.0.1:7001")]
#[case::all_ipv6_addresses("", "[::]:7001", "[::1]:7001")]
fn a_proxy_connects_to_its_own_owner_at(
    #[case] line: &str,
    #[case] bound: &str,
    #[case] expected: &str,
) {
    let settings = load_proxy(&PROXY.replace("[control]", &format!("{line}\n[control]")));
    let bound = bound.parse().expect("valid literal");
    let edge = edge_settings(&settings.expect("accepted settings"), bound, Incarnation(1));
    assert_eq!(edge.local_owner, Some(expected.parse().expect("valid literal")));
}
