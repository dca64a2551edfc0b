//! Upstreams that asked this entry for no requests.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::id::UpstreamId;

/// How long an upstream that left is remembered. A table that is older may name it again.
const LEFT_AGE_MAX: Duration = Duration::from_secs(600);

/// What one upstream asked this entry for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Hold {
    /// Start of the process that said that it leaves, and when it said so.
    left: Option<(u64, Moment)>,
    /// Until when it wants no requests.
    rests_until: Moment,
}

impl Hold {
    /// Whether it wants no request now. `incarnation` is the process that the table names.
    pub(crate) fn is_on(&self, now: Moment, incarnation: u64) -> bool {
        now < self.rests_until || self.is_leaving(incarnation)
    }

    /// Whether this process is leaving.
    pub(crate) fn is_leaving(&self, incarnation: u64) -> bool {
        self.left.is_some_and(|(left, _)| incarnation <= left)
    }

    /// Until when it rests.
    pub(crate) fn rests_until(&self) -> Moment {
        self.rests_until
    }
}

/// Upstreams that asked this entry for no requests. They are kept apart from the table of upstreams,
/// which may drop one and name it again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holds(BTreeMap<UpstreamId, Hold>);

impl Holds {
    /// Whether no upstream asked for anything.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// What an upstream asked for.
    pub(crate) fn get(&self, upstream: &str) -> Hold {
        self.0.get(upstream).copied().unwrap_or_default()
    }

    /// Records that an upstream wants no requests until a moment.
    pub(crate) fn rest(&mut self, upstream: &UpstreamId, until: Moment) -> Hold {
        let hold = self.0.entry(upstream.clone()).or_default();
        hold.rests_until = hold.rests_until.max(until);
        *hold
    }

    /// Records that a process of an upstream leaves; returns whether that is new.
    pub(crate) fn leave(&mut self, now: Moment, upstream: &UpstreamId, incarnation: u64) -> bool {
        let hold = self.0.entry(upstream.clone()).or_default();
        let is_new = !hold.is_leaving(incarnation);
        if is_new {
            hold.left = Some((incarnation, now));
        }
        is_new
    }

    /// Forgets what is over.
    pub(crate) fn expire(&mut self, now: Moment) {
        let has_left = |hold: &Hold| hold.left.is_some_and(|(_, at)| now < at + LEFT_AGE_MAX);
        self.0.retain(|_, hold| now < hold.rests_until || has_left(hold));
    }
}
