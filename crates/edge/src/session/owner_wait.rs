//! Finds a group's owner, and waits until a request may be sent again.
//!
//! Both waits end early with a new configuration, a cancel request of the caller, or the end of the edge.

use super::state::Session;
use crate::context::DrainPhase;
use crate::error::{Rejection, SessionEnd};
use crate::retry::Lost;
use crate::route::{OwnerRoute, group_of_database, owner_of};
use crate::times::OWNER_RETRY_MS;
use corktack_core::identity::GroupName;
use corktack_core::view::View;
use corktack_protocol::peer::NotRunReason;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Why no owner was found in time.
pub(super) enum NoOwner {
    /// The caller gets this answer.
    Rejected(Rejection),
    /// The session is over.
    Ended(SessionEnd),
}

impl From<SessionEnd> for NoOwner {
    fn from(end: SessionEnd) -> Self {
        Self::Ended(end)
    }
}

impl Session {
    /// The group of the session's database and its owner; waits for an owner that
    /// takes new streams.
    pub(super) async fn find_owner(
        &mut self,
        view: &mut watch::Receiver<Arc<View>>,
        deadline: Instant,
    ) -> Result<(GroupName, OwnerRoute), NoOwner> {
        loop {
            let now = view.borrow_and_update().clone();
            let Some((name, group)) = group_of_database(&now, &self.identity.database) else {
                return Err(NoOwner::Rejected(not_run(NotRunReason::UnknownGroup)));
            };
            let reason = match owner_of(&now, group) {
                Ok(route) if self.context.links.is_stopping(&route.owner) => NotRunReason::Stopping,
                Ok(route) => return Ok((name.clone(), self.nearest(route))),
                Err(reason) => reason,
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(NoOwner::Rejected(not_run(reason)));
            }
            if let Some(rejection) = self.pause(view, left).await? {
                return Err(NoOwner::Rejected(rejection));
            }
        }
    }

    /// The way to an owner: to the one in this process it need not cross the network.
    fn nearest(&self, mut route: OwnerRoute) -> OwnerRoute {
        let settings = &self.context.settings;
        let is_own =
            route.owner.proxy == settings.proxy && route.owner.incarnation == settings.incarnation;
        if let Some(address) = settings.local_owner.filter(|_| is_own) {
            route.address = address;
        }
        route
    }

    /// Waits until a lost request may be sent again; its final answer when it must not.
    pub(super) async fn prepare_retry(
        &mut self,
        lost: Lost,
        group: &GroupName,
        view: &mut watch::Receiver<Arc<View>>,
        deadline: Instant,
    ) -> Result<Option<Rejection>, SessionEnd> {
        let left = deadline.saturating_duration_since(Instant::now());
        let decided = self.context.retries.borrow_mut().decide(lost, group, left);
        match decided {
            Ok(wait) => {
                self.context.metrics.retries.inc();
                self.pause(view, wait).await
            }
            Err(rejection) => Ok(Some(rejection)),
        }
    }

    /// Waits, at most until the configuration in force is another than the one last
    /// seen. Something is returned when the caller cancels or the edge ends.
    async fn pause(
        &mut self,
        view: &mut watch::Receiver<Arc<View>>,
        wait: Duration,
    ) -> Result<Option<Rejection>, SessionEnd> {
        let wake = Instant::now() + wait;
        let mut drain = self.context.drain.clone();
        loop {
            let read_ahead = self.caller.may_read_ahead();
            tokio::select! {
                () = tokio::time::sleep_until(wake) => return Ok(None),
                Ok(()) = view.changed() => return Ok(None),
                Ok(()) = self.registration.cancelled.changed() => {
                    return Ok(Some(Rejection::Cancelled));
                }
                _ = drain.wait_for(|phase| *phase == DrainPhase::Ending) => {
                    return Ok(Some(Rejection::Draining));
                }
                result = self.caller.read_more(), if read_ahead => result?,
            }
        }
    }
}

fn not_run(reason: NotRunReason) -> Rejection {
    Rejection::NotRun { reason, retry_after_ms: OWNER_RETRY_MS }
}
