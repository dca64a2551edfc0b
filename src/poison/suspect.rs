//! Requests that were in flight when upstreams ended, and those crashes.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::Fingerprint;
use super::Identity;
use super::Scope;
use super::quarantine;
use crate::clock::Moment;

/// Time within which two reports of the same scope are about the same crash.
const SAME_CRASH: Duration = Duration::from_millis(1_500);
/// Most crashes that are remembered of a request: its first ones, as the quarantine counts from the third,
/// and the last one.
const MAX_CRASHES: usize = 8;
/// Most narrower kinds that are remembered of those in flight at a crash.
const MAX_NARROWER: usize = 8;

/// What ended, and when.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Ended {
    pub(super) at: Moment,
    pub(super) scope: Scope,
}

impl Ended {
    /// Whether two reports are about the same crash. Entries report one at slightly different times.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.scope == other.scope && self.at.abs_diff(other.at) < SAME_CRASH
    }
}

/// Kind of requests at some width.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind {
    /// Identity of one of these requests.
    identity: Identity,
    width: usize,
}

impl Kind {
    pub(super) fn new(identity: Identity, width: usize) -> Self {
        Self { identity, width }
    }

    pub(super) fn fingerprint(&self) -> Fingerprint {
        self.identity.at(self.width)
    }

    /// Number of the width, 0 for the narrowest.
    pub(super) fn width(&self) -> usize {
        self.width
    }

    /// Whether all requests of this kind are of the other, wider one.
    pub(super) fn is_within(&self, other: &Self) -> bool {
        self.width < other.width && self.identity.at(other.width) == other.fingerprint()
    }

    /// Whether one of the two kinds contains the other.
    pub(super) fn is_related(&self, other: &Self) -> bool {
        self.is_within(other) || other.is_within(self)
    }
}

/// A kind of requests that were in flight when upstreams ended.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub(super) crashes: Vec<Ended>,
    pub(super) kind: Kind,
    /// For each crash, the kinds of the next width below that were in flight.
    narrower: Vec<BTreeSet<Fingerprint>>,
}

impl Suspect {
    pub(super) fn new(kind: Kind) -> Self {
        Self { crashes: Vec::new(), kind, narrower: Vec::new() }
    }

    /// Records a crash at which a request of this kind was in flight. Returns whether it is a new one.
    pub(super) fn record(&mut self, ended: &Ended, identity: &Identity) -> bool {
        let narrower = self.kind.width.checked_sub(1).map(|width| identity.at(width));
        if let Some(at) = self.crashes.iter().position(|other| other.is_same(ended)) {
            if self.narrower[at].len() < MAX_NARROWER {
                self.narrower[at].extend(narrower);
            }
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop();
            self.narrower.pop();
        }
        self.crashes.push(ended.clone());
        self.narrower.push(narrower.into_iter().collect());
        true
    }

    /// Whether a single kind of the next width below was in flight at all of these crashes. If one is fatal it
    /// is that one, and others of this kind need not be. Of several nothing tells which.
    pub(super) fn has_single_narrower(&self) -> bool {
        let Some((first, others)) = self.narrower.split_first() else { return false };
        let is_common = |one: &&Fingerprint| others.iter().all(|other| other.contains(*one));
        first.iter().filter(is_common).count() == 1
    }
}

/// A kind of requests in quarantine.
#[derive(Clone, Debug)]
pub(super) struct Quarantined {
    pub(super) count: u32,
    /// The last crashes at which one was in flight, which explain the suspicion of what else was.
    pub(super) crashes: VecDeque<Ended>,
    /// The kind; `None` if another process told of the quarantine.
    pub(super) kind: Option<Kind>,
    pub(super) until: Moment,
}

impl Quarantined {
    pub(super) fn new(until: Moment, suspect: Suspect) -> Self {
        let Suspect { crashes, kind, .. } = suspect;
        Self { count: 1, crashes: crashes.into(), kind: Some(kind), until }
    }

    /// Records a crash. What was in flight when the quarantine began shows nothing new; a trial does.
    pub(super) fn record(&mut self, now: Moment, ended: &Ended) {
        if now >= self.until {
            self.count += 1;
            self.until = now + quarantine::length(self.count);
        }
        if self.explains(ended) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(ended.clone());
    }

    /// Whether a request of this kind was in flight at a crash.
    pub(super) fn explains(&self, ended: &Ended) -> bool {
        self.crashes.iter().any(|other| other.is_same(ended))
    }

    pub(super) fn expires_at(&self) -> Moment {
        self.until + quarantine::MEMORY
    }
}
