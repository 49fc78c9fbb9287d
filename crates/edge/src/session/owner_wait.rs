//! Looks up a group's owner, and waits until a request may be sent again.
//!
//! The waits end early when the configuration changes, the caller cancels the request, or the edge ends
//! all sessions.

use super::state::Session;
use crate::context::DrainPhase;
use crate::error::{Rejection, SessionEnd};
use crate::retry::LostRequest;
use crate::route::{OwnerRoute, group_of_database, owner_of};
use crate::times::OWNER_RETRY_AFTER_MS;
use corktack_core::identity::GroupName;
use corktack_core::view::View;
use corktack_protocol::peer::NotRunReason;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The reason why no owner was found in time.
pub(super) enum FindOwnerError {
    /// The request is rejected, and the session continues.
    Rejected(Rejection),
    /// The session ended during the wait.
    Ended(SessionEnd),
}

impl From<SessionEnd> for FindOwnerError {
    fn from(end: SessionEnd) -> Self {
        Self::Ended(end)
    }
}

impl Session {
    /// Returns the group of the session's database and its owner. Waits until the group has an owner
    /// that accepts new streams, or until the deadline.
    pub(super) async fn find_owner(
        &mut self,
        view: &mut watch::Receiver<Arc<View>>,
        deadline: Instant,
    ) -> Result<(GroupName, OwnerRoute), FindOwnerError> {
        loop {
            let current_view = view.borrow_and_update().clone();
            let Some((name, group)) = group_of_database(&current_view, &self.identity.database)
            else {
                return Err(FindOwnerError::Rejected(not_run_rejection(
                    NotRunReason::UnknownGroup,
                )));
            };
            let reason = match owner_of(&current_view, group) {
                Ok(route) if self.context.links.is_stopping(&route.owner) => NotRunReason::Stopping,
                Ok(route) => return Ok((name.clone(), self.prefer_local_address(route))),
                Err(reason) => reason,
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(FindOwnerError::Rejected(not_run_rejection(reason)));
            }
            if let Some(rejection) = self.wait_for_change(view, remaining).await? {
                return Err(FindOwnerError::Rejected(rejection));
            }
        }
    }

    /// Replaces the route's address by the local address if the owner runs in this process, which
    /// avoids the network.
    fn prefer_local_address(&self, mut route: OwnerRoute) -> OwnerRoute {
        let settings = &self.context.settings;
        let is_own =
            route.owner.proxy == settings.proxy && route.owner.incarnation == settings.incarnation;
        if let Some(address) = settings.local_owner.filter(|_| is_own) {
            route.address = address;
        }
        route
    }

    /// Waits until a lost request may be sent again. Returns the request's final answer if it must not
    /// be sent again.
    pub(super) async fn prepare_retry(
        &mut self,
        lost_request: LostRequest,
        group: &GroupName,
        view: &mut watch::Receiver<Arc<View>>,
        deadline: Instant,
    ) -> Result<Option<Rejection>, SessionEnd> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let decision =
            self.context.retries.borrow_mut().schedule_retry(lost_request, group, remaining);
        match decision {
            Ok(wait) => {
                self.context.metrics.retries.inc();
                self.wait_for_change(view, wait).await
            }
            Err(rejection) => Ok(Some(rejection)),
        }
    }

    /// Waits for the given time, or until the configuration differs from the one last seen in `view`.
    /// Returns a rejection if the caller cancels the request or the edge ends all sessions.
    async fn wait_for_change(
        &mut self,
        view: &mut watch::Receiver<Arc<View>>,
        wait: Duration,
    ) -> Result<Option<Rejection>, SessionEnd> {
        let wait_end = Instant::now() + wait;
        let mut drain_phase = self.context.drain_phase.clone();
        loop {
            let read_ahead = self.caller.may_read_ahead();
            tokio::select! {
                () = tokio::time::sleep_until(wait_end) => return Ok(None),
                Ok(()) = view.changed() => return Ok(None),
                Ok(()) = self.registration.cancelled.changed() => {
                    return Ok(Some(Rejection::Cancelled));
                }
                _ = drain_phase.wait_for(|phase| *phase == DrainPhase::Ending) => {
                    return Ok(Some(Rejection::Draining));
                }
                result = self.caller.read_more(), if read_ahead => result?,
            }
        }
    }
}

fn not_run_rejection(reason: NotRunReason) -> Rejection {
    Rejection::NotRun { reason, retry_after_ms: OWNER_RETRY_AFTER_MS }
}
