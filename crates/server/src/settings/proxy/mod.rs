//! Settings of a proxy.
//!
//! Owns the form of the file and what the command line may set over it.

mod check;
mod sections;

pub use sections::{
    Authentication, AuthenticationMode, ControlConnection, ProxyAddresses, ProxyLimits,
    ProxyTimeouts, ScramUser,
};

use super::error::SettingsError;
use super::file::{parse_file, replace};
use corktack_core::identity::{ClassName, ProxyName, ZoneName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Settings of a proxy, as in its file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Name of the proxy, stable over restarts and unique in the fleet. No default.
    pub name: ProxyName,
    /// Zone it runs in; zones of one region share the text before the first `.`. No default.
    pub zone: ZoneName,
    /// Folder for the last configuration and the written-out event logs. No default.
    pub data_folder: PathBuf,
    /// Priority class of callers whom no binding covers. Default `default`.
    #[serde(default = "default_class")]
    pub default_class: ClassName,
    /// User name on server connections. Default `corktack`.
    #[serde(default = "default_back_end_user")]
    pub back_end_user: String,
    /// Addresses it listens on.
    pub addresses: ProxyAddresses,
    /// How it reaches the control replicas.
    pub control: ControlConnection,
    /// How callers prove who they are.
    #[serde(default)]
    pub authentication: Authentication,
    /// Limits.
    #[serde(default)]
    pub limits: ProxyLimits,
    /// Time-outs.
    #[serde(default)]
    pub timeouts: ProxyTimeouts,
}

/// Class of callers whom no binding covers, unless the file names another.
const DEFAULT_CLASS: &str = "default";

fn default_class() -> ClassName {
    // The constant is a valid name, so the conversion cannot fail; a test holds it so.
    match ClassName::new(DEFAULT_CLASS) {
        Ok(name) => name,
        Err(error) => unreachable!("{DEFAULT_CLASS:?}: {error}"),
    }
}

fn default_back_end_user() -> String {
    "corktack".to_owned()
}

/// What the command line may set over the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProxyOverrides {
    /// Over `name`.
    pub name: Option<ProxyName>,
    /// Over `zone`.
    pub zone: Option<ZoneName>,
    /// Over `data_folder`.
    pub data_folder: Option<PathBuf>,
    /// Over `addresses.callers`.
    pub callers: Option<SocketAddr>,
    /// Over `addresses.peers`.
    pub peers: Option<SocketAddr>,
    /// Over `addresses.telemetry`.
    pub telemetry: Option<SocketAddr>,
}

impl ProxySettings {
    /// Reads a file, applies the overrides and checks every value.
    ///
    /// # Errors
    /// A [`SettingsError`] that names the file, key and value.
    pub fn load(file: &Path, overrides: ProxyOverrides) -> Result<Self, SettingsError> {
        let mut settings: Self = parse_file(file)?;
        settings.override_by(overrides);
        settings.check(file)?;
        Ok(settings)
    }

    fn override_by(&mut self, overrides: ProxyOverrides) {
        replace(&mut self.name, overrides.name);
        replace(&mut self.zone, overrides.zone);
        replace(&mut self.data_folder, overrides.data_folder);
        replace(&mut self.addresses.callers, overrides.callers);
        replace(&mut self.addresses.peers, overrides.peers);
        replace(&mut self.addresses.telemetry, overrides.telemetry);
    }
}
