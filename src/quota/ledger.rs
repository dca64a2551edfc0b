use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::Action;
use super::Allocation;
use super::Demand;
use super::Grant;
use super::Item;
use super::Subject;
use super::holding::Holding;
use crate::id::Incarnation;
use crate::id::NodeId;

/// Replicated state of all allowances and the shares of them that entries hold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    requesters: BTreeMap<NodeId, Requester>,
    holdings: BTreeMap<Subject, Holding>,
}

/// An entry that has sent a demand.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Requester {
    /// Whether this incarnation has ended.
    has_ended: bool,
    incarnation: Incarnation,
    /// Sequence number of its newest demand. An older one must not be applied: the entry may hold
    /// less since.
    sequence: u64,
}

impl Ledger {
    /// Applies a change. Returns the answer to a demand, or `None` if the demand is obsolete.
    pub fn apply(&mut self, action: &Action) -> Option<Grant> {
        match action {
            Action::Ask(demand) => self.apply_demand(demand),
            Action::End(holder, incarnation) => {
                self.end(holder, *incarnation);
                None
            }
            Action::Release(holder, incarnation) => {
                self.release(holder, *incarnation);
                None
            }
        }
    }

    /// Whether no entry has sent a demand.
    pub fn is_empty(&self) -> bool {
        self.requesters.is_empty()
    }

    /// Ended incarnations whose shares still count.
    pub fn ended(&self) -> BTreeSet<(NodeId, Incarnation)> {
        self.holdings.values().flat_map(Holding::ended).cloned().collect()
    }

    /// Entries that may hold shares, with their current incarnations.
    pub fn holders(&self) -> impl Iterator<Item = (&NodeId, Incarnation)> {
        let current = self.requesters.iter().filter(|(_, holder)| !holder.has_ended);
        current.map(|(id, holder)| (id, holder.incarnation))
    }

    fn apply_demand(&mut self, demand: &Demand) -> Option<Grant> {
        if self.has_ended(demand) {
            let Demand { incarnation, sequence, .. } = *demand;
            return Some(Grant { incarnation, is_over: true, parts: Vec::new(), sequence });
        }
        if !self.accept(demand) {
            return None;
        }
        let parts = demand.items.iter().map(|item| self.allocate(demand, item)).collect();
        if demand.is_leaving {
            self.end(&demand.holder, demand.incarnation);
        }
        let Demand { incarnation, sequence, .. } = *demand;
        Some(Grant { incarnation, is_over: false, parts, sequence })
    }

    /// Whether a demand comes from an incarnation that was presumed to have ended.
    fn has_ended(&self, demand: &Demand) -> bool {
        let known = self.requesters.get(&demand.holder);
        known.is_some_and(|known| known.has_ended && known.incarnation == demand.incarnation)
    }

    /// Records a demand and returns `true`, unless it is older than the newest one of its entry. A
    /// demand of a newer incarnation ends the previous one.
    fn accept(&mut self, demand: &Demand) -> bool {
        let known = self.requesters.get(&demand.holder).copied();
        if let Some(known) = known {
            if (demand.incarnation, demand.sequence) < (known.incarnation, known.sequence) {
                return false;
            }
            if demand.incarnation > known.incarnation {
                self.end(&demand.holder, known.incarnation);
            }
        }
        let Demand { holder, incarnation, sequence, .. } = demand;
        let (incarnation, sequence) = (*incarnation, *sequence);
        self.requesters
            .insert(holder.clone(), Requester { has_ended: false, incarnation, sequence });
        true
    }

    fn allocate(&mut self, demand: &Demand, item: &Item) -> Allocation {
        let holding = self.holdings.entry(item.subject.clone()).or_default();
        let amount = holding.allocate(&demand.holder, item.want, item.most);
        let spare = holding.spare(item.most);
        self.remove_if_empty(&item.subject);
        Allocation { amount, spare, subject: item.subject.clone() }
    }

    fn end(&mut self, holder: &NodeId, incarnation: Incarnation) {
        let Some(known) = self.requesters.get_mut(holder) else { return };
        if known.incarnation != incarnation || known.has_ended {
            return;
        }
        known.has_ended = true;
        self.holdings.values_mut().for_each(|holding| holding.end(holder, incarnation));
    }

    fn release(&mut self, holder: &NodeId, incarnation: Incarnation) {
        for holding in self.holdings.values_mut() {
            holding.release(holder, incarnation);
        }
        self.holdings.retain(|_, holding| !holding.is_empty());
    }

    fn remove_if_empty(&mut self, subject: &Subject) {
        if self.holdings.get(subject).is_some_and(Holding::is_empty) {
            self.holdings.remove(subject);
        }
    }
}
