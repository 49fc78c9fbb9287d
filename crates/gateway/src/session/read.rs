//! Reads outside a transaction: offered to one member after the other.
//!
//! It is for [`alone`](super::alone). It owns which members have had the read and what the caller is told in the
//! end. It relies on the group to choose the next member.

use super::Session;
use super::alone::{Lone, Offer};
use super::response::Response;
use crate::error::AcquireError;
use crate::group::Target;
use crate::wire::Wire;
use corktack_core::gateway::ReadBound;
use corktack_core::identity::MemberName;
use corktack_core::statement::{ErrorCode, TransactionState};
use corktack_protocol::tunnel::LoneKind;
use std::collections::BTreeSet;

/// Members that a read is offered to in all, those that refused without running it included. Chosen, not
/// measured: lower leaves members untried, higher spends the time of the read on refusals.
const OFFER_LIMIT: u32 = 6;

/// The outcome of a read so far.
#[derive(Default)]
struct Attempts {
    /// Members that are not offered it again.
    passed_over: BTreeSet<MemberName>,
    /// How often it may have run.
    runs: u32,
    /// Why a member did not run it last.
    refusal: String,
    /// What the last run that brought no result says to the caller.
    unsuccessful: Option<Response>,
}

/// What comes after an offer.
enum Next {
    Answer(Response),
    Go,
}

impl Attempts {
    /// Takes the outcome of an offer to a member.
    async fn take<W: Wire>(
        &mut self,
        lone: &Lone<'_, W>,
        member: MemberName,
        offer: Offer,
    ) -> Next {
        match offer {
            Offer::Done(response) => return Next::Answer(response),
            Offer::NotRun(why) => self.refusal = why,
            Offer::Failed(response) => {
                self.runs += 1;
                self.unsuccessful = Some(response);
            }
            Offer::Lost { why, by_member } => {
                self.runs += 1;
                self.unsuccessful = Some(timed_out(&why));
                if !by_member {
                    return self.unless_over(lone).await;
                }
            }
        }
        self.passed_over.insert(member);
        self.unless_over(lone).await
    }

    async fn unless_over<W: Wire>(&mut self, lone: &Lone<'_, W>) -> Next {
        if self.unsuccessful.is_none() || !lone.is_over(self.runs).await {
            return Next::Go;
        }
        self.unsuccessful.take().map_or(Next::Go, Next::Answer)
    }

    /// The answer where no member is left. That a read was not run is said only of one that was not.
    fn wait_deadline(self, error: &AcquireError) -> Response {
        let refused = || Response::refused(error, &self.refusal, TransactionState::Idle);
        self.unsuccessful.unwrap_or_else(refused)
    }
}

impl<W: Wire> Session<W> {
    /// A read that any member may serve that is fresh enough.
    pub(super) async fn read_anywhere(&mut self, lone: &Lone<'_, W>, bound: ReadBound) -> Response {
        let mut attempts = Attempts::default();
        for _ in 0..OFFER_LIMIT {
            let target = Target::Reader { refused: attempts.passed_over.clone() };
            let offered = self.offer(lone, target, LoneKind::Read { bound }).await;
            match offered {
                Ok((member, offer)) => {
                    if let Next::Answer(response) = attempts.take(lone, member, offer).await {
                        return response;
                    }
                }
                Err(
                    ref error @ (AcquireError::Unreachable(ref member)
                    | AcquireError::Full(ref member)),
                ) => {
                    self.attempted(&error.to_string());
                    attempts.passed_over.insert(member.clone());
                }
                Err(AcquireError::NoHolder(_)) if !lone.may_wait_no_more() => (),
                Err(AcquireError::NoMember) if !attempts.passed_over.is_empty() => break,
                Err(AcquireError::NoPosition) => break,
                Err(error) => return attempts.wait_deadline(&error),
            }
        }
        self.read_from_primary(lone, attempts).await
    }

    /// A read that only the primary may serve.
    pub(super) async fn read_at_primary(&mut self, lone: &Lone<'_, W>) -> Response {
        self.read_from_primary(lone, Attempts::default()).await
    }

    async fn read_from_primary(&mut self, lone: &Lone<'_, W>, mut attempts: Attempts) -> Response {
        loop {
            match self.offer(lone, Target::Primary, LoneKind::ReadAtPrimary).await {
                Ok((member, offer)) => {
                    if let Next::Answer(response) = attempts.take(lone, member, offer).await {
                        return response;
                    }
                }
                Err(error) if error.is_transient() && !lone.may_wait_no_more() => {}
                Err(error) => return attempts.wait_deadline(&error),
            }
            if lone.may_wait_no_more() {
                return attempts.wait_deadline(&AcquireError::NoMember);
            }
        }
    }
}

fn timed_out(error: &str) -> Response {
    let text = format!("the read has no answer: {error}");
    Response::failure(ErrorCode::TimedOut, &text, TransactionState::Idle)
}
