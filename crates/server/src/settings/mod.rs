//! Settings files: TOML, one form a role, unknown keys refused, values checked at start.
//!
//! Owns the forms of the files and their defaults. What a value does is decided by the part that takes it.

mod checks;
pub mod control;
mod error;
pub mod failover;
mod file;
pub mod proxy;

pub use control::{ControlOverrides, ControlSettings};
pub use error::{SettingsError, SettingsValueError, ValueProblem};
pub use failover::FailoverTimes;
pub use file::millis;
pub use proxy::{ProxyOverrides, ProxySettings};

use file::parse_file;
use std::path::Path;

/// Keys that only a control replica's file has.
const CONTROL_KEYS: [&str; 4] = ["replica", "members", "cell", "join"];
/// The same inside its section `addresses`.
const CONTROL_ADDRESSES: [&str; 3] = ["cell", "proxies", "operators"];

/// Checks a settings file of either role. Its keys tell the role, and one of them is enough,
/// so that a mistyped key is reported against the right role.
///
/// # Errors
/// A [`SettingsError`] that names the file, key and value.
pub fn check_file(file: &Path) -> Result<(), SettingsError> {
    let keys: toml::Table = parse_file(file)?;
    if is_control(&keys) {
        return ControlSettings::load(file, ControlOverrides::default()).map(drop);
    }
    ProxySettings::load(file, ProxyOverrides::default()).map(drop)
}

fn is_control(keys: &toml::Table) -> bool {
    let addresses = keys.get("addresses").and_then(toml::Value::as_table);
    CONTROL_KEYS.iter().any(|key| keys.contains_key(*key))
        || addresses.is_some_and(|addresses| {
            CONTROL_ADDRESSES.iter().any(|key| addresses.contains_key(*key))
        })
}
