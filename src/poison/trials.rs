use std::collections::BTreeMap;

use super::Fingerprint;
use crate::clock::Moment;

/// Trials of quarantined requests that this entry made.
#[derive(Clone, Debug, Default)]
pub struct Trials(BTreeMap<Fingerprint, Moment>);

impl Trials {
    /// Takes the trial that is due since the end of a quarantine; `false` if it was made before.
    pub fn try_take(&mut self, fingerprint: Fingerprint, since: Moment) -> bool {
        let last = self.0.insert(fingerprint, since);
        last != Some(since)
    }

    /// Forgets the trials of requests that are not quarantined any more.
    pub fn retain(&mut self, is_quarantined: impl Fn(Fingerprint) -> bool) {
        self.0.retain(|fingerprint, _| is_quarantined(*fingerprint));
    }
}
