//! What an entry's traffic threads go by.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Fingerprint;
use super::Identity;
use super::quarantine;
use crate::clock::Moment;

/// Crashes under a suspected request from which on it is sent once at most: a retry would probably end
/// one more.
const CRASHES_WITHOUT_RETRY: usize = 2;
/// For how long one entry alone may send a request whose quarantine is over.
pub(super) const TURN: Duration = Duration::from_secs(10);
/// When callers that are refused meanwhile may return: a trial is mostly answered by then.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Suspected and quarantined kinds of requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct List {
    /// End of each quarantine.
    pub(super) quarantined: BTreeMap<Fingerprint, Moment>,
    /// Number of crashes at which a request of each suspected kind was in flight.
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
    /// Send it on as a trial, if this entry has made none in its turn.
    Trial {
        /// The kind that is tried.
        of: Fingerprint,
        /// When the turn began.
        since: Moment,
        /// When a caller that is refused may return.
        after: Duration,
    },
}

impl List {
    /// Number of kinds in quarantine.
    pub fn quarantined(&self) -> usize {
        self.quarantined.len()
    }

    /// Whether no request has to be looked up.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty() && self.suspects.is_empty()
    }

    /// Whether an answer to a request has to be reported.
    pub fn is_suspected(&self, identity: &Identity) -> bool {
        identity.fingerprints().iter().any(|one| self.is_listed(*one))
    }

    /// Whether a kind is suspected or quarantined.
    pub fn is_listed(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint) || self.quarantined.contains_key(&fingerprint)
    }

    /// Whether a request may be sent to a second upstream after it failed at one. Other requests for its
    /// path say little about it.
    pub fn allows_retry(&self, identity: &Identity) -> bool {
        let crashes = |one: &Fingerprint| self.suspects.get(one).copied().unwrap_or_default();
        let is_quarantined =
            identity.fingerprints().iter().any(|one| self.quarantined.contains_key(one));
        !is_quarantined && identity.alike().iter().all(|one| crashes(one) < CRASHES_WITHOUT_RETRY)
    }

    /// What to do with a request. `is_turn` says whether it is this entry's turn to try a kind, given the
    /// number of turns since its quarantine ended.
    pub fn decide(
        &self,
        now: Moment,
        identity: &Identity,
        is_turn: impl Fn(Fingerprint, u32) -> bool,
    ) -> Decision {
        let mut decision = Decision::Send;
        for fingerprint in identity.fingerprints() {
            let Some(until) = self.quarantined.get(&fingerprint).copied() else { continue };
            let may_try =
                |turn| self.may_try_now(now, identity, until) && is_turn(fingerprint, turn);
            decision = strictest(decision, decide_one(now, fingerprint, until, may_try));
        }
        decision
    }

    /// Whether it is time for a trial of this request, whose quarantine ended at `until`, and not of other ones whose
    /// quarantines ended at about the same time: a fatal trial would end that of another one, too.
    fn may_try_now(&self, now: Moment, identity: &Identity, until: Moment) -> bool {
        let own = identity.fingerprints();
        let is_open = |(of, end): &(&Fingerprint, &Moment)| {
            **end <= now && end.abs_diff(until) < TURN && !own.contains(*of)
        };
        let others = || self.quarantined.iter().filter(is_open).map(|(_, end)| *end);
        let first = others().min().map_or(until, |end| end.min(until));
        let count = others().count() + 1;
        let current = (now.saturating_sub(first).as_millis() / quarantine::TRIAL_TIME.as_millis())
            as usize
            % count;
        current == others().filter(|end| *end < until).count()
    }
}

/// What to do with a request of a kind whose quarantine ends at `until`.
fn decide_one(
    now: Moment,
    of: Fingerprint,
    until: Moment,
    may_try: impl Fn(u32) -> bool,
) -> Decision {
    if now < until {
        return Decision::Refuse { after: until - now };
    }
    let turn = ((now - until).as_millis() / TURN.as_millis()) as u32;
    let since = until + TURN * turn;
    match may_try(turn) {
        true => Decision::Trial { of, since, after: TRIAL_RETRY_AFTER },
        false => Decision::Refuse { after: TRIAL_RETRY_AFTER },
    }
}

/// Of the decisions on a narrower kind and on a wider one, that which sends less. A trial is one of the wider
/// kind: its answer clears both.
fn strictest(narrower: Decision, wider: Decision) -> Decision {
    match (narrower, wider) {
        (Decision::Refuse { after: one }, Decision::Refuse { after: other }) => {
            Decision::Refuse { after: one.max(other) }
        }
        (Decision::Refuse { .. }, _) | (_, Decision::Send) => narrower,
        _ => wider,
    }
}
