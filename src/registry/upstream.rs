//! One upstream as this entry knows it.

use std::time::Duration;

use crate::clock::Moment;
use crate::id::NodeId;
use crate::registry::Announcement;
use crate::registry::Change;
use crate::registry::Standing;
use crate::registry::State;

/// How long an answer proves that an upstream does not drain: with the probe's
/// period below the 3 s within which a drain must be known.
pub(crate) const PROOF: Duration = Duration::from_millis(2500);

/// One upstream as this entry knows it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it said last; the state may be [`State::Gone`].
    pub announcement: Announcement,
    /// Entry that keeps its lease.
    pub home: Option<NodeId>,
    /// When this entry had proof of its own that the upstream is there.
    pub answered: Option<Moment>,
    /// Whether an answer without an incarnation said that it drains.
    pub(crate) draining: bool,
    /// When its incarnation was first announced, as this process's clock has it;
    /// negative times (before the start of the process) are kept as an age.
    pub(crate) born: Born,
    /// Until when answers to this entry count for more than the end of its lease; the
    /// registry clears it when that is over.
    pub(crate) contested: Option<Moment>,
    /// When a probe was last asked for.
    pub(crate) probed: Option<Moment>,
    /// When the home heard a renewal last, or when this entry became the home.
    pub(crate) renewed: Moment,
    pub(crate) revision: u32,
    /// When the state was taken note of.
    pub(crate) since: Moment,
}

/// Moment of a birth: known at `at` to have been `age` ago.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Born {
    pub(crate) age: Duration,
    pub(crate) at: Moment,
}

impl Upstream {
    /// Share of work in the first moment of the warm-up.
    pub const WARM_UP_START: f64 = 0.1;

    /// How long ago its incarnation was first announced.
    pub fn age(&self, now: Moment) -> Duration {
        self.born.age + now.saturating_sub(self.born.at)
    }

    /// When its incarnation was first announced; the start of this process where that
    /// was earlier.
    pub fn born_at(&self) -> Moment {
        self.born.at.saturating_sub(self.born.age)
    }

    /// Share of its full work that it may get, from [`Upstream::WARM_UP_START`] at
    /// its start to 1 after its warm-up, in a straight line.
    pub fn share(&self, now: Moment) -> f64 {
        let warm_up = self.announcement.warm_up.as_secs_f64();
        let age = self.age(now).as_secs_f64();
        if age >= warm_up {
            return 1.0;
        }
        Self::WARM_UP_START + (1.0 - Self::WARM_UP_START) * age / warm_up
    }

    /// Whether this entry itself has fresh proof that it takes new work.
    pub fn is_proven(&self, now: Moment) -> bool {
        self.answered.is_some_and(|at| now < at + PROOF)
    }

    /// Whether its lease runs, or ran out a moment ago while it was ready.
    pub fn is_here(&self) -> bool {
        self.announcement.state != State::Gone || self.contested.is_some()
    }

    /// Whether nothing known says that it takes no new work.
    pub fn is_ready(&self) -> bool {
        let here = self.announcement.state == State::Ready || self.contested.is_some();
        here && !self.draining
    }

    pub(crate) fn change(&self, now: Moment) -> Change {
        let age = Duration::from_secs(self.age(now).as_secs());
        Change { age, announcement: self.announcement.clone(), revision: self.revision }
    }

    pub(crate) fn standing(&self) -> Standing {
        Standing {
            incarnation: self.announcement.incarnation,
            revision: self.revision,
            state: self.announcement.state,
            upstream: self.announcement.upstream.clone(),
        }
    }
}
