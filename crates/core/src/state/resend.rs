//! Outcomes of the latest operators' changes by change id, so that a resend gets the first answer.
//!
//! The memory is part of the control state, so that every replica gives the same answer.

use super::command::{CHANGE_ID_LIMIT, ChangeId, Outcome, Refusal, ResourceOperation};
use crate::view::Revision;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Maximum number of remembered changes; the oldest are dropped first. At 6,500 changes a day, the memory
/// covers three days, far longer than a client retries. With the longest ids and refusals, the memory adds
/// about nine million bytes to a snapshot.
pub const RESEND_MEMORY_LIMIT: usize = 20_000;

/// Keys of the digest, fixed so that every replica computes the same digest.
const DIGEST_KEYS: (u64, u64) = (0x636f_726b_7461_636b, 0x7265_7365_6e64_6964);

/// Field name of the change id in refusals.
const CHANGE_ID_FIELD: &str = "changeId";

/// Returns the digest of an operation, which distinguishes a resend from a reused change id.
pub(super) fn operation_digest(operation: &ResourceOperation) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(DIGEST_KEYS.0, DIGEST_KEYS.1);
    operation.hash(&mut hasher);
    hasher.finish()
}

/// Checks the length of a change id, which bounds the size of the memory.
pub(super) fn check_change_id(change: &ChangeId) -> Result<(), Refusal> {
    let length = change.0.len();
    if (1..=CHANGE_ID_LIMIT).contains(&length) {
        return Ok(());
    }
    let reason = format!("has {length} bytes, 1 to {CHANGE_ID_LIMIT} are allowed");
    Err(Refusal::Invalid { field: CHANGE_ID_FIELD.to_owned(), reason })
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RememberedOutcome {
    digest: u64,
    outcome: Outcome,
}

/// Outcomes by change id, at most [`RESEND_MEMORY_LIMIT`].
///
/// Refused changes are remembered too: a change id that conflicted once always conflicts, and a new attempt
/// needs a new id. Reusing an id for another operation is refused as invalid and leaves the remembered
/// outcome as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ResendMemory {
    outcomes: BTreeMap<ChangeId, RememberedOutcome>,
    /// Change ids by revision. Each revision has one change, so the lowest revision is the oldest change.
    order: BTreeMap<Revision, ChangeId>,
}

impl ResendMemory {
    /// Returns the first answer to the change, if it is remembered, or a refusal if the id was used for
    /// another operation.
    pub fn recall(&self, change: &ChangeId, digest: u64) -> Option<Outcome> {
        let remembered = self.outcomes.get(change)?;
        if remembered.digest == digest {
            return Some(remembered.outcome.clone());
        }
        let reason = "was used for another operation".to_owned();
        Some(Outcome::Refused(Refusal::Invalid { field: CHANGE_ID_FIELD.to_owned(), reason }))
    }

    /// Stores the answer to a change that is not in the memory yet, and drops the oldest beyond the limit.
    pub fn remember(
        &mut self,
        revision: Revision,
        change: ChangeId,
        digest: u64,
        outcome: Outcome,
    ) {
        self.order.insert(revision, change.clone());
        self.outcomes.insert(change, RememberedOutcome { digest, outcome });
        while self.order.len() > RESEND_MEMORY_LIMIT {
            let Some((_, oldest)) = self.order.pop_first() else { break };
            self.outcomes.remove(&oldest);
        }
    }
}
