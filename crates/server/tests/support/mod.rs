//! Minimal settings files of both roles, and functions that load them.
#![allow(dead_code, reason = "each test file uses its own part")]

use corktack_server::settings::{
    ControlOverrides, ControlSettings, ProxyOverrides, ProxySettings, SettingsError,
};
use std::path::PathBuf;
use tempfile::TempDir;

/// Settings file of a proxy; tests replace parts of the text.
pub const PROXY: &str = r#"
name = "proxy-1"
zone = "amba.a"
data_folder = "/var/lib/corktack"
[addresses]
callers = "127.0.0.1:6432"
peers = "127.0.0.1:7001"
telemetry = "127.0.0.1:9101"
[control]
replicas = ["127.0.0.1:7101", "127.0.0.1:7102"]
[authentication]
mode = "trust"
[limits]
callers = 500
"#;

/// Settings file of a control replica; tests replace parts of the text.
pub const CONTROL: &str = r#"
replica = 1
data_folder = "/var/lib/corktack"
[addresses]
cell = "127.0.0.1:7100"
proxies = "127.0.0.1:7101"
operators = "127.0.0.1:7102"
[[members]]
id = 1
address = "127.0.0.1:7100"
"#;

/// Writes a settings file with this text; the file exists as long as the returned folder.
pub fn settings_file(text: &str) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, text).expect("file written");
    (folder, path)
}

pub fn load_proxy(text: &str) -> Result<ProxySettings, SettingsError> {
    ProxySettings::load(&settings_file(text).1, ProxyOverrides::default())
}

pub fn load_control(text: &str) -> Result<ControlSettings, SettingsError> {
    ControlSettings::load(&settings_file(text).1, ControlOverrides::default())
}
