//! Checks of a control replica's settings.

use super::ControlSettings;
use crate::settings::checks::Check;
use crate::settings::error::{SettingsError, ValueProblem};
use std::net::SocketAddr;
use std::path::Path;

/// Fewest characters of an operator token. Chosen, not measured; a lower value lets tokens be guessed.
const TOKEN_MINIMUM: usize = 16;
/// What to do about an address that others can reach.
const TOKEN_REMEDY: &str = "set operator_token";

impl ControlSettings {
    /// Checks every value; `file` is named in the errors.
    ///
    /// # Errors
    /// The first value that is not allowed.
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
        check.distinct(&[
            ("addresses.cell", self.addresses.cell),
            ("addresses.proxies", self.addresses.proxies),
            ("addresses.operators", self.addresses.operators),
        ])
    }

    fn check_token(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        if self.operator_token.as_ref().is_some_and(|token| token.len() < TOKEN_MINIMUM) {
            let problem = ValueProblem::TooShort(TOKEN_MINIMUM);
            return Err(check.refuse("operator_token", "(hidden)", problem));
        }
        let token = self.operator_token.is_some();
        check.authenticated("addresses.operators", self.addresses.operators, token, TOKEN_REMEDY)
    }

    fn check_members(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let addresses: Vec<SocketAddr> = self.members.iter().map(|one| one.address).collect();
        check.addresses("members.address", &addresses)?;
        for (place, member) in self.members.iter().enumerate() {
            check.range("members.id", member.id, 1..=u64::MAX)?;
            if self.members[..place].iter().any(|other| other.id == member.id) {
                return Err(check.refuse("members.id", member.id, ValueProblem::Duplicate));
            }
        }
        if !self.join && !self.members.iter().any(|member| member.id == self.replica) {
            return Err(check.refuse("replica", self.replica, ValueProblem::NotMember));
        }
        Ok(())
    }

    fn check_platform(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let Some(platform) = &self.platform else { return Ok(()) };
        check.port("platform.address", Some(platform.address))?;
        if !platform.path.starts_with('/') {
            return Err(check.refuse("platform.path", &platform.path, ValueProblem::NoPath));
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
        check.rising(
            ("timeouts.heartbeat_ms", timeouts.heartbeat_ms),
            ("timeouts.election_ms", timeouts.election_ms),
        )?;
        check.rising(
            ("timeouts.proxy_heartbeat_ms", timeouts.proxy_heartbeat_ms),
            ("timeouts.proxy_silence_ms", timeouts.proxy_silence_ms),
        )
    }
}
