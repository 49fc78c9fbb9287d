//! Settings files: TOML with one schema for each role. Unknown keys are refused, and values are checked at
//! start.
//!
//! Defines the schemas and most defaults. The part that receives a value defines its effect.

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

/// Top-level keys that only a control replica's file has.
const CONTROL_KEYS: [&str; 4] = ["replica", "members", "cell", "join"];
/// Keys of the section `addresses` that only a control replica's file has.
const CONTROL_ADDRESS_KEYS: [&str; 3] = ["cell", "proxies", "operators"];

/// Checks a settings file of either role. One key that only a control replica's file has decides the role,
/// so that a mistyped key is still reported for the right role.
///
/// # Errors
/// Returns a [`SettingsError`] that names the file, key and value.
pub fn check_file(file: &Path) -> Result<(), SettingsError> {
    let keys: toml::Table = parse_file(file)?;
    if is_control_file(&keys) {
        return ControlSettings::load(file, ControlOverrides::default()).map(drop);
    }
    ProxySettings::load(file, ProxyOverrides::default()).map(drop)
}

fn is_control_file(keys: &toml::Table) -> bool {
    let addresses = keys.get("addresses").and_then(toml::Value::as_table);
    CONTROL_KEYS.iter().any(|key| keys.contains_key(*key))
        || addresses.is_some_and(|addresses| {
            CONTROL_ADDRESS_KEYS.iter().any(|key| addresses.contains_key(*key))
        })
}
