//! Log positions that a read must see, from a group's committed positions and their ages.
//!
//! A gateway learns committed positions from answers that only a primary gives. Each position is
//! dated to the moment *before* the question was sent, because it includes everything acknowledged
//! earlier.
//!
//! Gateways report the newest position that they know to each other, with its age. The receiving
//! gateway counts the age back from the moment before it asked, on its own clock. A position from
//! before that clock began is not used: with any later date, the position would pass for younger
//! than it is, and reads based on it would miss commits that were acknowledged meanwhile.
//!
//! [`Freshness`] owns the positions of one group's primary over the last seconds. It relies on the
//! gateway for times taken before each question, and on primaries that prove their leadership.

use crate::position::Position;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum time between two stored samples, as closer ones add no precision to a staleness bound.
/// With a shorter spacing, more samples are stored (at most 250 with this one); with a longer one,
/// reads wait for younger positions than they need.
const SAMPLE_SPACING: Duration = Duration::from_millis(40);
/// How long samples are kept. No staleness bound served from replicas is longer, so no read needs
/// an older sample.
pub const POSITION_RETENTION: Duration = Duration::from_secs(10);

/// A position and the time at which the gateway learned of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownPosition {
    /// Position in the group's log.
    pub position: Position,
    /// When the answer with the position was received.
    pub known_at: Timestamp,
}

/// A position reported with an age that goes back to before the clock of this gateway began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the position is {age:?} old, which this gateway's clock does not reach back to")]
pub struct PositionTooOld {
    /// Age that the position was reported with.
    pub age: Duration,
}

/// The peer from which a gateway knows a position of the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PositionSource {
    /// The primary answered this gateway.
    Primary,
    /// Another gateway reported the primary's answer.
    Gateway,
}

/// A session's own commit, as reported to the gateway that serves a read of the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnPosition {
    /// Position of the commit.
    pub position: Position,
    /// Time since the commit was acknowledged.
    pub age: Duration,
}

/// Consistency that a read requires of the replica that serves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBound {
    /// The read may miss commits that were acknowledged less than this time before the read began.
    pub staleness: Duration,
    /// The session's own last commit, which the read may not miss.
    pub own: Option<OwnPosition>,
}

/// The position that a member must hold to serve a read, and its basis.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPosition {
    /// Position that the member must hold.
    pub needed: Position,
    /// Time since the question of the newest sample, whichever source the answer came from.
    pub newest_age: Duration,
    /// Sample that the position is based on, the session's own commit left aside.
    pub basis: FloorBasis,
}

/// Age and source of the sample that a read's position is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorBasis {
    /// Time from the question to the primary until the read began; zero if the question was sent
    /// later.
    pub age: Duration,
    /// The peer that gave the answer.
    pub source: PositionSource,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    asked_at: Timestamp,
    position: Position,
    source: PositionSource,
}

/// Committed positions of one group's primary over the last seconds.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// Samples in the order of their questions.
    samples: VecDeque<Sample>,
    latest: Option<Sample>,
}

impl Freshness {
    /// Records a position that a proven primary gave in answer to a question sent at `asked_at`.
    ///
    /// A position of a higher term, or with a lower index than an earlier question brought, means
    /// that the primary changed and may have rolled back entries that it lacked. No member will
    /// ever hold those, so no read may wait for them. A primary holds everything that remains of
    /// earlier terms, so its position replaces the positions of those terms.
    pub fn record_position(&mut self, asked_at: Timestamp, position: Position) {
        self.insert_sample(Sample { asked_at, position, source: PositionSource::Primary });
    }

    fn insert_sample(&mut self, newest: Sample) {
        if self.latest.is_some_and(|latest| latest.asked_at > newest.asked_at) {
            return;
        }
        for sample in &mut self.samples {
            if is_superseded(sample.position, newest.position) {
                sample.position = newest.position;
                sample.source = newest.source;
            }
        }
        self.latest = Some(newest);
        let older_by = |sample: &Sample| newest.asked_at - sample.asked_at;
        if self.samples.back().is_none_or(|last| older_by(last) >= SAMPLE_SPACING) {
            self.samples.push_back(newest);
        }
        while self.samples.front().is_some_and(|first| older_by(first) > POSITION_RETENTION) {
            self.samples.pop_front();
        }
    }

