//! Calls on behalf of the leader: to registered back ends, and to the authority that promotes them.

use crate::consensus::{ConsensusHandle, ConsensusInput};
use crate::stop::StopSignal;
use actix_rt::ArbiterHandle;
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::registry::{MemberAnswer, PromotionAction, PromotionAnswer};
use futures_util::future::LocalBoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for a member's status.
const STATUS_LIMIT: Duration = Duration::from_millis(600);
/// Longest wait for the authority: an unanswered call is made again under the same fence.
const PROMOTION_LIMIT: Duration = Duration::from_millis(1_000);

/// A question to a registered back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberCall {
    /// Its group.
    pub group: GroupName,
    /// The member.
    pub member: MemberName,
    /// Where it is.
    pub address: SocketAddr,
}

/// How the leader reaches registered back ends and the authority that promotes them.
pub trait RegistryCalls: Send + Sync + std::fmt::Debug {
    /// Asks a member for its status; with `hold`, keeps it from receiving first, in a term above
    /// its own.
    fn status(&self, call: MemberCall, hold: bool) -> LocalBoxFuture<'static, MemberAnswer>;

    /// Lets a held member receive again.
    fn release(&self, call: MemberCall) -> LocalBoxFuture<'static, ()>;

    /// Calls the authority, once.
    fn promote(
        &self,
        group: GroupName,
        target: MemberName,
        fence: u64,
    ) -> LocalBoxFuture<'static, PromotionAnswer>;
}

/// What came of a call.
#[derive(Debug)]
pub(crate) enum RegistryAnswer {
    /// What came of a question to a member.
    Status(MemberCall, MemberAnswer),
    /// The authority's answer to the call under a fence.
    Promotion(GroupName, u64, PromotionAnswer),
}

/// Makes calls on an arbiter, many at once.
#[derive(Clone)]
pub(crate) struct RegistryCaller {
    pub(crate) calls: Arc<dyn RegistryCalls>,
    pub(crate) arbiter: ArbiterHandle,
    pub(crate) consensus: ConsensusHandle,
    pub(crate) stop: StopSignal,
}

impl RegistryCaller {
    /// Starts what the duty wants; answers reach the consensus thread as inputs. A command for
    /// the log is given back.
    pub(crate) fn start(&self, action: PromotionAction) {
        let caller = self.clone();
        self.arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                let stop = caller.stop.clone();
                tokio::select! {
                    () = caller.run(action) => (),
                    () = stop.stopped() => (),
                }
            });
        });
    }

    async fn run(self, action: PromotionAction) {
        let answer = match action {
            PromotionAction::Ask { group, member, address, hold } => {
                let call = MemberCall { group, member, address };
                let status = timeout(STATUS_LIMIT, self.calls.status(call.clone(), hold)).await;
                RegistryAnswer::Status(call, status.unwrap_or(MemberAnswer::Silent))
            }
            PromotionAction::Call { group, target, fence } => {
                log::info!(group:% = group, member:% = target, fence; "promotion is called for");
                let call = self.calls.promote(group.clone(), target, fence);
                let answer = timeout(PROMOTION_LIMIT, call).await;
                let answer = answer.unwrap_or(PromotionAnswer::Unknown);
                log::info!(group:% = group, fence, answer:? = answer; "promotion answered");
                RegistryAnswer::Promotion(group, fence, answer)
            }
            PromotionAction::Release { group, member, address } => {
                let call = MemberCall { group, member, address };
                // A member that does not hear it is released by the next promotion or restart.
                drop(timeout(STATUS_LIMIT, self.calls.release(call)).await);
                return;
            }
            PromotionAction::Propose(_) => return,
        };
        // An error says that the thread has ended: no one waits for the answer.
        let _ = self.consensus.send(ConsensusInput::Registry(answer));
    }
}
