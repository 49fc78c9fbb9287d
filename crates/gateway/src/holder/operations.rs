//! Operations of tenants that this gateway counts for others of its zone.
//!
//! It is for gateways that are not the home of a tenant. It owns nothing; the limits count. It relies on
//! them, and takes back what cannot be reported.

use super::frames::{HolderFrames, send, with_heartbeats};
use crate::error::LinkError;
use crate::limits::AskedOperations;
use crate::shared::Shared;
use crate::tunnel::OperationsRequest;
use crate::wire::Wire;
use corktack_core::tenancy::TenantName;
use corktack_protocol::tunnel::{TunnelRefusal, TunnelReply};
use tokio::time::Instant;

/// Counts operations for another gateway; those that it cannot be told of are taken back.
pub(super) async fn begin<W: Wire>(
    shared: &Shared<W>,
    frames: &mut HolderFrames,
    tenant: &TenantName,
    OperationsRequest { operations, priority, wait }: OperationsRequest,
) -> Result<(), LinkError> {
    let until = Instant::now() + wait;
    let counting = async {
        shared.wait_for_document_until(until).await;
        let asked = AskedOperations { operations, priority, until };
        shared.limits.count_for_another(tenant, asked).await
    };
    let counted = with_heartbeats(frames, counting).await?;
    let begun = counted.as_ref().and_then(|it| it.as_ref().ok()).copied();
    let reply = counted
        .map_or(TunnelReply::Refused(TunnelRefusal::NotHeld), TunnelReply::OperationsAdmitted);
    let sent = send(frames, reply).await;
    if let (Err(_), Some(begun)) = (&sent, begun) {
        shared.limits.return_operations(tenant, begun);
    }
    sent
}
