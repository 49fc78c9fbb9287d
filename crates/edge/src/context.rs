//! State shared by the sessions of one arbiter.
//!
//! Owner connections, retry budgets and profiles of SQL texts belong to the arbiter; the settings, the
//! configuration in force and the session table are shared by all arbiters. `handle` creates one
//! context for each arbiter.

use crate::credentials::Credentials;
use crate::link::LinkPool;
use crate::metrics::EdgeMetrics;
use crate::retry::RetryScheduler;
use crate::sessions::SessionTable;
use crate::settings::EdgeSettings;
use corktack_core::classify::{ProfileCache, StatementProfile};
use corktack_core::view::View;
use std::cell::RefCell;
use std::sync::Arc;
use tokio::sync::watch;

/// Phase of the edge's shutdown; phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// Callers are accepted and served.
    Running,
    /// New callers are refused, and each session ends when its caller is idle outside a transaction.
    Draining,
    /// Sessions end at once, and their open transactions are rolled back.
    Ending,
}

/// State shared by the sessions of one arbiter.
#[derive(Debug)]
pub struct ArbiterContext {
    /// Settings of the edge.
    pub settings: Arc<EdgeSettings>,
    /// The configuration in force, updated by the control plane.
    pub view: watch::Receiver<Arc<View>>,
    /// Connections of this arbiter to owners.
    pub links: LinkPool,
    /// Metrics of the edge.
    pub metrics: EdgeMetrics,
    /// Sessions and connection count of all arbiters.
    pub sessions: Arc<SessionTable>,
    /// Phase of the edge's shutdown; phases only advance.
    pub drain_phase: watch::Receiver<DrainPhase>,
    /// Cached profiles of recent SQL texts.
    pub profiles: RefCell<ProfileCache>,
    /// Secrets of the users, or nothing if every caller is trusted.
    pub credentials: Option<Credentials>,
    /// Retry budgets and back-off of this arbiter.
    pub retries: RefCell<RetryScheduler>,
}

impl ArbiterContext {
    /// Returns the profile of an SQL text, from the cache if possible.
    pub fn profile(&self, text: &str) -> Arc<StatementProfile> {
        self.profiles.borrow_mut().profile(text)
    }

    /// Returns the configuration in force at this moment.
    #[must_use]
    pub fn current_view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Reports whether the edge is shutting down and accepts no new sessions.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.drain_phase.borrow() != DrainPhase::Running
    }
}
