//! Settings of a proxy: the schema of the file, and the values that the command line may override.

mod check;
mod sections;

pub use sections::{
    Authentication, AuthenticationMode, ControlConnection, ProxyAddresses, ProxyLimits,
    ProxyTimeouts, ScramUser,
};

use super::error::SettingsError;
use super::file::{apply_override, parse_file};
use corktack_core::identity::{ClassName, ProxyName, ZoneName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Settings of a proxy, as its settings file has them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Name of the proxy, stable over restarts and unique in the fleet. No default.
    pub name: ProxyName,
    /// Zone that the proxy runs in; zones of one region share the text before the first `.`. No
    /// default.
    pub zone: ZoneName,
    /// Folder for the last configuration and for files of the event log. No default.
    pub data_folder: PathBuf,
    /// Priority class of callers that no binding matches. Default `default`.
    #[serde(default = "default_class")]
    pub default_class: ClassName,
    /// User name for connections to back ends. Default `corktack`.
    #[serde(default = "default_back_end_user")]
    pub back_end_user: String,
    /// Addresses that the proxy listens on.
    pub addresses: ProxyAddresses,
    /// Connection to the control replicas.
    pub control: ControlConnection,
    /// Authentication of callers.
    #[serde(default)]
    pub authentication: Authentication,
    /// Limits on callers, threads and memory.
    #[serde(default)]
    pub limits: ProxyLimits,
    /// Time-outs and the retention of outcomes.
    #[serde(default)]
    pub timeouts: ProxyTimeouts,
}

/// Default of `default_class`, the class of callers that no binding matches.
const DEFAULT_CLASS: &str = "default";

fn default_class() -> ClassName {
    // The constant is a valid name, so the conversion cannot fail; a test checks this.
    match ClassName::new(DEFAULT_CLASS) {
        Ok(name) => name,
        Err(error) => unreachable!("{DEFAULT_CLASS:?}: {error}"),
    }
}

fn default_back_end_user() -> String {
    "corktack".to_owned()
}

/// Values of the command line that override those of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProxyOverrides {
    /// Overrides `name`.
    pub name: Option<ProxyName>,
    /// Overrides `zone`.
    pub zone: Option<ZoneName>,
    /// Overrides `data_folder`.
    pub data_folder: Option<PathBuf>,
    /// Overrides `addresses.callers`.
    pub callers: Option<SocketAddr>,
    /// Overrides `addresses.peers`.
    pub peers: Option<SocketAddr>,
    /// Overrides `addresses.telemetry`.
    pub telemetry: Option<SocketAddr>,
}

impl ProxySettings {
    /// Reads a file, applies the overrides and checks every value.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] that names the file, key and value.
    pub fn load(file: &Path, overrides: ProxyOverrides) -> Result<Self, SettingsError> {
        let mut settings: Self = parse_file(file)?;
        settings.apply_overrides(overrides);
        settings.check(file)?;
        Ok(settings)
    }

    fn apply_overrides(&mut self, overrides: ProxyOverrides) {
        apply_override(&mut self.name, overrides.name);
        apply_override(&mut self.zone, overrides.zone);
        apply_override(&mut self.data_folder, overrides.data_folder);
        apply_override(&mut self.addresses.callers, overrides.callers);
        apply_override(&mut self.addresses.peers, overrides.peers);
        apply_override(&mut self.addresses.telemetry, overrides.telemetry);
    }
}
