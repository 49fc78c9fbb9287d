//! `corktack delete`: deletes a resource.

use super::CommandError;
use super::get::parse_key;
use crate::exit::Exit;
use crate::flags::Delete;
use crate::kind::parse_kind;
use crate::output::Output;
use crate::table::Table;
use corktack_control::api::WriteBody;
use corktack_core::resources::ResourceVersion;
use corktack_server::client::{ApiClient, ClientError, Request};

pub(crate) async fn run(
    client: ApiClient,
    command: Delete,
    output: &mut Output<'_>,
) -> Result<Exit, CommandError> {
    let kind = parse_kind(&command.kind)?;
    let key = parse_key(kind, &command.name)?;
    let request = Request::delete(&key, command.version.map(ResourceVersion));
    match client.request::<WriteBody>(request).await {
        Ok(written) => {
            output.write_value(&written, |written| {
                let mut table = Table::default();
                let revision = written.revision.0;
                table.add_row([format!("{kind:?}/{} deleted (revision {revision})", command.name)]);
                table
            })?;
            Ok(Exit::Done)
        }
        Err(error) if error.is_conflict() => {
            output.write_line(&format!(
                "{kind:?}/{} conflict: {}",
                command.name,
                conflict_reason(&error)
            ))?;
            Ok(Exit::Conflict)
        }
        Err(error) => Err(error.into()),
    }
}

fn conflict_reason(error: &ClientError) -> String {
    let stored = match error {
        ClientError::Refused(body) => body.stored_version,
        _ => None,
    };
    stored.map_or_else(|| error.to_string(), |stored| format!("stored version is {}", stored.0))
}
