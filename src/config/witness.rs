//! What a starting process was told about the version in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::DomainId;
use crate::id::NodeId;

use super::Head;
use super::Settings;
use super::Standing;

/// Latest answer of one process.
#[derive(Clone, Debug)]
pub(super) struct Witness {
    /// Its failure domain.
    pub(super) domain: DomainId,
    /// What it held.
    pub(super) head: Option<Head>,
    /// Whether it led control.
    pub(super) leads: bool,
    /// What it did with callers.
    pub(super) standing: Standing,
}

/// Answers collected since the start.
#[derive(Clone, Debug, Default)]
pub(super) struct Witnesses {
    answers: BTreeMap<NodeId, Witness>,
}

impl Witnesses {
    /// Notes an answer.
    pub(super) fn insert(&mut self, from: NodeId, witness: Witness) {
        self.answers.insert(from, witness);
    }

    /// Highest version that any of them holds.
    pub(super) fn highest(&self) -> Option<Head> {
        self.answers.values().filter_map(|witness| witness.head).max()
    }

    /// Whether the leader of control answered.
    pub(super) fn has_leader(&self) -> bool {
        self.answers.values().any(|witness| witness.leads)
    }

    /// Whether enough serving processes in enough failure domains answered.
    pub(super) fn suffice(&self, settings: &Settings) -> bool {
        let serving = || self.answers.values().filter(|witness| witness.standing.serves());
        let domains = serving().map(|witness| &witness.domain).collect::<BTreeSet<_>>();
        serving().count() >= settings.witnesses && domains.len() >= settings.witness_domains
    }

    /// Whether nobody answered.
    pub(super) fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }
}
