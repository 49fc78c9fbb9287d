//! `corktack cell`: changes the replicas of the control cell, one at a time.

use super::CommandError;
use crate::exit::Exit;
use crate::flags::{Cell, CellCmd};
use crate::output::Output;
use awc::http::Method;
use corktack_control::api::CellChangeBody;
use corktack_core::identity::ReplicaId;
use corktack_server::client::{ApiClient, Request};

pub(crate) async fn run(
    client: ApiClient,
    command: Cell,
    output: &mut Output<'_>,
) -> Result<Exit, CommandError> {
    let (change, message) = match command.subcommand {
        CellCmd::AddLearner(flags) => {
            let id = ReplicaId(flags.id);
            let change = CellChangeBody::AddLearner { id, address: flags.address };
            (change, format!("replica {id} added; it does not vote yet"))
        }
        CellCmd::Promote(flags) => {
            let id = ReplicaId(flags.id);
            (CellChangeBody::Promote { id }, format!("replica {id} votes"))
        }
        CellCmd::Remove(flags) => {
            let id = ReplicaId(flags.id);
            (CellChangeBody::Remove { id }, format!("replica {id} removed"))
        }
    };
    let body = Some(serde_json::to_value(change).map_err(CommandError::Encode)?);
    let request = Request { method: Method::POST, path: "/v1/cell".to_owned(), body, change: None };
    match client.request::<()>(request).await {
        Ok(()) => {
            output.write_line(&message)?;
            Ok(Exit::Done)
        }
        Err(error) if error.is_conflict() => {
            output.write_line(&format!("conflict: {error}"))?;
            Ok(Exit::Conflict)
        }
        Err(error) => Err(error.into()),
    }
}
