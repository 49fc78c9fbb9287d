//! Chooses the priority class of a caller from the bindings in force.
//!
//! Inputs: what the caller said when it connected, and the view's bindings and classes. Owns nothing.

use crate::identity::ClassName;
use crate::resources::{BindingSpec, CallerMatch, SourceNetwork};
use crate::view::View;
use std::cmp::Reverse;
use std::net::IpAddr;

/// What is known of a caller when it connects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// User of the startup message.
    pub user: String,
    /// Database of the startup message.
    pub database: String,
    /// `application_name` of the startup message, or empty.
    pub application_name: String,
    /// Address the caller connects from.
    pub source: IpAddr,
}

/// The class of the binding with the highest order that covers the caller and
/// whose class exists, then the first by name; the default class without one.
#[must_use]
pub fn choose_class(view: &View, caller: &CallerIdentity, default: &ClassName) -> ClassName {
    let chosen = view
        .bindings
        .iter()
        .filter(|(_, binding)| view.classes.contains_key(&binding.class))
        .filter(|(_, binding)| covers(binding, caller))
        .min_by_key(|(name, binding)| (Reverse(binding.order), *name));
    chosen.map_or_else(|| default.clone(), |(_, binding)| binding.class.clone())
}

fn covers(binding: &BindingSpec, caller: &CallerIdentity) -> bool {
    let CallerMatch { user, database, application_name, source_network } = &binding.callers;
    same_or_absent(user.as_ref(), &caller.user)
        && same_or_absent(database.as_ref(), &caller.database)
        && same_or_absent(application_name.as_ref(), &caller.application_name)
        && source_network.as_ref().is_none_or(|network| network_covers(network, caller.source))
}

fn same_or_absent(wanted: Option<&String>, found: &str) -> bool {
    wanted.is_none_or(|wanted| wanted == found)
}

/// A network that cannot be parsed covers nobody.
fn network_covers(network: &str, source: IpAddr) -> bool {
    network.parse::<SourceNetwork>().is_ok_and(|network| network.contains(source))
}
