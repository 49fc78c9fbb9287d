//! `corktack apply`: creates or replaces the resources of manifests.

use super::CommandError;
use crate::exit::Exit;
use crate::flags::Apply;
use crate::output::{Format, Output};
use crate::table::{Table, or_dash};
use corktack_control::api::{AnyManifest, ErrorCode, WriteBody, key_parts};
use corktack_core::resources::{Kind, ResourceSpec, ResourceVersion};
use corktack_server::client::{ApiClient, ClientError, Request, resource_path};
use corktack_server::manifest::{Manifest, load};
use serde::Serialize;

/// Result of applying one manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
enum AppliedAs {
    Created,
    Configured,
    Unchanged,
    Conflict,
    Failed,
}

/// Report on one manifest: the resource, the result and, after a refusal, the reason.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Report {
    kind: Kind,
    name: String,
    result: AppliedAs,
    #[serde(skip_serializing_if = "Option::is_none")]
    resource_version: Option<ResourceVersion>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

impl Report {
    fn exit_code(&self) -> Exit {
        match self.result {
            AppliedAs::Created | AppliedAs::Configured | AppliedAs::Unchanged => Exit::Done,
            AppliedAs::Conflict => Exit::Conflict,
            AppliedAs::Failed => Exit::Failed,
        }
    }

    fn to_line(&self) -> String {
        let result = format!("{:?}", self.result).to_lowercase();
        let version = self.resource_version.map(|version| format!(" (version {})", version.0));
        let reason = self.reason.as_ref().map(|reason| format!(": {reason}"));
        format!(
            "{:?}/{} {result}{}{}",
            self.kind,
            self.name,
            version.unwrap_or_default(),
            reason.unwrap_or_default()
        )
    }
}

pub(crate) async fn run(
    client: ApiClient,
    command: Apply,
    output: &mut Output<'_>,
) -> Result<Exit, CommandError> {
    if command.file.is_empty() {
        return Err(CommandError::NoFiles);
    }
    let mut manifests = Vec::new();
    for path in &command.file {
        manifests.extend(load(path)?);
    }
    // Bindings refer to classes, so classes are applied first.
    manifests.sort_by_key(|manifest| apply_order(&manifest.spec));
    let mut reports = Vec::new();
    for manifest in &manifests {
        let report = apply(&client, manifest).await?;
        if output.format() == Format::Table {
            output.write_line(&report.to_line())?;
        }
        reports.push(report);
    }
    if output.format() != Format::Table {
        output.write_value(&reports, |_| Table::default())?;
    }
    Ok(reports.iter().map(Report::exit_code).max().unwrap_or(Exit::Done))
}

const fn apply_order(spec: &ResourceSpec) -> u8 {
    match spec {
        ResourceSpec::PriorityClass(_) => 0,
        ResourceSpec::DatabaseGroup(_) => 1,
        ResourceSpec::Binding(_) => 2,
    }
}

async fn apply(client: &ApiClient, manifest: &Manifest) -> Result<Report, CommandError> {
    let (kind, name) = key_parts(&manifest.key);
    let mut report = Report {
        kind,
        name: name.to_owned(),
        result: AppliedAs::Unchanged,
        resource_version: None,
        reason: None,
    };
    match apply_unless_equal(client, manifest, &mut report).await {
        Ok(()) => {}
        Err(CommandError::Client(ClientError::Refused(body))) => {
            let error = ClientError::Refused(body);
            record_refusal(&mut report, &error, manifest.resource_version);
        }
        // After any other error, such as an unreachable server, the next manifest would fail as well.
        Err(error) => return Err(error),
    }
    Ok(report)
}

async fn apply_unless_equal(
    client: &ApiClient,
    manifest: &Manifest,
    report: &mut Report,
) -> Result<(), CommandError> {
    let stored = read_stored(client, &resource_path(&manifest.key)).await?;
    let version = stored.as_ref().and_then(|stored| stored.metadata().resource_version);
    let expected_version = manifest.resource_version;
    let is_equal = stored.as_ref().is_some_and(|stored| stored.spec() == manifest.spec);
    if is_equal && (expected_version.is_none() || expected_version == version) {
        report.resource_version = version;
        return Ok(());
    }
    let request = Request::put(&manifest.key, &manifest.spec, manifest.resource_version);
    let written: WriteBody = client.request(request.map_err(CommandError::Encode)?).await?;
    report.resource_version = Some(written.resource_version);
    report.result = if stored.is_some() { AppliedAs::Configured } else { AppliedAs::Created };
    Ok(())
}

async fn read_stored(client: &ApiClient, path: &str) -> Result<Option<AnyManifest>, ClientError> {
    match client.request::<AnyManifest>(Request::get(path)).await {
        Ok(manifest) => Ok(Some(manifest)),
        Err(error) if error.code() == Some(ErrorCode::NotFound) => Ok(None),
        Err(error) => Err(error),
    }
}

fn record_refusal(
    report: &mut Report,
    error: &ClientError,
    expected_version: Option<ResourceVersion>,
) {
    let ClientError::Refused(body) = error else { return };
    report.result = if error.is_conflict() { AppliedAs::Conflict } else { AppliedAs::Failed };
    report.resource_version = body.stored_version;
    report.reason = Some(match body.stored_version {
        Some(stored) => format!(
            "stored version is {}, the manifest was made from {}",
            stored.0,
            or_dash(expected_version.map(|version| version.0))
        ),
        None => error.to_string(),
    });
}
