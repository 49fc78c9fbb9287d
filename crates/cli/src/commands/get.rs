//! `corktack get`: shows resources.

use super::CommandError;
use crate::exit::Exit;
use crate::flags::Get;
use crate::kind::parse_kind;
use crate::output::{Format, Output};
use crate::table::{Table, or_dash};
use corktack_control::api::{AnyManifest, ResourceList, kind_segment, resource_key};
use corktack_core::resources::{CallerMatch, Kind, ResourceKey};
use corktack_server::client::{ApiClient, Request, resource_path};

pub(crate) async fn run(
    client: ApiClient,
    command: Get,
    output: &mut Output<'_>,
) -> Result<Exit, CommandError> {
    let kind = parse_kind(&command.kind)?;
    match command.name {
        Some(name) => show_one(&client, kind, &name, output).await?,
        None => show_all(&client, kind, output).await?,
    }
    Ok(Exit::Done)
}

async fn show_one(
    client: &ApiClient,
    kind: Kind,
    name: &str,
    output: &mut Output<'_>,
) -> Result<(), CommandError> {
    let path = resource_path(&parse_key(kind, name)?);
    let manifest: AnyManifest = client.request(Request::get(path)).await?;
    output
        .write_value(&manifest, |manifest| resource_table(kind, std::slice::from_ref(manifest)))?;
    Ok(())
}

async fn show_all(
    client: &ApiClient,
    kind: Kind,
    output: &mut Output<'_>,
) -> Result<(), CommandError> {
    let path = format!("/v1/{}", kind_segment(kind));
    let list: ResourceList = client.request(Request::get(path)).await?;
    // YAML output is a stream of manifests, which `corktack apply` accepts.
    if output.format() == Format::Yaml {
        for manifest in &list.items {
            output.write_document(manifest)?;
        }
        return Ok(());
    }
    output.write_value(&list, |list| resource_table(kind, &list.items))?;
    Ok(())
}

/// Builds the key of a resource from the kind and name given on the command line.
pub(super) fn parse_key(kind: Kind, name: &str) -> Result<ResourceKey, CommandError> {
    let key = resource_key(kind, name);
    key.map_err(|source| CommandError::Name { name: name.to_owned(), source })
}

fn resource_table(kind: Kind, manifests: &[AnyManifest]) -> Table {
    let mut table = Table::new(match kind {
        Kind::DatabaseGroup => &[
            "NAME",
            "DATABASE",
            "PRIMARY",
            "TERM",
            "OWNER",
            "MEMBERS",
            "DRAINING",
            "SLOTS",
            "CONNECTIONS",
            "VERSION",
        ],
        Kind::PriorityClass => &["NAME", "PRIORITY", "GUARANTEED", "VERSION"],
        Kind::Binding => &["NAME", "CLASS", "ORDER", "MATCH", "VERSION"],
    });
    for manifest in manifests {
        add_resource(&mut table, manifest);
    }
    table
}

fn add_resource(table: &mut Table, manifest: &AnyManifest) {
    let metadata = manifest.metadata();
    let name = metadata.name.clone();
    let version = or_dash(metadata.resource_version.map(|version| version.0));
    match manifest {
        AnyManifest::Group(group) => {
            let status = group.status.clone().unwrap_or_default();
            let draining: Vec<&str> = status.draining.iter().map(|name| name.as_str()).collect();
            table.add_row([
                name,
                group.spec.database.clone(),
                or_dash(status.primary),
                status.term.to_string(),
                or_dash(status.owner),
                group.spec.members.len().to_string(),
                or_dash(Some(draining.join(",")).filter(|text| !text.is_empty())),
                group.spec.slots.to_string(),
                group.spec.connections.to_string(),
                version,
            ]);
        }
        AnyManifest::Class(class) => {
            let guaranteed = format!("{}%", class.spec.guaranteed_percent);
            table.add_row([name, class.spec.priority.to_string(), guaranteed, version]);
        }
        AnyManifest::Binding(binding) => {
            let callers = callers_text(&binding.spec.callers);
            let spec = &binding.spec;
            table.add_row([name, spec.class.to_string(), spec.order.to_string(), callers, version]);
        }
    }
}

fn callers_text(callers: &CallerMatch) -> String {
    let fields = [
        ("user", &callers.user),
        ("database", &callers.database),
        ("application", &callers.application_name),
        ("network", &callers.source_network),
    ];
    let conditions = fields
        .iter()
        .filter_map(|(key, value)| value.as_ref().map(|value| format!("{key}={value}")));
    let conditions: Vec<String> = conditions.collect();
    if conditions.is_empty() { "all".to_owned() } else { conditions.join(",") }
}
