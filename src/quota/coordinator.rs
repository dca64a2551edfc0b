use std::collections::BTreeMap;
use std::time::Duration;

use super::Action;
use super::Demand;
use super::Ledger;
use super::Window;
use crate::clock::Moment;
use crate::id::Incarnation;
use crate::id::NodeId;

/// Time in which demands are batched into one record of the log. Every control node writes and
/// syncs each record, and a request that waits for an allocation has hundreds of milliseconds.
const BATCH_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two checks for ended incarnations and silent entries.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a demand after which an entry is presumed gone and its allocations are freed.
/// Entries send a keepalive every half a minute. An entry that is partitioned for longer and
/// still serves may pass its last allocations a second time.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(300);
/// Longest that an entry serves on after it has announced that it leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(30);

/// A demand with the node and the ticket that its answer goes to.
pub(crate) type Pending = (NodeId, u64, Demand);

/// Batches the demands of the entries at the leader, and frees the allocations of ended
/// incarnations.
///
/// A new leader doesn't know when incarnations began or ended and counts from the start of its
/// term. It frees allocations later than necessary, but never too early.
#[derive(Clone, Debug)]
pub struct Coordinator {
    next_batch_at: Moment,
    last_demand_at: BTreeMap<NodeId, Moment>,
    checked_at: Moment,
    /// When the allocations of ended incarnations are freed at the latest.
    releases: BTreeMap<(NodeId, Incarnation), Moment>,
    /// The current incarnation of each entry and when it began.
    started_at: BTreeMap<NodeId, (Incarnation, Moment)>,
    pending: Vec<Pending>,
    window: Duration,
}

impl Coordinator {
    /// Creates one without demands; `window` is the span in which allowances hold.
    pub fn new(window: Duration) -> Self {
        Self {
            next_batch_at: Moment::ZERO,
            last_demand_at: BTreeMap::new(),
            checked_at: Moment::ZERO,
            releases: BTreeMap::new(),
            started_at: BTreeMap::new(),
            pending: Vec::new(),
            window,
        }
    }

    /// Adds a demand to the batch.
    pub fn push(&mut self, now: Moment, from: NodeId, ticket: u64, demand: Demand) {
        if self.pending.is_empty() {
            self.next_batch_at = self.next_batch_at.max(now);
        }
        self.last_demand_at.insert(demand.holder.clone(), now);
        let started = (demand.incarnation, now.saturating_sub(demand.age));
        let known = self.started_at.entry(demand.holder.clone()).or_insert(started);
        if known.0 < demand.incarnation {
            *known = started;
        }
        self.pending.push((from, ticket, demand));
    }

    /// Takes the demands and the other actions that are due to be proposed.
    pub fn take(&mut self, now: Moment, ledger: &Ledger) -> (Vec<Pending>, Vec<Action>) {
        let mut pending = Vec::new();
        if !self.pending.is_empty() && now >= self.next_batch_at {
            self.next_batch_at = now + BATCH_INTERVAL;
            pending = std::mem::take(&mut self.pending);
        }
        let mut actions = Vec::new();
        if now >= self.checked_at + CHECK_INTERVAL {
            self.checked_at = now;
            actions = self.check(now, ledger);
        }
        (pending, actions)
    }

    /// When [`Self::take`] is due.
    pub fn wake(&self, ledger: &Ledger) -> Option<Moment> {
        let check = (!ledger.is_empty()).then(|| self.checked_at + CHECK_INTERVAL);
        let batch = (!self.pending.is_empty()).then_some(self.next_batch_at);
        check.into_iter().chain(batch).min()
    }

    /// Drops all state when this replica stops leading: entries send their demands to the next
    /// leader.
    pub fn clear(&mut self) {
        *self = Self::new(self.window);
    }

    fn check(&mut self, now: Moment, ledger: &Ledger) -> Vec<Action> {
        let mut actions = Vec::new();
        for (holder, incarnation) in ledger.holders() {
            let last_demand_at = *self.last_demand_at.entry(holder.clone()).or_insert(now);
            if now >= last_demand_at + HOLDER_TIMEOUT {
                actions.push(Action::End(holder.clone(), incarnation));
            }
        }
        let ended = ledger.ended();
        self.releases.retain(|incarnation, _| ended.contains(incarnation));
        for (holder, incarnation) in ended {
            let due = self.release_at(now, &holder, incarnation);
            if now >= due {
                actions.push(Action::Release(holder, incarnation));
            }
        }
        actions
    }

    /// When the requests that an ended incarnation passed are out of every window: one window
    /// after the entry's next incarnation began, or after the longest that the entry can have
    /// served on if there is none. Incarnations that begin later don't put it off.
    fn release_at(&mut self, now: Moment, holder: &NodeId, incarnation: Incarnation) -> Moment {
        let window = Window::retention(self.window);
        let next = self.started_at.get(holder).filter(|(next, _)| *next > incarnation);
        let due = self
            .releases
            .entry((holder.clone(), incarnation))
            .or_insert_with(|| now + LEAVE_TIMEOUT + window);
        *due = next.map_or(*due, |(_, at)| (*at + window).min(*due));
        *due
    }
}
