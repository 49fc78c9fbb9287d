//! `corktack watch`: follows changes over lost connections and lost replicas.
//!
//! Owns the last revision seen: a new connection goes on from there, so that nothing is missed or shown twice.

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

/// Wait before the next server is tried. Chosen, not measured; a lower value asks servers that are gone more
/// often, a higher one lets the operator wait.
const RETRY_WAIT: Duration = Duration::from_millis(200);

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
        None => watcher.newest().await?,
    };
    watcher.follow().await?;
    Ok(Exit::Done)
}

impl Watcher<'_, '_> {
    /// Revision of now.
    async fn newest(&self) -> Result<Revision, CommandError> {
        let kind = self.kind.unwrap_or(Kind::PriorityClass);
        let path = format!("/v1/{}", kind_segment(kind));
        let list: ResourceList = self.client.request(Request::get(path)).await?;
        Ok(list.revision)
    }

    async fn follow(&mut self) -> Result<(), CommandError> {
        for place in 0.. {
            match self.follow_one(place).await {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(CommandError::Client(error)) if error.code() == Some(ErrorCode::TooOld) => {
                    self.start_over().await?;
                }
                Err(error) => return Err(error),
            }
            actix_rt::time::sleep(RETRY_WAIT).await;
        }
        Ok(())
    }

    /// The changes in between cannot be had any more: says so and goes on from now.
    async fn start_over(&mut self) -> Result<(), CommandError> {
        let missed = self.revision;
        self.revision = self.newest().await?;
        eprintln!(
            "changes after revision {} are no longer kept; going on from {}: read the resources again",
            missed.0, self.revision.0
        );
        Ok(())
    }

    /// Follows one server until its stream ends; true when enough events were seen.
    async fn follow_one(&mut self, place: usize) -> Result<bool, CommandError> {
        let kind =
            self.kind.map_or_else(String::new, |kind| format!("&kind={}", kind_segment(kind)));
        let path = format!("/v1/watch?from={}{kind}", self.revision.0);
        let opened = self.client.lines(place, &Request::get(path)).await?;
        let mut lines = match opened {
            Ok(lines) => lines,
            Err(lost) => return Ok(note(&lost)),
        };
        loop {
            match lines.next().await {
                Ok(Some(line)) => {
                    if self.show(&line)? {
                        return Ok(true);
                    }
                }
                Ok(None) => return Ok(false),
                Err(lost) => return Ok(note(&lost)),
            }
        }
    }

    /// Shows one line; true when enough events were seen.
    fn show(&mut self, text: &[u8]) -> Result<bool, CommandError> {
        let line: WatchLine = serde_json::from_slice(text).map_err(CommandError::WatchLine)?;
        self.revision = self.revision.max(line.revision);
        match self.output.format() {
            Format::Json => self.output.line(String::from_utf8_lossy(text).trim_end())?,
            Format::Yaml => self.output.document(&line)?,
            Format::Table => {
                for event in &line.events {
                    self.output.line(&event_line(line.revision, event))?;
                }
            }
        }
        let Some(left) = &mut self.events_left else { return Ok(false) };
        *left = left.saturating_sub(line.events.len() as u64);
        Ok(*left == 0)
    }
}

/// Tells of a lost server; the watch goes on with the next one.
fn note(lost: &LostAnswer) -> bool {
    log::warn!(reason:% = lost; "the watch was lost and goes on with the next server");
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