    /// Records the newest position that another gateway knows. That gateway was asked at
    /// `asked_at`, and reported that it had asked the primary `age` before its answer.
    ///
    /// # Errors
    /// [`PositionTooOld`] if this gateway's clock does not reach back to that moment; nothing is
    /// recorded.
    pub fn record_reported(
        &mut self,
        asked_at: Timestamp,
        age: Duration,
        position: Position,
    ) -> Result<(), PositionTooOld> {
        // The answer was given later than `asked_at`, so the question is no older than this.
        let asked_at = asked_at.checked_sub(age).ok_or(PositionTooOld { age })?;
        self.insert_sample(Sample { asked_at, position, source: PositionSource::Gateway });
        Ok(())
    }

    /// Returns the lowest known position that includes every commit acknowledged more than
    /// `staleness` before `began`, or `None` if no question is recent enough and the primary must
    /// be asked.
    #[must_use]
    pub fn floor(&self, began: Timestamp, staleness: Duration) -> Option<Position> {
        self.floor_sample(began, staleness).map(|sample| sample.position)
    }

    /// Returns the age and source of the sample that [`Freshness::floor`] is based on.
    #[must_use]
    pub fn floor_basis(&self, began: Timestamp, staleness: Duration) -> Option<FloorBasis> {
        let sample = self.floor_sample(began, staleness)?;
        Some(FloorBasis { age: began - sample.asked_at, source: sample.source })
    }

    fn floor_sample(&self, began: Timestamp, staleness: Duration) -> Option<&Sample> {
        let is_recent_enough = |sample: &&Sample| sample.asked_at + staleness >= began;
        self.samples.iter().find(is_recent_enough).or(self.latest.as_ref().filter(is_recent_enough))
    }

    /// Returns the time since the question of the newest sample, or `None` without samples.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.latest.map(|latest| now - latest.asked_at)
    }

    /// Returns the age and position of the newest sample, for use by another gateway, or `None` if
    /// the sample is older than [`POSITION_RETENTION`], because no staleness bound is that long.
    #[must_use]
    pub fn newest(&self, now: Timestamp) -> Option<(Duration, Position)> {
        let latest = self.latest?;
        let age = now - latest.asked_at;
        (age <= POSITION_RETENTION).then_some((age, latest.position))
    }

    /// Returns the position that a session's own commit requires of a read. If a primary that took
    /// over may have rolled the commit back, that is the primary's position; a question sent after
    /// the commit was acknowledged shows this.
    fn resolve_own_commit(&self, own: KnownPosition) -> Position {
        match self.latest {
            Some(latest)
                if latest.asked_at > own.known_at
                    && is_superseded(own.position, latest.position) =>
            {
                latest.position
            }
            _ => own.position,
        }
    }

    /// Returns the position that a read beginning now must see, or `None` if no question to the
    /// primary is recent enough.
    ///
    /// A commit whose age goes back to before this clock began was acknowledged before every
    /// question recorded here.
    #[must_use]
    pub fn read_position(&self, now: Timestamp, bound: &ReadBound) -> Option<ReadPosition> {
        let own = bound.own.map(|own| KnownPosition {
            position: own.position,
            known_at: now.checked_sub(own.age).unwrap_or(Timestamp::ZERO),
        });
        Some(ReadPosition {
            needed: self.required_position(now, bound.staleness, own)?,
            newest_age: self.age(now)?,
            basis: self.floor_basis(now, bound.staleness)?,
        })
    }

    /// Returns the position that a read must see: the higher of the floor and the session's own
    /// commit, or `None` if there is no floor.
    #[must_use]
    pub fn required_position(
        &self,
        began: Timestamp,
        staleness: Duration,
        own: Option<KnownPosition>,
    ) -> Option<Position> {
        let floor = self.floor(began, staleness)?;
        let own = own.map(|own| self.resolve_own_commit(own));
        // The order is by term first, because a member on the branch of an old term may have the
        // longer log.
        Some(own.map_or(floor, |own| own.max(floor)))
    }
}

/// Reports whether a position may have been rolled back before a proven primary gave `newer`.
fn is_superseded(position: Position, newer: Position) -> bool {
    position.term < newer.term || position.index > newer.index
}
