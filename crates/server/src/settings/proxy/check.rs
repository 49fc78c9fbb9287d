//! Checks of the values in a proxy's settings.

use super::{AuthenticationMode, ProxySettings};
use crate::settings::checks::Check;
use crate::settings::error::{SettingsError, ValueProblem};
use std::path::Path;

/// Most event loops that the edge or the owner may have; each event loop is a thread.
const MAX_ARBITERS: u64 = 256;
/// Most callers of one proxy. Refuses numbers that no machine can serve.
const MAX_CALLERS: u64 = 1_000_000;
/// Largest value of `limits.message_bytes`; a message must fit into a frame between proxies.
const MAX_MESSAGE_BYTES: u64 = 7 * 1024 * 1024;
/// Remedy named in the error for a callers' address that other machines can reach.
const SCRAM_REMEDY: &str = "set authentication.mode = \"scram\" and name users";
/// Largest value of `limits.startup_message_bytes`. Bounds the memory that callers can use before they have
/// authenticated.
const MAX_STARTUP_MESSAGE_BYTES: u64 = 64 * 1024;
/// Setting without which listed users have no effect.
const SCRAM_MODE_SETTING: &str = "authentication.mode = \"scram\"";

impl ProxySettings {
    /// Checks every value; the errors name `file`.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] for the first value that is not allowed.
    pub fn check(&self, file: &Path) -> Result<(), SettingsError> {
        let check = Check { file };
        check.not_empty("back_end_user", &self.back_end_user)?;
        self.check_addresses(&check)?;
        self.check_authentication(&check)?;
        self.check_control(&check)?;
        self.check_limits(&check)?;
        self.check_timeouts(&check)
    }

    fn check_addresses(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        check.distinct_addresses(&[
            ("addresses.callers", self.addresses.callers),
            ("addresses.peers", self.addresses.peers),
            ("addresses.telemetry", self.addresses.telemetry),
        ])?;
        check.nonzero_port("addresses.peers_announced", self.addresses.peers_announced)?;
        check.nonzero_port("addresses.peers_own", self.addresses.peers_own)
    }

    fn check_authentication(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let scram = self.authentication.mode == AuthenticationMode::Scram;
        check.loopback_or_authenticated(
            "addresses.callers",
            self.addresses.callers,
            scram,
            SCRAM_REMEDY,
        )?;
        let users = &self.authentication.users;
        if scram && users.is_empty() {
            return Err(check.value_error("authentication.users", "[]", ValueProblem::EmptyList));
        }
        if let Some(user) = users.first().filter(|_| !scram) {
            // A file that lists users expects all other users to be refused, which `trust` does not do.
            let problem = ValueProblem::RequiresSetting(SCRAM_MODE_SETTING);
            return Err(check.value_error("authentication.users.name", &user.name, problem));
        }
        for (index, user) in users.iter().enumerate() {
            if users[..index].iter().any(|other| other.name == user.name) {
                let problem = ValueProblem::Duplicate;
                return Err(check.value_error("authentication.users.name", &user.name, problem));
            }
            check.not_empty("authentication.users.name", &user.name)?;
            if user.password.is_empty() {
                let value = format!("(hidden, of {:?})", user.name);
                let problem = ValueProblem::TooShort(1);
                return Err(check.value_error("authentication.users.password", value, problem));
            }
        }
        Ok(())
    }

    fn check_control(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let control = &self.control;
        check.address_list("control.replicas", &control.replicas)?;
        check.timeouts([
            ("control.heartbeat_interval_ms", control.heartbeat_interval_ms),
            ("control.silence_timeout_ms", control.silence_timeout_ms),
            ("control.connect_timeout_ms", control.connect_timeout_ms),
            ("control.retry_minimum_ms", control.retry_minimum_ms),
            ("control.retry_maximum_ms", control.retry_maximum_ms),
        ])?;
        check.at_most(
            ("control.heartbeat_interval_ms", control.heartbeat_interval_ms),
            ("control.silence_timeout_ms", control.silence_timeout_ms),
        )?;
        check.at_most(
            ("control.retry_minimum_ms", control.retry_minimum_ms),
            ("control.retry_maximum_ms", control.retry_maximum_ms),
        )
    }

    fn check_limits(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        check.range("limits.callers", self.limits.callers, 1..=MAX_CALLERS)?;
        check.range("limits.edge_arbiters", self.limits.edge_arbiters, 1..=MAX_ARBITERS)?;
        check.range("limits.owner_arbiters", self.limits.owner_arbiters, 1..=MAX_ARBITERS)?;
        check.range(
            "limits.message_bytes",
            self.limits.message_bytes,
            1_024..=MAX_MESSAGE_BYTES,
        )?;
        let startup = self.limits.startup_message_bytes;
        check.range("limits.startup_message_bytes", startup, 1_024..=MAX_STARTUP_MESSAGE_BYTES)?;
        check.range("limits.event_records", self.limits.event_records, 1..=1_000_000)
    }

    fn check_timeouts(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        check.timeouts([
            ("timeouts.startup_ms", self.timeouts.startup_ms),
            ("timeouts.handover_ms", self.timeouts.handover_ms),
            ("timeouts.drain_ms", self.timeouts.drain_ms),
            ("timeouts.authentication_ms", self.timeouts.authentication_ms),
            ("timeouts.request_ms", self.timeouts.request_ms),
            ("timeouts.probe_interval_ms", self.timeouts.probe_interval_ms),
            ("timeouts.probe_ms", self.timeouts.probe_ms),
            ("timeouts.member_silence_ms", self.timeouts.member_silence_ms),
        ])?;
        let retention = self.timeouts.outcome_retention_s;
        check.range("timeouts.outcome_retention_s", retention, 1..=u64::from(u32::MAX))
    }
}
