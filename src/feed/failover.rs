//! Which control an entry polls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use super::Control;
use crate::clock::Moment;
use crate::id::DomainId;
use crate::id::NodeId;

/// How long a failed control is polled only after all others.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(3);

/// Chooses the control that an entry polls, and another one when it fails.
#[derive(Clone, Debug)]
pub(super) struct Failover {
    controls: BTreeSet<Control>,
    current: Option<NodeId>,
    /// Failure domain of the entry.
    domain: DomainId,
    failed_at: BTreeMap<NodeId, Moment>,
    random: ChaCha8Rng,
    seeds: Vec<NodeId>,
}

impl Failover {
    /// Creates one that knows only its seeds.
    pub(super) fn new(domain: DomainId, seeds: Vec<NodeId>, random: ChaCha8Rng) -> Self {
        Self {
            controls: BTreeSet::new(),
            current: None,
            domain,
            failed_at: BTreeMap::new(),
            random,
            seeds,
        }
    }

    /// Replaces the seeds, which are polled along with the known controls.
    pub(super) fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.seeds = seeds;
    }

    /// Replaces the known controls.
    pub(super) fn set_controls(&mut self, controls: &[Control]) {
        self.controls = controls.iter().cloned().collect();
    }

    /// The control that is polled now.
    pub(super) fn current(&self) -> Option<&NodeId> {
        self.current.as_ref()
    }

    /// The control that is polled now, chosen if there is none.
    pub(super) fn choose(&mut self, now: Moment) -> Option<NodeId> {
        if self.current.is_none() {
            self.current = self.best(now);
        }
        self.current.clone()
    }

    /// Records that a control is usable.
    pub(super) fn mark_usable(&mut self, id: &NodeId) {
        self.failed_at.remove(id);
    }

    /// Records that the current control failed; another one is chosen next.
    pub(super) fn mark_failed(&mut self, now: Moment) {
        if let Some(control) = self.current.take() {
            self.failed_at.insert(control, now);
        }
    }

    /// Drops a control in another failure domain once one in this domain is usable. Entries learn
    /// the domains of controls only from the first update, and until then updates may cross
    /// failure domains.
    pub(super) fn prefer_local(&mut self, now: Moment) {
        let current = self.current.as_ref();
        let local = || self.controls.iter().filter(|control| control.domain == self.domain);
        let is_local = local().any(|control| Some(&control.id) == current);
        let is_usable = |id| self.failed_at.get(id).is_none_or(|at| now >= *at + FAILURE_COOLDOWN);
        if !is_local && local().any(|control| is_usable(&control.id)) {
            self.current = None;
        }
    }

    /// One that has not failed recently comes first, then one in the same failure domain, because
    /// answers would cross failure domains otherwise.
    fn best(&mut self, now: Moment) -> Option<NodeId> {
        self.failed_at.retain(|_, at| now < *at + FAILURE_COOLDOWN);
        let mut known: Vec<Control> = self.controls.iter().cloned().collect();
        for id in &self.seeds {
            if !known.iter().any(|control| control.id == *id) {
                known.push(Control { domain: DomainId::default(), id: id.clone() });
            }
        }
        let rank = |control: &Control| {
            let failed = self.failed_at.get(&control.id).copied();
            (failed, control.domain != self.domain)
        };
        let best = known.iter().map(rank).min()?;
        let chosen = known.iter().filter(|control| rank(control) == best);
        chosen.choose(&mut self.random).map(|control| control.id.clone())
    }
}
