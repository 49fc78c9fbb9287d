//! How much of a group's log a read must see.
//!
//! A gateway knows committed positions from answers that only a primary gives. Each counts from
//! the moment *before* the question was sent: whatever was acknowledged earlier is in it.
//!
//! Gateways tell each other the newest position that they know and its age. The age is counted back
//! from the moment before the other gateway was asked, on this gateway's own clock. Where that clock
//! does not reach back so far, the position is not used: dated any later, it would pass for younger
//! than it is, and reads by it would lack commits that were acknowledged meanwhile.
//!
//! Owns the positions of one group's primary over the last seconds. Relies on the gateway for times taken before
//! each question, and on primaries that prove that they lead.

use crate::position::Position;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Samples closer to each other than this say nothing new of any staleness bound. Chosen, not measured: with
/// less, more samples are kept (250 at most now); with more, reads wait for positions younger than they need.
const SAMPLE_SPACING: Duration = Duration::from_millis(40);
/// How long samples are kept: no staleness bound served from replicas is longer than this, so that none needs an
/// older one.
pub const POSITION_RETENTION: Duration = Duration::from_secs(10);

/// A position and when it came to be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownPosition {
    /// The position.
    pub position: Position,
    /// When the answer that carried it was received.
    pub known_at: Timestamp,
}

/// A position that was reported with an age from before the clock of this gateway began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the position is {age:?} old, which this gateway's clock does not reach back to")]
pub struct PositionTooOld {
    /// The age it was reported with.
    pub age: Duration,
}

/// From whom a gateway knows a position of the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PositionSource {
    /// The primary answered this gateway.
    Primary,
    /// Another gateway reported what the primary had answered it.
    Gateway,
}

/// A session's own commit, as it is reported to the gateway that serves a read of the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnPosition {
    /// Its position.
    pub position: Position,
    /// Time since it was acknowledged.
    pub age: Duration,
}

/// What a read that a replica may serve must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBound {
    /// It may miss commits that were acknowledged less than this long before it began.
    pub staleness: Duration,
    /// It may not miss the session's own last commit.
    pub own: Option<OwnPosition>,
}

/// The position that a member must hold to serve a read, and what it was chosen by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPosition {
    /// The position.
    pub needed: Position,
    /// Time since the primary was last asked, however that answer came.
    pub newest_age: Duration,
    /// What the position rests on, the session's own commit left aside.
    pub basis: FloorBasis,
}

/// What the position rests on that a read must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorBasis {
    /// Time from the question to the primary until the read began; zero when it was asked later.
    pub age: Duration,
    /// From whom the answer came.
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
    /// By the time of the question.
    samples: VecDeque<Sample>,
    latest: Option<Sample>,
}

impl Freshness {
    /// Notes a position that a proven primary gave in answer to a question sent at `asked_at`.
    ///
    /// A higher term, or a lower index than an earlier question brought, says that the primary
    /// changed and may have rolled back what it lacked: no member will ever hold that, so nothing
    /// may wait for it. A primary holds all that is left of earlier terms, so its own position
    /// takes the place of theirs.
    pub fn note(&mut self, asked_at: Timestamp, position: Position) {
        self.note_sample(Sample { asked_at, position, source: PositionSource::Primary });
    }

    fn note_sample(&mut self, newest: Sample) {
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
        let since = |sample: &Sample| newest.asked_at - sample.asked_at;
        if self.samples.back().is_none_or(|last| since(last) >= SAMPLE_SPACING) {
            self.samples.push_back(newest);
        }
        while self.samples.front().is_some_and(|first| since(first) > POSITION_RETENTION) {
            self.samples.pop_front();
        }
    }

    /// Notes the newest position that another gateway knows: it was asked at `asked_at`, and said
    /// that it had asked the primary `age` before it answered.
    ///
    /// # Errors
    /// [`PositionTooOld`] when this gateway's clock does not reach back to that moment; nothing is noted.
    pub fn note_reported(
        &mut self,
        asked_at: Timestamp,
        age: Duration,
        position: Position,
    ) -> Result<(), PositionTooOld> {
        // The answer was given later than `asked_at`, so the question is no older than this.
        let asked_at = asked_at.before(age).ok_or(PositionTooOld { age })?;
        self.note_sample(Sample { asked_at, position, source: PositionSource::Gateway });
        Ok(())
    }

    /// A position that holds every commit acknowledged more than `staleness` before `began`; the
    /// lowest known. None when no question is young enough: the primary must be asked.
    #[must_use]
    pub fn floor(&self, began: Timestamp, staleness: Duration) -> Option<Position> {
        self.floor_sample(began, staleness).map(|sample| sample.position)
    }

    /// What [`Freshness::floor`] rests on.
    #[must_use]
    pub fn floor_basis(&self, began: Timestamp, staleness: Duration) -> Option<FloorBasis> {
        let sample = self.floor_sample(began, staleness)?;
        Some(FloorBasis { age: began - sample.asked_at, source: sample.source })
    }

    fn floor_sample(&self, began: Timestamp, staleness: Duration) -> Option<&Sample> {
        let young = |sample: &&Sample| sample.asked_at + staleness >= began;
        self.samples.iter().find(young).or(self.latest.as_ref().filter(young))
    }

    /// Time since the question of the newest sample; none without one.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.latest.map(|latest| now - latest.asked_at)
    }

    /// The newest sample as another gateway may use it: its age and the position. None where it is
    /// older than samples are kept: no bound is that long.
    #[must_use]
    pub fn newest(&self, now: Timestamp) -> Option<(Duration, Position)> {
        let latest = self.latest?;
        let age = now - latest.asked_at;
        (age <= POSITION_RETENTION).then_some((age, latest.position))
    }

    /// What a session's own commit asks of a read, after changes of primary that may have rolled
    /// it back: those were seen by a question sent after the commit was acknowledged.
    fn clip(&self, own: KnownPosition) -> Position {
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

    /// The position that a read must see which begins now. None when no question to the primary is
    /// young enough.
    ///
    /// A commit whose age this clock does not reach back to was acknowledged before every question
    /// that is known here.
    #[must_use]
    pub fn read_position(&self, now: Timestamp, bound: &ReadBound) -> Option<ReadPosition> {
        let own = bound.own.map(|own| KnownPosition {
            position: own.position,
            known_at: now.before(own.age).unwrap_or(Timestamp::ZERO),
        });
        Some(ReadPosition {
            needed: self.needed(now, bound.staleness, own)?,
            newest_age: self.age(now)?,
            basis: self.floor_basis(now, bound.staleness)?,
        })
    }

    /// The position a read must see: the floor and the session's own commits.
    #[must_use]
    pub fn needed(
        &self,
        began: Timestamp,
        staleness: Duration,
        own: Option<KnownPosition>,
    ) -> Option<Position> {
        let floor = self.floor(began, staleness)?;
        let own = own.map(|own| self.clip(own));
        // By term first: a member on the branch of an old term may have the longer log.
        Some(own.map_or(floor, |own| own.max(floor)))
    }
}

/// Whether a position may have been rolled back before a proven primary gave `newer`.
fn is_superseded(position: Position, newer: Position) -> bool {
    position.term < newer.term || position.index > newer.index
}
