//! `corktack watch`: shows changes as they happen and continues after the loss of a connection or a replica.
//!
//! The watcher keeps the last revision seen and resumes from there on a new connection, so that no change is
//! missed or shown twice.

use super::CommandError;
use crate::exit::Exit;
use crate::flags::Watch;
use crate::kind::parse_kind;
use crate::output::{Format, Output};
use corktack_control::api::{
    ErrorCode, ResourceList, WatchEvent, WatchEventType, WatchLine, kind_segment,
};
use corktack_core::resources::Kind;
use corktack_core::view::Revision;
use corktack_server::client::{ApiClient, LostAnswer, Request};
use std::time::Duration;

/// Pause before the watch connects to the next server. A shorter pause sends more requests to servers that
/// are down; a longer one delays the changes that the operator sees.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

struct Watcher<'a, 'b> {
    client: ApiClient,
    output: &'a mut Output<'b>,
    kind: Option<Kind>,
    revision: Revision,
    events_left: Option<u64>,
}

pub(crate) async fn run(
    client: ApiClient,
    command: Watch,
    output: &mut Output<'_>,
) -> Result<Exit, CommandError> {
    let kind = command.kind.as_deref().map(parse_kind).transpose()?;
    let events_left = command.events;
    let mut watcher = Watcher { client, output, kind, revision: Revision(0), events_left };
    watcher.revision = match command.from {
        Some(revision) => Revision(revision),
        None => watcher.read_newest_revision().await?,
    };
    watcher.watch_all_servers().await?;
    Ok(Exit::Done)
}

impl Watcher<'_, '_> {
    /// Reads the newest revision from a server.
    async fn read_newest_revision(&self) -> Result<Revision, CommandError> {
        let kind = self.kind.unwrap_or(Kind::PriorityClass);
        let path = format!("/v1/{}", kind_segment(kind));
        let list: ResourceList = self.client.request(Request::get(path)).await?;
        Ok(list.revision)
    }

    async fn watch_all_servers(&mut self) -> Result<(), CommandError> {
        for server_index in 0.. {
            match self.watch_server(server_index).await {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(CommandError::Client(error)) if error.code() == Some(ErrorCode::TooOld) => {
                    self.skip_to_newest().await?;
                }
                Err(error) => return Err(error),
            }
            actix_rt::time::sleep(RETRY_INTERVAL).await;
        }
        Ok(())
    }

    /// Continues from the newest revision, and warns the operator, after the servers discarded the changes
    /// since the last revision seen.
    async fn skip_to_newest(&mut self) -> Result<(), CommandError> {
        let last_seen = self.revision;
        self.revision = self.read_newest_revision().await?;
        eprintln!(
            "changes after revision {} are no longer kept; going on from {}: read the resources again",
            last_seen.0, self.revision.0
        );
        Ok(())
    }

    /// Shows the changes that one server sends until its stream ends; returns true when the number of events
    /// asked for has been shown.
    async fn watch_server(&mut self, server_index: usize) -> Result<bool, CommandError> {
        let kind =
            self.kind.map_or_else(String::new, |kind| format!("&kind={}", kind_segment(kind)));
        let path = format!("/v1/watch?from={}{kind}", self.revision.0);
        let stream = self.client.lines(server_index, &Request::get(path)).await?;
        let mut lines = match stream {
            Ok(lines) => lines,
            Err(lost) => return Ok(log_lost_stream(&lost)),
        };
        loop {
            match lines.next().await {
                Ok(Some(line)) => {
                    if self.show_line(&line)? {
                        return Ok(true);
                    }
                }
                Ok(None) => return Ok(false),
                Err(lost) => return Ok(log_lost_stream(&lost)),
            }
        }
    }

    /// Shows the events of one line of the stream; returns true when the number of events asked for has been
    /// shown.
    fn show_line(&mut self, text: &[u8]) -> Result<bool, CommandError> {
        let line: WatchLine = serde_json::from_slice(text).map_err(CommandError::WatchLine)?;
        self.revision = self.revision.max(line.revision);
        match self.output.format() {
            Format::Json => self.output.write_line(String::from_utf8_lossy(text).trim_end())?,
            Format::Yaml => self.output.write_document(&line)?,
            Format::Table => {
                for event in &line.events {
                    self.output.write_line(&event_line(line.revision, event))?;
                }
            }
        }
        let Some(left) = &mut self.events_left else { return Ok(false) };
        *left = left.saturating_sub(line.events.len() as u64);
        Ok(*left == 0)
    }
}

/// Logs the loss of a watch stream. Always returns false, since the watch continues with the next server.
fn log_lost_stream(lost: &LostAnswer) -> bool {
    log::warn!(reason:% = lost; "watch connection lost: the watch continues with the next server");
    false
}

fn event_line(revision: Revision, event: &WatchEvent) -> String {
    let (revision, object) = (revision.0, &event.object);
    let (kind, name) = (object.kind(), &object.metadata().name);
    let action = match event.event_type {
        WatchEventType::Added => "added",
        WatchEventType::Modified => "modified",
        WatchEventType::Deleted => return format!("{revision} deleted {kind:?}/{name}"),
    };
    let version = object.metadata().resource_version.unwrap_or_default().0;
    format!("{revision} {action} {kind:?}/{name} version={version}{}", group_status(object))
}

fn group_status(object: &corktack_control::api::AnyManifest) -> String {
    let corktack_control::api::AnyManifest::Group(group) = object else { return String::new() };
    let Some(status) = &group.status else { return String::new() };
    let primary = crate::table::or_dash(status.primary.as_ref());
    let owner = crate::table::or_dash(status.owner.as_ref());
    format!(" primary={primary} term={} owner={owner}", status.term)
}
