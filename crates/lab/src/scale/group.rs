//! A hollow group: term, role and position of its members, in memory.
//!
//! Replication is instantaneous: a promotion reaches all members that are alive in the
//! same moment. What a member promises and refuses is as in [`corktack_core::backend`].

use corktack_core::backend::{MemberRole, MemberStatus};
use corktack_core::identity::MemberName;
use corktack_core::position::{Position, Term};
use corktack_protocol::control::MemberHealth;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio::time::Instant;

/// Term of the primary that a new group has.
const FIRST_TERM: Term = Term(1);
/// Index of the last entry of a new group.
const FIRST_INDEX: u64 = 100;

/// Whether a member answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It answers.
    Alive,
    /// Its connections are closed, and new ones are refused.
    Refusing,
    /// Its connections stay open, and nothing is answered on them.
    Silent,
}

/// Why a fence or a promotion is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A higher term was promised, or the term has another primary.
    #[error("term {promised} was promised")]
    Term {
        /// The highest promise.
        promised: Term,
    },
    /// The member did not promise the term that it should rule.
    #[error("the term was not promised")]
    NotPromised,
    /// Fewer than a majority of the members answer.
    #[error("no majority answers")]
    NoMajority,
}

#[derive(Debug)]
struct Member {
    name: MemberName,
    role: MemberRole,
    promised: Term,
    last: Position,
    dead_since: Option<Instant>,
    life: watch::Sender<Life>,
}

/// A group of hollow members, known by their places.
#[derive(Debug)]
pub struct HollowGroup {
    members: Mutex<Vec<Member>>,
}

impl HollowGroup {
    /// A group whose member in this place is primary, followed by the others.
    #[must_use]
    pub fn new(names: Vec<MemberName>, primary: usize) -> Self {
        let member = |(place, name)| Member {
            name,
            role: if place == primary { MemberRole::Primary } else { MemberRole::Replica },
            promised: FIRST_TERM,
            last: Position { term: FIRST_TERM, index: FIRST_INDEX },
            dead_since: None,
            life: watch::Sender::new(Life::Alive),
        };
        Self { members: Mutex::new(names.into_iter().enumerate().map(member).collect()) }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Member>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of members.
    #[must_use]
    pub fn size(&self) -> usize {
        self.lock().len()
    }

    /// Tells when a member's life changes.
    #[must_use]
    pub fn follow_life(&self, place: usize) -> watch::Receiver<Life> {
        self.lock()[place].life.subscribe()
    }

    /// Makes a member dead, for good.
    pub fn kill(&self, place: usize, life: Life) {
        let member = &mut self.lock()[place];
        member.dead_since.get_or_insert_with(Instant::now);
        member.life.send_replace(life);
    }

    /// What a member says of itself, with the member that it follows.
    #[must_use]
    pub fn status(&self, place: usize) -> (MemberStatus, Option<MemberName>) {
        let members = self.lock();
        let Member { name, role, promised, last, .. } = &members[place];
        let status = MemberStatus {
            member: name.clone(),
            role: *role,
            promised_term: *promised,
            last_position: *last,
            applied_position: Position { term: *promised, index: last.index },
        };
        let rules = |it: &&Member| it.role == MemberRole::Primary && it.promised == *promised;
        let followed = members.iter().find(rules).filter(|_| *role != MemberRole::Fenced);
        (status, followed.map(|it| it.name.clone()))
    }

    /// Name, and health as a prober sees it, of the member in this place; none for the
    /// health of one that is dead, with the time of its death.
    pub fn health(&self, place: usize) -> (MemberName, Result<MemberHealth, Instant>) {
        let members = self.lock();
        let Member { name, role, promised, dead_since, .. } = &members[place];
        let health = match role {
            MemberRole::Primary => MemberHealth::Primary(*promised),
            MemberRole::Replica => MemberHealth::Replica(*promised),
            MemberRole::Fenced => MemberHealth::Fenced(*promised),
        };
        (name.clone(), dead_since.map_or(Ok(health), Err))
    }

    /// Makes a member promise a term; gives its promise and the end of its log.
    ///
    /// # Errors
    /// [`Refusal::Term`] when it promised a higher one.
    pub fn fence(&self, place: usize, term: Term) -> Result<(Term, Position), Refusal> {
        let member = &mut self.lock()[place];
        if member.promised > term {
            return Err(Refusal::Term { promised: member.promised });
        }
        if member.promised < term {
            member.promised = term;
            member.role = MemberRole::Fenced;
        }
        Ok((member.promised, member.last))
    }

    /// Makes a fenced member primary of the term it promised, once a majority follows it.
    ///
    /// # Errors
    /// [`Refusal`] tells why not.
    pub fn promote(&self, place: usize, term: Term) -> Result<Position, Refusal> {
        let mut members = self.lock();
        let member = &members[place];
        let promised = member.promised;
        if promised > term || (promised == term && member.role == MemberRole::Replica) {
            return Err(Refusal::Term { promised });
        }
        if promised < term {
            return Err(Refusal::NotPromised);
        }
        if member.role == MemberRole::Primary {
            return Ok(member.last);
        }
        let follows = |it: &Member| it.dead_since.is_none() && it.promised <= term;
        if members.iter().filter(|it| follows(it)).count() * 2 <= members.len() {
            return Err(Refusal::NoMajority);
        }
        let last = Position { term, index: members[place].last.index + 1 };
        for member in members.iter_mut().filter(|it| follows(it)) {
            member.role = MemberRole::Replica;
            member.promised = term;
            member.last = last;
        }
        members[place].role = MemberRole::Primary;
        Ok(last)
    }
}
