//! The control leader's calls to registered back ends, over the deployment's wire protocol.
//!
//! The calls use the gateway's client functions; no state is kept between calls.

use super::{Deployment, DeploymentError};
use corktack_control::{MemberCalls, MemberTarget, PromotionAuthority, RegistryCalls};
use corktack_core::registry::MemberAnswer;
use corktack_gateway::{GatewaySettings, Wire, request_status, resume_replication};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use std::sync::Arc;

impl Deployment {
    /// Returns the leader's means to call registered back ends and the promotion authority.
    pub(super) fn registry_calls<W: Wire + Send + Sync + std::fmt::Debug>(
        &self,
        wire: W,
        authority: Arc<dyn PromotionAuthority>,
    ) -> Result<RegistryCalls, DeploymentError> {
        let members = Arc::new(WireCalls { wire, settings: self.gateway_settings()? });
        Ok(RegistryCalls { members, authority })
    }
}

/// [`MemberCalls`] over the deployment's wire protocol.
#[derive(Debug)]
struct WireCalls<W> {
    wire: W,
    settings: GatewaySettings,
}

impl<W: Wire + Send + Sync + std::fmt::Debug> MemberCalls for WireCalls<W> {
    fn status(&self, call: MemberTarget, hold: bool) -> LocalBoxFuture<'static, MemberAnswer> {
        let (wire, settings) = (self.wire.clone(), self.settings.clone());
        async move {
            let MemberTarget { group, member, address } = call;
            request_status(&wire, &settings, &group, &member, address, hold).await
        }
        .boxed_local()
    }

    fn release(&self, call: MemberTarget) -> LocalBoxFuture<'static, ()> {
        let (wire, settings) = (self.wire.clone(), self.settings.clone());
        async move {
            let MemberTarget { group, member, address } = call;
            resume_replication(&wire, &settings, &group, &member, address).await;
        }
        .boxed_local()
    }
}
