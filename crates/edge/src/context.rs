//! What the sessions of one arbiter share.
//!
//! The module owns the connections to owners, the retries and the profiles of texts of its arbiter; it relies
//! on `handle` to build it, and on the settings, the configuration in force and the table of sessions, which
//! all arbiters share.

use crate::credentials::Credentials;
use crate::link::LinkPool;
use crate::metrics::EdgeMetrics;
use crate::retry::Retries;
use crate::sessions::SessionTable;
use crate::settings::EdgeSettings;
use corktack_core::classify::{ProfileCache, StatementProfile};
use corktack_core::view::View;
use std::cell::RefCell;
use std::sync::Arc;
use tokio::sync::watch;

/// How far the edge has come with its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// Callers are served.
    Running,
    /// Sessions end between transactions.
    Draining,
    /// Sessions end at once.
    Ending,
}

/// What the sessions of one arbiter share. Only that arbiter's thread uses it.
#[derive(Debug)]
pub struct ArbiterContext {
    /// Settings.
    pub settings: Arc<EdgeSettings>,
    /// The configuration in force.
    pub view: watch::Receiver<Arc<View>>,
    /// Connections to owners.
    pub links: LinkPool,
    /// Metrics of the edge.
    pub metrics: EdgeMetrics,
    /// The sessions of the whole edge.
    pub sessions: Arc<SessionTable>,
    /// How far the edge has come with its end.
    pub drain: watch::Receiver<DrainPhase>,
    /// Profiles of recent texts.
    pub profiles: RefCell<ProfileCache>,
    /// What callers must know, unless every one is believed.
    pub credentials: Option<Credentials>,
    /// Retries that are left.
    pub retries: RefCell<Retries>,
}

impl ArbiterContext {
    /// The profile of a text.
    pub fn profile(&self, text: &str) -> Arc<StatementProfile> {
        self.profiles.borrow_mut().profile(text)
    }

    /// The configuration in force now.
    #[must_use]
    pub fn view_now(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Whether the edge takes no further transactions.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.drain.borrow() != DrainPhase::Running
    }
}
