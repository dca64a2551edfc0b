use std::collections::BTreeMap;

use super::Fingerprint;
use crate::clock::Moment;

/// Trials of quarantined requests that this entry made.
#[derive(Clone, Debug, Default)]
pub struct Trials(BTreeMap<Fingerprint, Moment>);

impl Trials {
    /// Takes the trial of a turn that began at `since`; `false` if it was made before.
    pub fn try_take(&mut self, fingerprint: Fingerprint, since: Moment) -> bool {
        let last = self.0.insert(fingerprint, since);
        last != Some(since)
    }

    /// Gives a trial back that was not sent.
    pub fn give_back(&mut self, fingerprint: Fingerprint) {
        self.0.remove(&fingerprint);
    }

    /// Forgets the trials of requests that are not quarantined any more.
    pub fn retain(&mut self, is_quarantined: impl Fn(Fingerprint) -> bool) {
        self.0.retain(|fingerprint, _| is_quarantined(*fingerprint));
    }
}
