//! A planned stop: sessions end when they are quiet, transactions get their time.
//!
//! It is for [`handle`](crate::handle). It owns the order and the times of a stop. It relies on the sessions to
//! follow the signs in [`shared`](crate::shared).

use crate::shared::Shared;
use crate::wire::Wire;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Waits until every session is over; transactions still open after their time are rolled back.
pub(crate) async fn drain<W: Wire>(shared: &Rc<Shared<W>>) {
    tokio::time::sleep(shared.settings.notice).await;
    shared.stopping.set(true);
    shared.stop_began.notify_waiters();
    let end = Instant::now() + shared.settings.transaction_grace;
    if timeout_at(end, all_ended(shared)).await.is_ok() {
        return;
    }
    shared.transactions_over.notify_waiters();
    let end = Instant::now() + shared.settings.transaction_grace;
    if timeout_at(end, all_ended(shared)).await.is_err() {
        log::warn!(sessions = shared.sessions.get(); "sessions left at the end of a planned stop");
    }
}

async fn all_ended<W: Wire>(shared: &Rc<Shared<W>>) {
    while shared.sessions.get() > 0 {
        shared.session_ended.notified().await;
    }
}
