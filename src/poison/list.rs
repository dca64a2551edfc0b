//! What an entry's traffic threads go by.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Fingerprint;
use crate::clock::Moment;

/// Crashes under a suspected request from which on it is sent once at most: a retry would probably end
/// one more.
const CRASHES_WITHOUT_RETRY: usize = 2;
/// For how long one entry alone may send a request whose quarantine is over.
pub(super) const TURN: Duration = Duration::from_secs(10);

/// Suspected and quarantined requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct List {
    /// End of each quarantine.
    pub(super) quarantined: BTreeMap<Fingerprint, Moment>,
    /// Number of upstreams that ended under each suspected request.
    pub(super) suspects: BTreeMap<Fingerprint, usize>,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Refuse it, as not run.
    Refuse {
        /// When the caller may return.
        after: Duration,
    },
    /// Send it on.
    Send,
    /// Send it on as a trial, if no trial was made since the quarantine ended.
    Trial {
        /// End of the quarantine.
        since: Moment,
        /// When a caller that is refused may return.
        after: Duration,
    },
}

impl List {
    /// Number of requests in quarantine.
    pub fn quarantined(&self) -> usize {
        self.quarantined.len()
    }

    /// Whether no request has to be looked up.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty() && self.suspects.is_empty()
    }

    /// Whether an answer to a request has to be reported.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint) || self.quarantined.contains_key(&fingerprint)
    }

    /// Whether a request may be sent to a second upstream after it failed at one.
    pub fn allows_retry(&self, fingerprint: Fingerprint) -> bool {
        let crashes = self.suspects.get(&fingerprint).copied().unwrap_or_default();
        crashes < CRASHES_WITHOUT_RETRY && !self.quarantined.contains_key(&fingerprint)
    }

    /// What to do with a request. `is_turn` says whether it is this entry's turn, given the number of
    /// turns since a quarantine ended.
    pub fn decide(
        &self,
        now: Moment,
        fingerprint: Fingerprint,
        is_turn: impl Fn(u32) -> bool,
    ) -> Decision {
        let Some(until) = self.quarantined.get(&fingerprint).copied() else {
            return Decision::Send;
        };
        if now < until {
            return Decision::Refuse { after: until - now };
        }
        let turn = (now - until).as_millis() / TURN.as_millis();
        match is_turn(turn as u32) {
            true => Decision::Trial { since: until, after: TURN },
            false => Decision::Refuse { after: TURN },
        }
    }
}
