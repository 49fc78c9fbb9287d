//! The checks that both roles' settings share. Each names the file, key and value in its error.

use super::error::{SettingsError, SettingsValueError, ValueProblem};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// Largest time-out, in milliseconds: an hour. Chosen, not measured; it refuses values in another unit.
const TIMEOUT_MAXIMUM_MS: u64 = 3_600_000;

/// Checks the values of one file, and names it in the errors.
pub(super) struct Check<'a> {
    /// The file.
    pub(super) file: &'a Path,
}

impl Check<'_> {
    /// The error for one value.
    pub(super) fn refuse(
        &self,
        key: &'static str,
        value: impl ToString,
        problem: ValueProblem,
    ) -> SettingsError {
        let (file, value) = (self.file.to_owned(), value.to_string());
        SettingsError::Value(Box::new(SettingsValueError { file, key, value, problem }))
    }

    /// Refuses a number outside its range.
    pub(super) fn range(
        &self,
        key: &'static str,
        value: impl Into<u64>,
        allowed: RangeInclusive<u64>,
    ) -> Result<(), SettingsError> {
        let value = value.into();
        if allowed.contains(&value) {
            return Ok(());
        }
        Err(self.refuse(key, value, ValueProblem::Range(allowed)))
    }

    /// Refuses time-outs in milliseconds that are zero or too long, the first of them first.
    pub(super) fn timeouts(
        &self,
        timeouts: impl IntoIterator<Item = (&'static str, u32)>,
    ) -> Result<(), SettingsError> {
        let mut timeouts = timeouts.into_iter();
        timeouts.try_for_each(|(key, value)| self.range(key, value, 1..=TIMEOUT_MAXIMUM_MS))
    }

    /// Refuses a value that is above the larger one.
    pub(super) fn rising(
        &self,
        (key, value): (&'static str, u32),
        (limit_key, limit): (&'static str, u32),
    ) -> Result<(), SettingsError> {
        if value > limit {
            return Err(self.refuse(key, value, ValueProblem::Above(limit_key)));
        }
        Ok(())
    }

    /// Refuses an empty text.
    pub(super) fn not_empty(&self, key: &'static str, text: &str) -> Result<(), SettingsError> {
        if text.is_empty() {
            return Err(self.refuse(key, "\"\"", ValueProblem::EmptyText));
        }
        Ok(())
    }

    /// Refuses an address without a port, where one is given.
    pub(super) fn port(
        &self,
        key: &'static str,
        address: Option<SocketAddr>,
    ) -> Result<(), SettingsError> {
        match address.filter(|address| address.port() == 0) {
            Some(address) => Err(self.refuse(key, address, ValueProblem::NoPort)),
            None => Ok(()),
        }
    }

    /// Refuses an address that others can reach, unless callers prove who they are.
    pub(super) fn authenticated(
        &self,
        key: &'static str,
        address: SocketAddr,
        authenticated: bool,
        remedy: &'static str,
    ) -> Result<(), SettingsError> {
        if authenticated || address.ip().is_loopback() {
            return Ok(());
        }
        Err(self.refuse(key, address, ValueProblem::Unauthenticated(remedy)))
    }

    /// Refuses two listeners on one address. Port 0 is never the same twice.
    pub(super) fn distinct(
        &self,
        listeners: &[(&'static str, SocketAddr)],
    ) -> Result<(), SettingsError> {
        for (place, (key, address)) in listeners.iter().enumerate() {
            let earlier = listeners[..place].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = earlier.filter(|_| address.port() != 0) {
                return Err(self.refuse(key, address, ValueProblem::SameAddress(other)));
            }
        }
        Ok(())
    }

    /// Refuses an empty list and one with an entry twice.
    pub(super) fn addresses(
        &self,
        key: &'static str,
        addresses: &[SocketAddr],
    ) -> Result<(), SettingsError> {
        if addresses.is_empty() {
            return Err(self.refuse(key, "[]", ValueProblem::Empty));
        }
        for (place, address) in addresses.iter().enumerate() {
            if address.port() == 0 {
                return Err(self.refuse(key, address, ValueProblem::NoPort));
            }
            if addresses[..place].contains(address) {
                return Err(self.refuse(key, address, ValueProblem::Duplicate));
            }
        }
        Ok(())
    }
}
