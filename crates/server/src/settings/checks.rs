//! Checks of values that the settings of both roles share. Each error names the file, key and value.

use super::error::{SettingsError, SettingsValueError, ValueProblem};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// Longest time-out in milliseconds: 1 hour. Refuses values that were given in another unit.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Checks values of one settings file, which its errors name.
pub(super) struct Check<'a> {
    /// Path of the settings file.
    pub(super) file: &'a Path,
}

impl Check<'_> {
    /// Builds the error for one value.
    pub(super) fn value_error(
        &self,
        key: &'static str,
        value: impl ToString,
        problem: ValueProblem,
    ) -> SettingsError {
        let (file, value) = (self.file.to_owned(), value.to_string());
        SettingsError::Value(Box::new(SettingsValueError { file, key, value, problem }))
    }

    /// Refuses a number outside the allowed range.
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
        Err(self.value_error(key, value, ValueProblem::OutOfRange(allowed)))
    }

    /// Refuses the first time-out, in milliseconds, that is zero or longer than [`MAX_TIMEOUT_MS`].
    pub(super) fn timeouts(
        &self,
        timeouts: impl IntoIterator<Item = (&'static str, u32)>,
    ) -> Result<(), SettingsError> {
        let mut timeouts = timeouts.into_iter();
        timeouts.try_for_each(|(key, value)| self.range(key, value, 1..=MAX_TIMEOUT_MS))
    }

    /// Refuses a value that is larger than the value of the limiting key.
    pub(super) fn at_most(
        &self,
        (key, value): (&'static str, u32),
        (limit_key, limit): (&'static str, u32),
    ) -> Result<(), SettingsError> {
        if value > limit {
            return Err(self.value_error(key, value, ValueProblem::Above(limit_key)));
        }
        Ok(())
    }

    /// Refuses an empty text.
    pub(super) fn not_empty(&self, key: &'static str, text: &str) -> Result<(), SettingsError> {
        if text.is_empty() {
            return Err(self.value_error(key, "\"\"", ValueProblem::EmptyText));
        }
        Ok(())
    }

    /// Refuses an address with port 0; an absent address is allowed.
    pub(super) fn nonzero_port(
        &self,
        key: &'static str,
        address: Option<SocketAddr>,
    ) -> Result<(), SettingsError> {
        match address.filter(|address| address.port() == 0) {
            Some(address) => Err(self.value_error(key, address, ValueProblem::NoPort)),
            None => Ok(()),
        }
    }

    /// Refuses an address that other machines can reach, unless clients must authenticate.
    pub(super) fn loopback_or_authenticated(
        &self,
        key: &'static str,
        address: SocketAddr,
        authenticated: bool,
        remedy: &'static str,
    ) -> Result<(), SettingsError> {
        if authenticated || address.ip().is_loopback() {
            return Ok(());
        }
        Err(self.value_error(key, address, ValueProblem::Unauthenticated(remedy)))
    }

    /// Refuses two listeners on one address. Addresses with port 0 are allowed twice, as each gets a free
    /// port.
    pub(super) fn distinct_addresses(
        &self,
        listeners: &[(&'static str, SocketAddr)],
    ) -> Result<(), SettingsError> {
        for (index, (key, address)) in listeners.iter().enumerate() {
            let earlier = listeners[..index].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = earlier.filter(|_| address.port() != 0) {
                return Err(self.value_error(key, address, ValueProblem::SameAddress(other)));
            }
        }
        Ok(())
    }

    /// Refuses an empty list, an address with port 0 and an address that is listed twice.
    pub(super) fn address_list(
        &self,
        key: &'static str,
        addresses: &[SocketAddr],
    ) -> Result<(), SettingsError> {
        if addresses.is_empty() {
            return Err(self.value_error(key, "[]", ValueProblem::EmptyList));
        }
        for (index, address) in addresses.iter().enumerate() {
            if address.port() == 0 {
                return Err(self.value_error(key, address, ValueProblem::NoPort));
            }
            if addresses[..index].contains(address) {
                return Err(self.value_error(key, address, ValueProblem::Duplicate));
            }
        }
        Ok(())
    }
}
