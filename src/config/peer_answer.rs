//! Answers to a starting process about the version in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::DomainId;
use crate::id::NodeId;

use super::Head;
use super::Settings;
use super::Standing;

/// Answer of a peer to [`super::Message::Ask`], with the peer's failure domain.
#[derive(Clone, Debug)]
pub(super) struct PeerAnswer {
    /// Failure domain of the peer.
    pub(super) domain: DomainId,
    /// Version that the peer held when it answered.
    pub(super) head: Option<Head>,
    /// Whether the peer led control when it answered.
    pub(super) is_leader: bool,
    /// Whether the peer served callers when it answered.
    pub(super) standing: Standing,
}

/// Latest answer of each peer since the start.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerAnswers {
    answers: BTreeMap<NodeId, PeerAnswer>,
}

impl PeerAnswers {
    /// Records an answer, in place of an earlier one of the same peer.
    pub(super) fn insert(&mut self, from: NodeId, answer: PeerAnswer) {
        self.answers.insert(from, answer);
    }

    /// Highest version that any peer stated.
    pub(super) fn highest(&self) -> Option<Head> {
        self.answers.values().filter_map(|answer| answer.head).max()
    }

    /// Whether the leader of control has answered.
    pub(super) fn has_leader(&self) -> bool {
        self.answers.values().any(|answer| answer.is_leader)
    }

    /// Whether enough serving peers in enough failure domains have answered.
    pub(super) fn are_sufficient(&self, settings: &Settings) -> bool {
        let serving = || self.answers.values().filter(|answer| answer.standing.serves());
        let domains = serving().map(|answer| &answer.domain).collect::<BTreeSet<_>>();
        serving().count() >= settings.min_serving_answers
            && domains.len() >= settings.min_serving_domains
    }

    /// Whether no peer has answered.
    pub(super) fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }
}
