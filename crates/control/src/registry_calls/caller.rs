//! Makes the calls that the core's promotion duty requests, on an arbiter and each with a timeout.
//!
//! The results reach the consensus thread as inputs.

use super::call::{MemberTarget, RegistryAnswer, RegistryCalls};
use super::order::CallOrder;
use crate::consensus::{ConsensusHandle, ConsensusInput};
use crate::stop::StopSignal;
use actix_rt::ArbiterHandle;
use corktack_core::registry::{MemberAnswer, PromotionAction, PromotionAnswer};
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for a member's status. A shorter timeout takes slow members for silent ones; a longer one
/// delays a promotion.
const STATUS_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest wait for the authority. An unanswered call is repeated with the same fencing token. A shorter
/// timeout repeats calls that are only slow; a longer one delays the repetition of a lost call.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Makes calls on an arbiter, concurrently.
#[derive(Clone)]
pub(crate) struct RegistryCaller {
    pub(crate) calls: RegistryCalls,
    pub(crate) arbiter: ArbiterHandle,
    pub(crate) consensus: ConsensusHandle,
    pub(crate) stop: StopSignal,
    /// Order of the calls that hold and release a member.
    pub(crate) order: CallOrder,
}

impl RegistryCaller {
    /// Starts the call for an action; the result reaches the consensus thread as an input. A proposal is
    /// ignored, as the caller handles it.
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
            PromotionAction::RequestStatus { group, member, address, hold, asked_at } => {
                let call = MemberTarget { group, member, address };
                let _turn = if hold { Some(self.order.turn(address).await) } else { None };
                let status =
                    timeout(STATUS_TIMEOUT, self.calls.members.status(call.clone(), hold)).await;
                RegistryAnswer::Status(call, asked_at, status.unwrap_or(MemberAnswer::Silent))
            }
            PromotionAction::RequestPromotion { group, target, fence } => {
                log::info!(group:% = group, member:% = target, fence; "promotion is called for");
                let call = self.calls.authority.promote(group.clone(), target, fence);
                let answer = timeout(PROMOTION_TIMEOUT, call).await;
                let answer = answer.unwrap_or(PromotionAnswer::Unknown);
                log::info!(group:% = group, fence, answer:? = answer; "promotion answered");
                RegistryAnswer::Promotion(group, fence, answer)
            }
            PromotionAction::Release { group, member, address } => {
                let call = MemberTarget { group, member, address };
                // A member that misses this call is released by the next promotion or restart.
                let _turn = self.order.turn(call.address).await;
                drop(timeout(STATUS_TIMEOUT, self.calls.members.release(call)).await);
                return;
            }
            PromotionAction::Propose(_) => return,
        };
        // An error means that the thread has ended, so nobody waits for the answer.
        let _ = self.consensus.send(ConsensusInput::RegistryAnswer(answer));
    }
}
