//! Chooses the priority class of a caller from the caller's startup parameters and source address, and
//! from the bindings and classes of the current view.

use crate::identity::ClassName;
use crate::resources::{BindingSpec, CallerMatch, SourceNetwork};
use crate::view::View;
use std::cmp::Reverse;
use std::net::IpAddr;

/// Startup parameters and source address of a caller, which bindings are matched against.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// User name of the startup message.
    pub user: String,
    /// Database name of the startup message.
    pub database: String,
    /// `application_name` of the startup message, or empty.
    pub application_name: String,
    /// Address from which the caller connects.
    pub source: IpAddr,
}

/// Returns the class of the binding that matches the caller, or `default` if none does. Bindings
/// whose class does not exist are ignored. Of several matching bindings, the one with the highest
/// order decides, and among equal orders the first by name.
#[must_use]
pub fn choose_class(view: &View, caller: &CallerIdentity, default: &ClassName) -> ClassName {
    let best_match = view
        .bindings
        .iter()
        .filter(|(_, binding)| view.classes.contains_key(&binding.class))
        .filter(|(_, binding)| matches_caller(binding, caller))
        .min_by_key(|(name, binding)| (Reverse(binding.order), *name));
    best_match.map_or_else(|| default.clone(), |(_, binding)| binding.class.clone())
}

fn matches_caller(binding: &BindingSpec, caller: &CallerIdentity) -> bool {
    let CallerMatch { user, database, application_name, source_network } = &binding.callers;
    absent_or_equal(user.as_ref(), &caller.user)
        && absent_or_equal(database.as_ref(), &caller.database)
        && absent_or_equal(application_name.as_ref(), &caller.application_name)
        && source_network.as_ref().is_none_or(|network| network_contains(network, caller.source))
}

fn absent_or_equal(expected: Option<&String>, actual: &str) -> bool {
    expected.is_none_or(|expected| expected == actual)
}

/// Reports whether the network contains the address. A network that cannot be parsed contains none.
fn network_contains(network: &str, source: IpAddr) -> bool {
    network.parse::<SourceNetwork>().is_ok_and(|network| network.contains(source))
}
