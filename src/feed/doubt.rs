//! Entries that report that they can't reach a service, and whether that is believed.

use std::collections::BTreeSet;

use super::Entry;
use crate::id::ServiceId;
use crate::reach::Verdict;

/// Least share of the serving entries that must be left for others to be left out. If nearly all
/// can't reach a service, its upstreams are more likely at fault than the paths of so many entries,
/// and the few that are left would be overloaded.
const MIN_USABLE_SHARE: f64 = 0.125;

/// What entries report of the services that some of them can't reach.
#[derive(Debug, Default)]
pub(super) struct Doubt {
    /// Services that some entry can't reach.
    pub(super) services: BTreeSet<ServiceId>,
    /// Those of them that another entry reaches. Where none does, the upstreams are at fault, and
    /// without the entries that say so nobody would be left.
    reached: BTreeSet<ServiceId>,
}

impl Doubt {
    pub(super) fn new(entries: &[&Entry]) -> Self {
        let reported = |wanted: Verdict| {
            let verdicts = entries.iter().flat_map(|entry| &entry.reach);
            let matching = verdicts.filter(move |(_, verdict)| **verdict == wanted);
            matching.map(|(service, _)| service.clone()).collect::<BTreeSet<ServiceId>>()
        };
        let services = reported(Verdict::Lost);
        let reached = reported(Verdict::Reached).intersection(&services).cloned().collect();
        Self { services, reached }
    }

    /// Whether an entry reaches all services that others can't; always, if none is in doubt.
    pub(super) fn is_proven(&self, entry: &Entry) -> bool {
        let reaches = |service| entry.reach.get(service) == Some(&Verdict::Reached);
        self.services.iter().all(reaches)
    }

    /// Entries without those that can't reach a service which another one reaches; all, if too few
    /// would be left.
    pub(super) fn usable<'a>(&self, entries: &[&'a Entry]) -> Vec<&'a Entry> {
        let is_usable = |entry: &&&Entry| {
            let mut verdicts = self.reached.iter().map(|service| entry.reach.get(service));
            verdicts.all(|verdict| verdict != Some(&Verdict::Lost))
        };
        let usable: Vec<&Entry> = entries.iter().filter(is_usable).copied().collect();
        let least = entries.len() as f64 * MIN_USABLE_SHARE;
        if usable.len() as f64 >= least { usable } else { entries.to_vec() }
    }
}
