//! Makes the calls that the core's promotion duty wants, on an arbiter, each with its limit.
//!
//! Owns how long a call may take; its answer reaches the consensus thread as an input.

use super::call::{MemberCall, RegistryAnswer, RegistryCalls};
use crate::consensus::{ConsensusHandle, ConsensusInput};
use crate::stop::StopSignal;
use actix_rt::ArbiterHandle;
use corktack_core::registry::{MemberAnswer, PromotionAction, PromotionAnswer};
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for a member's status. Chosen, not measured; a lower value takes slow members for silent
/// ones, a higher one puts a promotion off.
const STATUS_LIMIT: Duration = Duration::from_millis(600);
/// Longest wait for the authority: an unanswered call is made again under the same fence. Chosen, not
/// measured; a lower value repeats calls that are only slow, a higher one adds to the time after a lost one.
const PROMOTION_LIMIT: Duration = Duration::from_millis(1_000);

/// Makes calls on an arbiter, many at once.
#[derive(Clone)]
pub(crate) struct RegistryCaller {
    pub(crate) calls: RegistryCalls,
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
                let status =
                    timeout(STATUS_LIMIT, self.calls.members.status(call.clone(), hold)).await;
                RegistryAnswer::Status(call, status.unwrap_or(MemberAnswer::Silent))
            }
            PromotionAction::Call { group, target, fence } => {
                log::info!(group:% = group, member:% = target, fence; "promotion is called for");
                let call = self.calls.authority.promote(group.clone(), target, fence);
                let answer = timeout(PROMOTION_LIMIT, call).await;
                let answer = answer.unwrap_or(PromotionAnswer::Unknown);
                log::info!(group:% = group, fence, answer:? = answer; "promotion answered");
                RegistryAnswer::Promotion(group, fence, answer)
            }
            PromotionAction::Release { group, member, address } => {
                let call = MemberCall { group, member, address };
                // A member that misses it is released by the next promotion or restart.
                drop(timeout(STATUS_LIMIT, self.calls.members.release(call)).await);
                return;
            }
            PromotionAction::Propose(_) => return,
        };
        // An error says that the thread has ended: no one waits for the answer.
        let _ = self.consensus.send(ConsensusInput::Registry(answer));
    }
}
