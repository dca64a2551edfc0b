//! The controls that a control knows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Moment;
use crate::feed::Control;
use crate::id::NodeId;
use crate::quorum::DiskId;

/// A control that greeted within this span is there: three greetings and a lost one.
const PRESENT: Duration = Duration::from_millis(1600);
/// A control that is neither member nor seed is forgotten after so long.
const FORGET: Duration = Duration::from_secs(30);

/// The controls that a control knows, itself among them.
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
    heard: Option<Moment>,
}

impl Known {
    fn is_present(&self, now: Moment) -> bool {
        self.heard.is_some_and(|at| now < at + PRESENT)
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

    /// All ids, the own one among them.
    pub(super) fn ids(&self) -> Vec<NodeId> {
        self.others().cloned().chain([self.me.id.clone()]).collect()
    }

    pub(super) fn others(&self) -> impl Iterator<Item = &NodeId> {
        self.known.keys()
    }

    /// Whether a control has greeted.
    pub(super) fn has_greeted(&self, id: &NodeId) -> bool {
        self.known.get(id).is_some_and(|known| known.heard.is_some())
    }

    /// Knows the members and the seeds from now on.
    pub(super) fn meet_all(&mut self, members: Vec<NodeId>) {
        for id in members.into_iter().chain(self.seeds.clone()) {
            self.hear_of(Control { domain: Default::default(), id });
        }
    }

    /// Knows a control that another one told of; whether it is new.
    pub(super) fn hear_of(&mut self, control: Control) -> bool {
        if control.id == self.me.id || self.known.contains_key(&control.id) {
            return false;
        }
        self.known.insert(control.id.clone(), Known { control, disk: None, heard: None });
        true
    }

    /// Notes that a control greeted; whether it is new.
    pub(super) fn greeted(&mut self, now: Moment, control: Control, disk: Option<DiskId>) -> bool {
        if control.id == self.me.id {
            return false;
        }
        let known = Known { control: control.clone(), disk, heard: Some(now) };
        self.known.insert(control.id, known).is_none()
    }

    /// Forgets those that have been silent for long, but for members and seeds.
    pub(super) fn forget(&mut self, now: Moment, members: Vec<NodeId>) {
        let kept: BTreeSet<NodeId> = members.into_iter().chain(self.seeds.clone()).collect();
        self.known.retain(|id, known| {
            kept.contains(id) || known.heard.is_some_and(|at| now < at + FORGET)
        });
    }

    /// Disks of the others that are there.
    pub(super) fn disks(&self, now: Moment) -> BTreeMap<NodeId, DiskId> {
        let present = self.known.values().filter(|known| known.is_present(now));
        present.filter_map(|known| Some((known.control.id.clone(), known.disk?))).collect()
    }

    /// Controls that entries may ask: those that are there, and this one.
    pub(super) fn present(&self, now: Moment) -> Vec<Control> {
        let others = self.known.values().filter(|known| known.is_present(now));
        others.map(|known| known.control.clone()).chain([self.me.clone()]).collect()
    }
}
