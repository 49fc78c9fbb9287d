//! Memory of answered changes, so that a resend gets the first answer.
//!
//! Owns the outcomes of the last changes by their ids. It is part of the control state, so that every replica gives
//! the same answer.

use super::command::{CHANGE_ID_LIMIT, ChangeId, Outcome, Refusal, ResourceOperation};
use crate::view::Revision;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Changes remembered; the oldest are forgotten first. At 6,500 changes a day
/// this is three days, far over the time after which a client gives up. With the
/// longest ids and refusals the memory adds about nine million bytes to a snapshot.
pub const RESEND_MEMORY_LIMIT: usize = 20_000;

/// Fixed keys: every replica must compute the same digest.
const DIGEST_KEYS: (u64, u64) = (0x636f_726b_7461_636b, 0x7265_7365_6e64_6964);

/// Path of the change id, as refusals name it.
const CHANGE_ID_FIELD: &str = "changeId";

/// Digest of an operation, to tell a resend from a change id used twice.
pub(super) fn operation_digest(operation: &ResourceOperation) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(DIGEST_KEYS.0, DIGEST_KEYS.1);
    operation.hash(&mut hasher);
    hasher.finish()
}

/// Refuses ids that would make the memory grow without bound.
pub(super) fn check_change_id(change: &ChangeId) -> Result<(), Refusal> {
    let length = change.0.len();
    if (1..=CHANGE_ID_LIMIT).contains(&length) {
        return Ok(());
    }
    let reason = format!("has {length} bytes, 1 to {CHANGE_ID_LIMIT} are allowed");
    Err(Refusal::Invalid { field: CHANGE_ID_FIELD.to_owned(), reason })
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Remembered {
    digest: u64,
    outcome: Outcome,
}

/// Outcomes by change id, bounded by [`RESEND_MEMORY_LIMIT`].
///
/// Refused changes are remembered too: a conflict stays a conflict for its id,
/// and a new attempt needs a new id. An id used again for another operation is
/// refused as invalid and does not change what is remembered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ResendMemory {
    outcomes: BTreeMap<ChangeId, Remembered>,
    /// One change per revision, so the lowest revision is the oldest change.
    order: BTreeMap<Revision, ChangeId>,
}

impl ResendMemory {
    /// The first answer to the change, if it is remembered.
    pub fn recall(&self, change: &ChangeId, digest: u64) -> Option<Outcome> {
        let remembered = self.outcomes.get(change)?;
        if remembered.digest == digest {
            return Some(remembered.outcome.clone());
        }
        let reason = "was used for another operation".to_owned();
        Some(Outcome::Refused(Refusal::Invalid { field: CHANGE_ID_FIELD.to_owned(), reason }))
    }

    /// Remembers the answer to a change that is not remembered yet.
    pub fn remember(
        &mut self,
        revision: Revision,
        change: ChangeId,
        digest: u64,
        outcome: Outcome,
    ) {
        self.order.insert(revision, change.clone());
        self.outcomes.insert(change, Remembered { digest, outcome });
        while self.order.len() > RESEND_MEMORY_LIMIT {
            let Some((_, oldest)) = self.order.pop_first() else { break };
            self.outcomes.remove(&oldest);
        }
    }
}
