//! Checks of a proxy's settings.

use super::{AuthenticationMode, ProxySettings};
use crate::settings::checks::Check;
use crate::settings::error::{SettingsError, ValueProblem};
use std::path::Path;

/// Most event loops a role may have. Chosen, not measured; each is a thread.
const ARBITERS_MAXIMUM: u64 = 256;
/// Largest number of callers of one proxy. Chosen, not measured; it refuses values that no machine serves.
const CALLERS_MAXIMUM: u64 = 1_000_000;
/// Largest message of a caller, in bytes; it must fit a frame between proxies.
const MESSAGE_MAXIMUM: u64 = 7 * 1024 * 1024;
/// What to do about an address that others can reach.
const SCRAM_REMEDY: &str = "set authentication.mode = \"scram\" and name users";
/// Largest message of a caller that has not authenticated, in bytes. Chosen, not measured; it bounds the memory
/// that strangers can take.
const STARTUP_MAXIMUM: u64 = 64 * 1024;
/// What makes users count.
const SCRAM_MODE: &str = "authentication.mode = \"scram\"";

impl ProxySettings {
    /// Checks every value; `file` is named in the errors.
    ///
    /// # Errors
    /// The first value that is not allowed.
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
        check.distinct(&[
            ("addresses.callers", self.addresses.callers),
            ("addresses.peers", self.addresses.peers),
            ("addresses.telemetry", self.addresses.telemetry),
        ])?;
        check.port("addresses.peers_announced", self.addresses.peers_announced)?;
        check.port("addresses.peers_own", self.addresses.peers_own)
    }

    fn check_authentication(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let scram = self.authentication.mode == AuthenticationMode::Scram;
        check.authenticated("addresses.callers", self.addresses.callers, scram, SCRAM_REMEDY)?;
        let users = &self.authentication.users;
        if scram && users.is_empty() {
            return Err(check.refuse("authentication.users", "[]", ValueProblem::Empty));
        }
        if let Some(user) = users.first().filter(|_| !scram) {
            // Whoever names users expects that others are kept out.
            let problem = ValueProblem::Needs(SCRAM_MODE);
            return Err(check.refuse("authentication.users.name", &user.name, problem));
        }
        for (place, user) in users.iter().enumerate() {
            if users[..place].iter().any(|other| other.name == user.name) {
                let problem = ValueProblem::Duplicate;
                return Err(check.refuse("authentication.users.name", &user.name, problem));
            }
            check.not_empty("authentication.users.name", &user.name)?;
            if user.password.is_empty() {
                let value = format!("(hidden, of {:?})", user.name);
                let problem = ValueProblem::TooShort(1);
                return Err(check.refuse("authentication.users.password", value, problem));
            }
        }
        Ok(())
    }

    fn check_control(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let control = &self.control;
        check.addresses("control.replicas", &control.replicas)?;
        check.timeouts([
            ("control.heartbeat_interval_ms", control.heartbeat_interval_ms),
            ("control.silence_timeout_ms", control.silence_timeout_ms),
            ("control.connect_timeout_ms", control.connect_timeout_ms),
            ("control.retry_minimum_ms", control.retry_minimum_ms),
            ("control.retry_maximum_ms", control.retry_maximum_ms),
        ])?;
        check.rising(
            ("control.heartbeat_interval_ms", control.heartbeat_interval_ms),
            ("control.silence_timeout_ms", control.silence_timeout_ms),
        )?;
        check.rising(
            ("control.retry_minimum_ms", control.retry_minimum_ms),
            ("control.retry_maximum_ms", control.retry_maximum_ms),
        )
    }

    fn check_limits(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        check.range("limits.callers", self.limits.callers, 1..=CALLERS_MAXIMUM)?;
        check.range("limits.edge_arbiters", self.limits.edge_arbiters, 1..=ARBITERS_MAXIMUM)?;
        check.range("limits.owner_arbiters", self.limits.owner_arbiters, 1..=ARBITERS_MAXIMUM)?;
        check.range("limits.message_bytes", self.limits.message_bytes, 1_024..=MESSAGE_MAXIMUM)?;
        let startup = self.limits.startup_message_bytes;
        check.range("limits.startup_message_bytes", startup, 1_024..=STARTUP_MAXIMUM)?;
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
