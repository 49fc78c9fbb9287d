//! The files under `examples/` are valid and show the default values, and every settings key stands in an
//! example and in the operators' page.

use corktack_server::settings::control::{ControlLimits, ControlTimeouts};
use corktack_server::settings::proxy::{ControlConnection, ProxyLimits, ProxyTimeouts};
use corktack_server::settings::{
    ControlOverrides, ControlSettings, FailoverTimes, ProxyOverrides, ProxySettings, SettingsError,
};
use rstest::rstest;
use std::path::{Path, PathBuf};
use std::process::Command;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn example_path(name: &str) -> PathBuf {
    workspace_root().join("examples").join(name)
}

/// Runs `corktack check` on an example and returns its exit code and standard output.
fn run_check(path: &Path) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_corktack"));
    let output = command.arg("check").arg("-f").arg(path).output().expect("the program runs");
    (output.status.code(), String::from_utf8(output.stdout).expect("UTF-8 output"))
}

#[rstest]
#[case("settings", "0 manifests and 2 settings files checked, 0 errors")]
#[case("settings/control.toml", "0 manifests and 1 settings files checked, 0 errors")]
#[case("settings/proxy.toml", "0 manifests and 1 settings files checked, 0 errors")]
#[case("huts", "settings files checked, 0 errors")]
#[case("carte", "settings files checked, 0 errors")]
fn an_example_passes_the_check(#[case] name: &str, #[case] expected: &str) {
    let (code, output) = run_check(&example_path(name));
    assert_eq!(code, Some(0), "{output}");
    assert!(output.contains(expected), "{output}");
}

#[rstest]
#[case("huts")]
#[case("carte")]
fn an_example_has_every_kind(#[case] name: &str) {
    let manifests = corktack_server::manifest::load(&example_path(name)).expect("valid manifests");
    let mut kinds: Vec<_> = manifests.iter().map(|manifest| manifest.spec.kind()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    assert_eq!(kinds.len(), 3, "{kinds:?}");
}

#[test]
fn the_examples_show_the_defaults() {
    let file = example_path("settings/control.toml");
    let control = ControlSettings::load(&file, ControlOverrides::default()).expect("accepted");
    assert_eq!(control.limits, ControlLimits::default());
    assert_eq!(control.timeouts, ControlTimeouts::default());
    assert_eq!(control.failover, FailoverTimes::default());
    let file = example_path("settings/proxy.toml");
    let proxy = ProxySettings::load(&file, ProxyOverrides::default()).expect("accepted");
    assert_eq!(proxy.limits, ProxyLimits::default());
    assert_eq!(proxy.timeouts, ProxyTimeouts::default());
    assert_eq!(proxy.control, ControlConnection::new(proxy.control.replicas.clone()));
}

/// A key that no section has; the parser's error lists the keys that the section has.
const UNKNOWN_KEY: &str = "no_such_key = 1\n";

/// Returns the keys of one section from the error of the parser for an unknown key.
fn section_keys(role: &str, section: &str) -> Vec<String> {
    let header = match section {
        "" => String::new(),
        list if LIST_SECTIONS.contains(&list) => format!("[[{list}]]\n"),
        table => format!("[{table}]\n"),
    };
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("settings.toml");
    std::fs::write(&file, format!("{header}{UNKNOWN_KEY}")).expect("file written");
    let error = match role {
        "control" => ControlSettings::load(&file, ControlOverrides::default()).err(),
        _ => ProxySettings::load(&file, ProxyOverrides::default()).err(),
    };
    let Some(SettingsError::Form { reason, .. }) = &error else { panic!("{error:?}") };
    assert!(reason.contains("unknown field `no_such_key`"), "{section}: {reason}");
    let keys = reason.split('`').skip(3).step_by(2);
    keys.map(str::to_owned).collect()
}

/// Sections that are arrays of tables.
const LIST_SECTIONS: [&str; 2] = ["members", "authentication.users"];

#[rstest]
#[case("control", &["", "addresses", "members", "platform", "limits", "timeouts", "failover"])]
#[case(
    "proxy",
    &["", "addresses", "control", "authentication", "authentication.users", "limits", "timeouts"]
)]
fn every_key_is_shown_in_an_example_and_described(#[case] role: &str, #[case] sections: &[&str]) {
    let pages =
        std::fs::read_to_string(workspace_root().join("docs/OPERATIONS.md")).expect("the page");
    let example = example_path(&format!("settings/{role}.toml"));
    let example = std::fs::read_to_string(example).expect("the example");
    for section in sections {
        let keys = section_keys(role, section);
        assert!(keys.len() > 1, "{section}: {keys:?}");
        for key in keys {
            let path = if section.is_empty() { key.clone() } else { format!("{section}.{key}") };
            let row = format!("\n| `{path}` |");
            assert!(pages.contains(&row), "{role}: {path} is not described");
            let shown = example.lines().any(|line| {
                let line = line.trim_start_matches(['#', ' ', '[']);
                line.starts_with(&format!("{key} =")) || line.starts_with(&format!("{path}]"))
            });
            assert!(shown, "{role}: {path} is not in the example");
        }
    }
}
