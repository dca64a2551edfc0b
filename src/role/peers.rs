//! Table of the controls that a control knows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Moment;
use crate::feed::Control;
use crate::id::NodeId;
use crate::quorum::DiskId;

/// A control counts as live for this long after a greeting: three greeting intervals and some
/// delay, so that a lost greeting does not matter.
const LIVE_TIMEOUT: Duration = Duration::from_millis(1600);
/// A control that is neither member nor seed is removed this long after its last greeting.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

/// The controls that a control knows, including itself.
#[derive(Debug)]
pub(super) struct Peers {
    known: BTreeMap<NodeId, Known>,
    me: Control,
    seeds: Vec<NodeId>,
}

/// Another control.
#[derive(Clone, Debug)]
struct Known {
    control: Control,
    disk: Option<DiskId>,
    /// Time of its last greeting.
    greeted_at: Option<Moment>,
}

impl Known {
    fn is_live(&self, now: Moment) -> bool {
        self.greeted_at.is_some_and(|at| now < at + LIVE_TIMEOUT)
    }
}

impl Peers {
    pub(super) fn new(me: Control, seeds: Vec<NodeId>) -> Self {
        Self { known: BTreeMap::new(), me, seeds }
    }

    pub(super) fn me(&self) -> &Control {
        &self.me
    }

    pub(super) fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.seeds = seeds;
    }

    /// Ids of all controls, including this one.
    pub(super) fn ids(&self) -> Vec<NodeId> {
        self.others().cloned().chain([self.me.id.clone()]).collect()
    }

    pub(super) fn others(&self) -> impl Iterator<Item = &NodeId> {
        self.known.keys()
    }

    /// Whether this control has ever greeted.
    pub(super) fn has_greeted(&self, id: &NodeId) -> bool {
        self.known.get(id).is_some_and(|known| known.greeted_at.is_some())
    }

    /// Adds the members and the seeds.
    pub(super) fn add_members_and_seeds(&mut self, members: Vec<NodeId>) {
        for id in members.into_iter().chain(self.seeds.clone()) {
            self.add(Control { domain: Default::default(), id });
        }
    }

    /// Adds a control; returns whether it is new.
    pub(super) fn add(&mut self, control: Control) -> bool {
        if control.id == self.me.id || self.known.contains_key(&control.id) {
            return false;
        }
        self.known.insert(control.id.clone(), Known { control, disk: None, greeted_at: None });
        true
    }

    /// Records a greeting; returns whether the control is new.
    pub(super) fn record_greeting(
        &mut self,
        now: Moment,
        control: Control,
        disk: Option<DiskId>,
    ) -> bool {
        if control.id == self.me.id {
            return false;
        }
        let known = Known { control: control.clone(), disk, greeted_at: Some(now) };
        self.known.insert(control.id, known).is_none()
    }

    /// Removes controls that have been silent for long, except members and seeds.
    pub(super) fn remove_silent(&mut self, now: Moment, members: Vec<NodeId>) {
        let kept: BTreeSet<NodeId> = members.into_iter().chain(self.seeds.clone()).collect();
        self.known.retain(|id, known| {
            kept.contains(id) || known.greeted_at.is_some_and(|at| now < at + REMOVAL_TIMEOUT)
        });
    }

    /// Disks of the other controls that are live.
    pub(super) fn disks(&self, now: Moment) -> BTreeMap<NodeId, DiskId> {
        let live = self.known.values().filter(|known| known.is_live(now));
        live.filter_map(|known| Some((known.control.id.clone(), known.disk?))).collect()
    }

    /// Controls that entries may poll: the live ones and this one.
    pub(super) fn live(&self, now: Moment) -> Vec<Control> {
        let others = self.known.values().filter(|known| known.is_live(now));
        others.map(|known| known.control.clone()).chain([self.me.clone()]).collect()
    }
}
