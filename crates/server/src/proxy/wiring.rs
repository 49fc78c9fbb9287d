//! Converts the settings of a proxy into those of its parts: the watch of control, the owner and the edge.

use crate::settings::proxy::AuthenticationMode;
use crate::settings::{ProxySettings, millis};
use crate::watch_client::WatchSettings;
use corktack_core::identity::Incarnation;
use corktack_edge::{Authentication, EdgeSettings, UserSecret};
use corktack_owner::OwnerSettings;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

pub(super) fn watch_settings(
    settings: &ProxySettings,
    peers: SocketAddr,
    incarnation: Incarnation,
) -> WatchSettings {
    let control = &settings.control;
    WatchSettings {
        proxy: settings.name.clone(),
        incarnation,
        address: settings.addresses.peers_announced.unwrap_or(peers),
        zone: settings.zone.clone(),
        replicas: control.replicas.clone(),
        heartbeat_interval: millis(control.heartbeat_interval_ms),
        silence_timeout: millis(control.silence_timeout_ms),
        retry_minimum: millis(control.retry_minimum_ms),
        retry_maximum: millis(control.retry_maximum_ms),
        follows_cell: false,
        seed: rand::random(),
    }
}

/// Returns the settings of a proxy's owner.
#[must_use]
pub fn owner_settings(settings: &ProxySettings, incarnation: Incarnation) -> OwnerSettings {
    let (name, zone) = (settings.name.clone(), settings.zone.clone());
    let timeouts = &settings.timeouts;
    let mut owner = OwnerSettings::new(name, incarnation, zone);
    owner.arbiters = settings.limits.owner_arbiters as usize;
    owner.back_end_user.clone_from(&settings.back_end_user);
    owner.probe_interval = millis(timeouts.probe_interval_ms);
    owner.probe_timeout = millis(timeouts.probe_ms);
    owner.silence_timeout = millis(timeouts.member_silence_ms);
    owner.outcome_retention = Duration::from_secs(timeouts.outcome_retention_s.into());
    owner
}

/// Returns the settings of a proxy's edge; the owner in the same process listens on `peers`.
#[must_use]
pub fn edge_settings(
    settings: &ProxySettings,
    peers: SocketAddr,
    incarnation: Incarnation,
) -> EdgeSettings {
    let class = settings.default_class.clone();
    let (limits, timeouts) = (&settings.limits, &settings.timeouts);
    let mut edge = EdgeSettings::new(settings.name.clone(), incarnation, class);
    edge.arbiters = limits.edge_arbiters as usize;
    edge.connection_limit = limits.callers as usize;
    edge.message_limit = limits.message_bytes as usize;
    edge.startup_message_limit = limits.startup_message_bytes as usize;
    edge.startup_timeout = millis(timeouts.authentication_ms);
    edge.request_timeout = millis(timeouts.request_ms);
    edge.drain_timeout = millis(timeouts.drain_ms);
    edge.authentication = authentication(settings);
    edge.local_owner = Some(settings.addresses.peers_own.unwrap_or_else(|| local_address(peers)));
    edge
}

/// Returns an address at which a listener can be reached from its own machine: the listener's address, or
/// loopback if it listens on every address.
fn local_address(mut listener: SocketAddr) -> SocketAddr {
    if listener.ip().is_unspecified() {
        listener.set_ip(match listener {
            SocketAddr::V4(_) => Ipv4Addr::LOCALHOST.into(),
            SocketAddr::V6(_) => Ipv6Addr::LOCALHOST.into(),
        });
    }
    listener
}

fn authentication(settings: &ProxySettings) -> Authentication {
    let users = settings.authentication.users.iter();
    match settings.authentication.mode {
        AuthenticationMode::Trust => Authentication::Trust,
        AuthenticationMode::Scram => Authentication::ScramSha256 {
            users: users
                .map(|user| (user.name.clone(), UserSecret::Password(user.password.clone())))
                .collect(),
        },
    }
}
