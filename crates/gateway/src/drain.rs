//! Drains a gateway at a planned stop: closes idle sessions and gives open transactions a grace period.
//!
//! The sessions observe the notifications in [`shared`](crate::shared) and end themselves.

use crate::shared::GatewayContext;
use crate::wire::Wire;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Waits until every session has ended; rolls back transactions that are open after their grace period.
pub(crate) async fn drain<W: Wire>(shared: &Rc<GatewayContext<W>>) {
    tokio::time::sleep(shared.settings.drain_notice).await;
    shared.stopping.set(true);
    shared.stop_began.notify_waiters();
    let end = Instant::now() + shared.settings.transaction_grace;
    if timeout_at(end, all_ended(shared)).await.is_ok() {
        return;
    }
    shared.transaction_grace_ended.notify_waiters();
    let end = Instant::now() + shared.settings.transaction_grace;
    if timeout_at(end, all_ended(shared)).await.is_err() {
        log::warn!(sessions = shared.sessions.get(); "sessions still open at the end of a planned stop");
    }
}

async fn all_ended<W: Wire>(shared: &Rc<GatewayContext<W>>) {
    while shared.sessions.get() > 0 {
        shared.session_ended.notified().await;
    }
}
