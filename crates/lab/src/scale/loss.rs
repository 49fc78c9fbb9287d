//! Who has learned what replaces the lost part of a fleet, and when.

use super::observe::Changed;
use corktack_core::identity::{GroupName, MemberName, ProxyName};
use corktack_core::view::{GroupView, View};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// What a group can lose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Its primary.
    Primary,
    /// Its owner.
    Owner,
}

/// How many nodes have a live replacement of one lost part in force.
#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    having: usize,
    /// When the first of all saw the change begin: no part, or a live one.
    begun: Option<Duration>,
    /// When the first of all had one.
    first: Option<Duration>,
    /// When the last of all had one; none while any has not.
    complete: Option<Duration>,
}

/// A loss of members and proxies, and who has their replacements in force.
#[derive(Debug)]
pub struct Loss {
    at: Instant,
    survivors: usize,
    members: BTreeSet<MemberName>,
    proxies: BTreeSet<ProxyName>,
    marks: Mutex<BTreeMap<(GroupName, Part), Mark>>,
}

impl Loss {
    /// The loss, now, of members and proxies that a configuration names.
    #[must_use]
    pub fn new(
        view: &View,
        survivors: usize,
        members: BTreeSet<MemberName>,
        proxies: BTreeSet<ProxyName>,
    ) -> Self {
        let at = Instant::now();
        let loss = Self { at, survivors, members, proxies, marks: Mutex::default() };
        for (name, group) in &view.groups {
            for part in [Part::Primary, Part::Owner] {
                if !loss.is_live(group, part) {
                    loss.lock().insert((name.clone(), part), Mark::default());
                }
            }
        }
        loss
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(GroupName, Part), Mark>> {
        self.marks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_live(&self, group: &GroupView, part: Part) -> bool {
        match part {
            Part::Primary => group.primary.as_ref().is_some_and(|it| !self.members.contains(it)),
            Part::Owner => group.owner.as_ref().is_some_and(|it| !self.proxies.contains(it)),
        }
    }

    /// Time since the loss.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.at.elapsed()
    }

    /// Groups that lost a part.
    #[must_use]
    pub fn count(&self, part: Part) -> usize {
        self.lock().keys().filter(|(_, it)| *it == part).count()
    }

    /// Times until every survivor had a live replacement of a part, milliseconds, sorted;
    /// one for each group whose replacement all have.
    #[must_use]
    pub fn millis(&self, part: Part) -> Vec<f64> {
        self.sorted_millis(part, |mark| mark.complete)
    }

    /// Times until the first survivor had one.
    #[must_use]
    pub fn first_millis(&self, part: Part) -> Vec<f64> {
        self.sorted_millis(part, |mark| mark.first)
    }

    /// Times until the first survivor knew that a part is being replaced.
    #[must_use]
    pub fn begun_millis(&self, part: Part) -> Vec<f64> {
        self.sorted_millis(part, |mark| mark.begun)
    }

    fn sorted_millis(&self, part: Part, time: fn(&Mark) -> Option<Duration>) -> Vec<f64> {
        let marks = self.lock();
        let of_part = marks.iter().filter(|((_, it), _)| *it == part);
        let times = of_part.filter_map(|(_, mark)| time(mark));
        let mut millis: Vec<f64> = times.map(|it| it.as_secs_f64() * 1_000.0).collect();
        millis.sort_by(f64::total_cmp);
        millis
    }

    /// Whether every survivor has a live replacement of all that was lost.
    #[must_use]
    pub fn is_repaired(&self) -> bool {
        self.lock().values().all(|mark| mark.complete.is_some())
    }

    /// Notes that a part is no longer the lost one.
    fn note_begun(&self, name: &GroupName, part: Part) {
        if let Some(mark) = self.lock().get_mut(&(name.clone(), part)) {
            mark.begun.get_or_insert_with(|| self.at.elapsed());
        }
    }

    fn note(&self, name: &GroupName, part: Part, has: bool) {
        let mut marks = self.lock();
        let Some(mark) = marks.get_mut(&(name.clone(), part)) else { return };
        if has {
            mark.first.get_or_insert_with(|| self.at.elapsed());
        }
        mark.having = if has { mark.having + 1 } else { mark.having.saturating_sub(1) };
        mark.complete = (mark.having >= self.survivors).then(|| self.at.elapsed());
    }
}

fn is_absent(group: &GroupView, part: Part) -> bool {
    match part {
        Part::Primary => group.primary.is_none(),
        Part::Owner => group.owner.is_none(),
    }
}

/// What one node has in force of a loss's replacements.
#[derive(Debug)]
pub struct FollowedLoss {
    loss: Arc<Loss>,
    has: BTreeMap<(GroupName, Part), bool>,
}

impl FollowedLoss {
    /// Follows a loss.
    #[must_use]
    pub fn new(loss: Arc<Loss>) -> Self {
        let has = loss.lock().keys().map(|key| (key.clone(), false)).collect();
        Self { loss, has }
    }

    /// Takes the configuration in force after a change.
    pub fn follow(&mut self, view: &View, changed: &Changed) {
        for name in changed.names(view) {
            for part in [Part::Primary, Part::Owner] {
                let Some(had) = self.has.get_mut(&(name.clone(), part)) else { continue };
                let group = view.groups.get(name);
                let has = group.is_some_and(|group| self.loss.is_live(group, part));
                if has || group.is_some_and(|group| is_absent(group, part)) {
                    self.loss.note_begun(name, part);
                }
                if std::mem::replace(had, has) != has {
                    self.loss.note(name, part, has);
                }
            }
        }
    }
}
