//! Answers to a starting process about the version in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::DomainId;
use crate::id::NodeId;

use super::Head;
use super::Settings;
use super::Standing;

/// A process that told this one, at its start, which version it holds.
#[derive(Clone, Debug)]
pub(super) struct Witness {
    /// Its failure domain.
    pub(super) domain: DomainId,
    /// Version that it held when it answered.
    pub(super) head: Option<Head>,
    /// Whether it led control when it answered.
    pub(super) is_leader: bool,
    /// Whether it served callers when it answered.
    pub(super) standing: Standing,
}

/// Latest answer of each process since the start.
#[derive(Clone, Debug, Default)]
pub(super) struct Witnesses {
    answers: BTreeMap<NodeId, Witness>,
}

impl Witnesses {
    /// Records an answer, in place of an earlier one of the same process.
    pub(super) fn insert(&mut self, from: NodeId, witness: Witness) {
        self.answers.insert(from, witness);
    }

    /// Highest version that any witness holds.
    pub(super) fn highest(&self) -> Option<Head> {
        self.answers.values().filter_map(|witness| witness.head).max()
    }

    /// Whether the leader of control has answered.
    pub(super) fn has_leader(&self) -> bool {
        self.answers.values().any(|witness| witness.is_leader)
    }

    /// Whether enough serving processes in enough failure domains have answered.
    pub(super) fn are_sufficient(&self, settings: &Settings) -> bool {
        let serving = || self.answers.values().filter(|witness| witness.standing.serves());
        let domains = serving().map(|witness| &witness.domain).collect::<BTreeSet<_>>();
        serving().count() >= settings.witnesses && domains.len() >= settings.witness_domains
    }

    /// Whether no process has answered.
    pub(super) fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }
}
