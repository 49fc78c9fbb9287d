//! Checks of the values in a control replica's settings.

use super::ControlSettings;
use crate::settings::checks::Check;
use crate::settings::error::{SettingsError, ValueProblem};
use std::net::SocketAddr;
use std::path::Path;

/// Shortest operator token, in bytes. A shorter token can be guessed.
const MIN_TOKEN_LENGTH: usize = 16;
/// Remedy named in the error for an operators' address that other machines can reach.
const TOKEN_REMEDY: &str = "set operator_token";

impl ControlSettings {
    /// Checks every value; the errors name `file`.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] for the first value that is not allowed.
    pub fn check(&self, file: &Path) -> Result<(), SettingsError> {
        let check = Check { file };
        check.not_empty("cell", &self.cell)?;
        check.range("replica", self.replica, 1..=u64::MAX)?;
        self.check_addresses(&check)?;
        self.check_token(&check)?;
        self.check_members(&check)?;
        self.check_limits(&check)?;
        self.check_platform(&check)?;
        self.check_timeouts(&check)?;
        self.failover.check(&check, self.timeouts.back_end_ms)
    }

    fn check_addresses(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        check.distinct_addresses(&[
            ("addresses.cell", self.addresses.cell),
            ("addresses.proxies", self.addresses.proxies),
            ("addresses.operators", self.addresses.operators),
        ])
    }

    fn check_token(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        if self.operator_token.as_ref().is_some_and(|token| token.len() < MIN_TOKEN_LENGTH) {
            let problem = ValueProblem::TooShort(MIN_TOKEN_LENGTH);
            return Err(check.value_error("operator_token", "(hidden)", problem));
        }
        let has_token = self.operator_token.is_some();
        check.loopback_or_authenticated(
            "addresses.operators",
            self.addresses.operators,
            has_token,
            TOKEN_REMEDY,
        )
    }

    fn check_members(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let addresses: Vec<SocketAddr> = self.members.iter().map(|member| member.address).collect();
        check.address_list("members.address", &addresses)?;
        for (index, member) in self.members.iter().enumerate() {
            check.range("members.id", member.id, 1..=u64::MAX)?;
            if self.members[..index].iter().any(|other| other.id == member.id) {
                return Err(check.value_error("members.id", member.id, ValueProblem::Duplicate));
            }
        }
        if !self.join && !self.members.iter().any(|member| member.id == self.replica) {
            return Err(check.value_error("replica", self.replica, ValueProblem::NotMember));
        }
        Ok(())
    }

    fn check_platform(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let Some(platform) = &self.platform else { return Ok(()) };
        check.nonzero_port("platform.address", Some(platform.address))?;
        if !platform.path.starts_with('/') {
            return Err(check.value_error(
                "platform.path",
                &platform.path,
                ValueProblem::InvalidPath,
            ));
        }
        check.timeouts([("platform.poll_interval_ms", platform.poll_interval_ms)])
    }

    fn check_limits(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let limits = &self.limits;
        check.range("limits.snapshot_entries", limits.snapshot_entries, 1..=10_000_000)?;
        check.range("limits.watch_changes", limits.watch_changes, 1..=1_000_000)?;
        check.range("limits.workers", limits.workers, 1..=256)?;
        check.range("limits.event_records", limits.event_records, 1..=1_000_000)
    }

    fn check_timeouts(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let timeouts = &self.timeouts;
        check.timeouts([
            ("timeouts.election_ms", timeouts.election_ms),
            ("timeouts.heartbeat_ms", timeouts.heartbeat_ms),
            ("timeouts.proxy_heartbeat_ms", timeouts.proxy_heartbeat_ms),
            ("timeouts.proxy_silence_ms", timeouts.proxy_silence_ms),
            ("timeouts.request_ms", timeouts.request_ms),
            ("timeouts.back_end_ms", timeouts.back_end_ms),
        ])?;
        check.at_most(
            ("timeouts.heartbeat_ms", timeouts.heartbeat_ms),
            ("timeouts.election_ms", timeouts.election_ms),
        )?;
        check.at_most(
            ("timeouts.proxy_heartbeat_ms", timeouts.proxy_heartbeat_ms),
            ("timeouts.proxy_silence_ms", timeouts.proxy_silence_ms),
        )
    }
}
