//! The watch: a stream of JSON lines, one a revision.
//!
//! Owns a client's place in the feed. Relies on the feed for the events, and on a proof for each line that says
//! that nothing was missed.

use super::answer::ErrorAnswer;
use super::operators::Operators;
use super::path::parse_kind;
use crate::api::{ErrorCode, WatchLine};
use crate::feed::Feed;
use crate::proxies::Proofs;
use crate::render::watch_event;
use crate::stop::StopSignal;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::{BufMut, Bytes, BytesMut};
use corktack_core::resources::Kind;
use corktack_core::view::Revision;
use corktack_core::watch::{ResourceEvent, TooOld};
use futures_util::Stream;
use serde::Deserialize;
use std::time::Duration;
use tokio::sync::watch::Receiver;
use tokio::time::{Instant, sleep_until};

const CONTENT_TYPE: &str = "application/x-ndjson";

/// Lines sent at once; the rest follow. Chosen, not measured; a lower value makes more pieces of a body, a
/// higher one larger ones.
const LINES_AT_ONCE: usize = 256;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WatchQuery {
    from: u64,
    kind: Option<String>,
}

/// Streams the changes after the revision of the query's `from`, of one `kind` or
/// of all. The stream ends when the replica stops, can no longer prove that it is
/// current, or the client falls too far behind; the client then comes back from
/// its last revision.
pub(super) async fn watch(
    operators: web::Data<Operators>,
    request: HttpRequest,
) -> Result<HttpResponse, ErrorAnswer> {
    let query = web::Query::<WatchQuery>::from_query(request.query_string())
        .map_err(|error| ErrorAnswer::new(ErrorCode::BadRequest, error.to_string()))?;
    let kind = query.kind.as_deref().map(parse_kind).transpose()?;
    let from = Revision(query.from);
    let newest = operators.consensus.read(|reader| reader.feed.newest()).await?;
    if from > newest || operators.feed.events_after(from, kind).is_err() {
        let message = "the revision is not kept here: list again and watch from there";
        return Err(ErrorAnswer::new(ErrorCode::TooOld, message));
    }
    let stream = lines(Watcher::new(&operators, from, kind));
    Ok(HttpResponse::Ok().content_type(CONTENT_TYPE).streaming(stream))
}

struct Watcher {
    feed: Feed,
    newest: Receiver<Revision>,
    proofs: Proofs,
    stop: StopSignal,
    revision: Revision,
    kind: Option<Kind>,
    bookmark_interval: Duration,
    next_bookmark: Instant,
}

/// The stream is over.
struct Ended;

impl Watcher {
    fn new(operators: &Operators, revision: Revision, kind: Option<Kind>) -> Self {
        Self {
            feed: operators.feed.clone(),
            newest: operators.feed.subscribe(),
            proofs: operators.proofs.clone(),
            stop: operators.stop.clone(),
            revision,
            kind,
            bookmark_interval: operators.bookmark_interval,
            // The first bookmark comes at once and ends the client's wait for a line.
            next_bookmark: Instant::now(),
        }
    }

    /// The next lines, or a bookmark.
    async fn next(&mut self) -> Result<Bytes, Ended> {
        loop {
            // Seen before the events are read, so a later change wakes the wait below.
            let newest = *self.newest.borrow_and_update();
            let events =
                self.feed.events_after(self.revision, self.kind).map_err(|TooOld { .. }| Ended)?;
            let lines = group_lines(events);
            if !lines.is_empty() {
                return self.write_lines(&lines);
            }
            self.revision = self.revision.max(newest);
            tokio::select! {
                changed = self.newest.changed() => changed.map_err(|_| Ended)?,
                () = sleep_until(self.next_bookmark) => return self.bookmark().await,
                () = self.stop.stopped() => return Err(Ended),
            }
        }
    }

    fn write_lines(&mut self, lines: &[WatchLine]) -> Result<Bytes, Ended> {
        let mut buffer = BytesMut::new();
        for line in lines.iter().take(LINES_AT_ONCE) {
            write_line(&mut buffer, line)?;
            self.revision = line.revision;
        }
        Ok(buffer.freeze())
    }

    /// Sends that nothing was missed up to here, once that is proven.
    async fn bookmark(&mut self) -> Result<Bytes, Ended> {
        self.next_bookmark = Instant::now() + self.bookmark_interval;
        if !self.proofs.request().await.unwrap_or(false) {
            return Err(Ended);
        }
        let mut buffer = BytesMut::new();
        write_line(&mut buffer, &WatchLine { revision: self.revision, events: Vec::new() })?;
        Ok(buffer.freeze())
    }
}

/// One line a revision: a client that goes on from a line's revision misses nothing.
fn group_lines(events: Vec<ResourceEvent>) -> Vec<WatchLine> {
    let mut lines: Vec<WatchLine> = Vec::new();
    for event in events {
        let revision = event.revision;
        if lines.last().is_none_or(|line| line.revision != revision) {
            lines.push(WatchLine { revision, events: Vec::new() });
        }
        if let Some(line) = lines.last_mut() {
            line.events.push(watch_event(event));
        }
    }
    lines
}

fn write_line(buffer: &mut BytesMut, line: &WatchLine) -> Result<(), Ended> {
    serde_json::to_writer(buffer.writer(), line).map_err(|_| Ended)?;
    buffer.put_u8(b'\n');
    Ok(())
}

fn lines(watcher: Watcher) -> impl Stream<Item = Result<Bytes, actix_web::Error>> {
    futures_util::stream::unfold(watcher, |mut watcher| async move {
        let chunk = watcher.next().await.ok()?;
        Some((Ok(chunk), watcher))
    })
}
