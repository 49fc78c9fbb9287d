//! Counts operations of tenants for other gateways of the zone, which are not the tenant's home.
//!
//! [`limits`](crate::limits) does the counting.

use super::frames::{HolderFrames, send, with_heartbeats};
use crate::error::LinkError;
use crate::limits::RequestedOperations;
use crate::shared::GatewayContext;
use crate::tunnel::OperationsRequest;
use crate::wire::Wire;
use corktack_core::tenancy::TenantName;
use corktack_protocol::tunnel::{TunnelRefusal, TunnelReply};
use tokio::time::Instant;

/// Counts operations for another gateway; undoes the count if the reply can't be sent.
pub(super) async fn count<W: Wire>(
    shared: &GatewayContext<W>,
    frames: &mut HolderFrames,
    tenant: &TenantName,
    OperationsRequest { operations, priority, wait }: OperationsRequest,
) -> Result<(), LinkError> {
    let until = Instant::now() + wait;
    let counting = async {
        shared.wait_for_document_until(until).await;
        let requested = RequestedOperations { operations, priority, until };
        shared.limits.count_for_another(tenant, requested).await
    };
    let counted = with_heartbeats(frames, counting).await?;
    let admitted = counted.as_ref().and_then(|outcome| outcome.as_ref().ok()).copied();
    let reply = counted
        .map_or(TunnelReply::Refused(TunnelRefusal::NotHeld), TunnelReply::OperationsAdmitted);
    let sent = send(frames, reply).await;
    if let (Err(_), Some(admitted)) = (&sent, admitted) {
        shared.limits.return_operations(tenant, admitted);
    }
    sent
}
