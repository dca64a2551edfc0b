//! Local record of an upstream.

use std::time::Duration;

use crate::clock::Moment;
use crate::id::NodeId;
use crate::registry::Announcement;
use crate::registry::Change;
use crate::registry::State;
use crate::registry::StateChange;

/// How long an answer proves that an upstream is not draining. Even with the interval between
/// probes, a drain must be known within 3 s.
pub(crate) const ANSWER_VALIDITY: Duration = Duration::from_millis(2500);

/// Record of an upstream at this entry.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Latest announcement. Its state may be [`State::Gone`].
    pub announcement: Announcement,
    /// Entry that tracks its lease.
    pub home: Option<NodeId>,
    /// When the upstream last answered this entry, or when its grace period began.
    pub answered: Option<Moment>,
    /// Whether the last answer to this entry said that it drains, or a record before said so.
    pub(crate) draining: bool,
    /// When its incarnation was first announced. An age is stored with it, because the time may
    /// be before the start of this process, where its clock begins.
    pub(crate) first_seen: FirstSeen,
    /// End of the grace period in which answers to this entry override the expiry of the lease.
    /// The registry clears it when it is over.
    pub(crate) grace_until: Option<Moment>,
    /// When a probe was last requested.
    pub(crate) probed_at: Option<Moment>,
    /// When the home last got a renewal, or when this entry became the home.
    pub(crate) renewed_at: Moment,
    pub(crate) revision: u32,
    /// When this record was last replaced.
    pub(crate) replaced_at: Moment,
}

/// Moment that lay `age` in the past at the time `at`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct FirstSeen {
    pub(crate) age: Duration,
    pub(crate) at: Moment,
}

impl Upstream {
    /// Share of work at the start of the warm-up.
    pub const WARM_UP_START: f64 = 0.1;

    /// Time since its incarnation was first announced.
    pub fn age(&self, now: Moment) -> Duration {
        self.first_seen.age + now.saturating_sub(self.first_seen.at)
    }

    /// When its incarnation was first announced, but not before the start of this process.
    pub fn born_at(&self) -> Moment {
        self.first_seen.at.saturating_sub(self.first_seen.age)
    }

    /// Share of its full work that it may get. Grows linearly from [`Upstream::WARM_UP_START`] at
    /// its start to 1 at the end of the warm-up.
    pub fn share(&self, now: Moment) -> f64 {
        let warm_up = self.announcement.warm_up.as_secs_f64();
        let age = self.age(now).as_secs_f64();
        if age >= warm_up {
            return 1.0;
        }
        Self::WARM_UP_START + (1.0 - Self::WARM_UP_START) * age / warm_up
    }

    /// Whether a recent answer to this entry proves that the upstream accepts new work.
    pub fn has_recent_answer(&self, now: Moment) -> bool {
        self.answered.is_some_and(|at| now < at + ANSWER_VALIDITY)
    }

    /// Whether its lease is valid, or expired while it was ready and is in the grace period.
    pub fn is_listed(&self) -> bool {
        self.announcement.state != State::Gone || self.grace_until.is_some()
    }

    /// Whether it is ready, or in the grace period, and no answer said that it drains.
    pub fn is_ready(&self) -> bool {
        let is_ready = self.announcement.state == State::Ready || self.grace_until.is_some();
        is_ready && !self.draining
    }

    pub(crate) fn change(&self, now: Moment) -> Change {
        let age = Duration::from_secs(self.age(now).as_secs());
        Change { age, announcement: self.announcement.clone(), revision: self.revision }
    }

    pub(crate) fn state_change(&self) -> StateChange {
        StateChange {
            incarnation: self.announcement.incarnation,
            revision: self.revision,
            state: self.announcement.state,
            upstream: self.announcement.upstream.clone(),
        }
    }
}
