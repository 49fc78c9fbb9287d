//! Handler of the operators' watch: a stream of JSON lines, one line for each revision.
//!
//! Each watcher holds its position in the feed, which provides the events. Before each bookmark the replica
//! confirms that it is current.

use super::answer::ErrorAnswer;
use super::operators::OperatorContext;
use super::path::parse_kind;
use crate::api::{ErrorCode, WatchLine};
use crate::feed::Feed;
use crate::proxies::CurrencyChecks;
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

/// Largest number of lines in one chunk of the body; later chunks contain the rest. A lower limit makes more
/// chunks, a higher one larger chunks.
const MAX_LINES_PER_CHUNK: usize = 256;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WatchQuery {
    from: u64,
    kind: Option<String>,
}

/// Streams the changes after revision `from` of the query, of one `kind` or of all kinds. The stream ends
/// when the replica stops, when it cannot confirm that it is current, or when the client falls too far
/// behind. The client then starts a new watch from its last revision.
pub(super) async fn watch(
    operators: web::Data<OperatorContext>,
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
    let stream = chunk_stream(Watcher::new(&operators, from, kind));
    Ok(HttpResponse::Ok().content_type(CONTENT_TYPE).streaming(stream))
}

struct Watcher {
    feed: Feed,
    newest: Receiver<Revision>,
    currency_checks: CurrencyChecks,
    stop: StopSignal,
    revision: Revision,
    kind: Option<Kind>,
    bookmark_interval: Duration,
    next_bookmark: Instant,
}

/// Error that ends the stream of a watcher.
struct StreamEnded;

impl Watcher {
    fn new(operators: &OperatorContext, revision: Revision, kind: Option<Kind>) -> Self {
        Self {
            feed: operators.feed.clone(),
            newest: operators.feed.subscribe(),
            currency_checks: operators.currency_checks.clone(),
            stop: operators.stop.clone(),
            revision,
            kind,
            bookmark_interval: operators.bookmark_interval,
            // The first bookmark is sent at once, so that a client does not wait for its first line.
            next_bookmark: Instant::now(),
        }
    }

    /// Waits for the next changes and returns their lines, or returns a bookmark when the next one is due.
    async fn next_chunk(&mut self) -> Result<Bytes, StreamEnded> {
        loop {
            // Marks the newest revision as seen before the events are read, so that a later change ends the
            // wait below.
            let newest = *self.newest.borrow_and_update();
            let events = self
                .feed
                .events_after(self.revision, self.kind)
                .map_err(|TooOld { .. }| StreamEnded)?;
            let lines = group_lines(events);
            if !lines.is_empty() {
                return self.write_lines(&lines);
            }
            self.revision = self.revision.max(newest);
            tokio::select! {
                changed = self.newest.changed() => changed.map_err(|_| StreamEnded)?,
                () = sleep_until(self.next_bookmark) => return self.bookmark().await,
                () = self.stop.stopped() => return Err(StreamEnded),
            }
        }
    }

    fn write_lines(&mut self, lines: &[WatchLine]) -> Result<Bytes, StreamEnded> {
        let mut buffer = BytesMut::new();
        for line in lines.iter().take(MAX_LINES_PER_CHUNK) {
            write_line(&mut buffer, line)?;
            self.revision = line.revision;
        }
        Ok(buffer.freeze())
    }

    /// Returns a bookmark at the current position after the replica confirmed that it is current.
    async fn bookmark(&mut self) -> Result<Bytes, StreamEnded> {
        self.next_bookmark = Instant::now() + self.bookmark_interval;
        if !self.currency_checks.request().await.unwrap_or(false) {
            return Err(StreamEnded);
        }
        let mut buffer = BytesMut::new();
        write_line(&mut buffer, &WatchLine { revision: self.revision, events: Vec::new() })?;
        Ok(buffer.freeze())
    }
}

/// Groups the events into one line for each revision, so that a client that resumes from the revision of a
/// line misses no event.
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

fn write_line(buffer: &mut BytesMut, line: &WatchLine) -> Result<(), StreamEnded> {
    serde_json::to_writer(buffer.writer(), line).map_err(|_| StreamEnded)?;
    buffer.put_u8(b'\n');
    Ok(())
}

fn chunk_stream(watcher: Watcher) -> impl Stream<Item = Result<Bytes, actix_web::Error>> {
    futures_util::stream::unfold(watcher, |mut watcher| async move {
        let chunk = watcher.next_chunk().await.ok()?;
        Some((Ok(chunk), watcher))
    })
}
