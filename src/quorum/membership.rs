//! Voters and learners of the group.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::id::NodeId;

/// Identity of one data folder. A VM that lost its disk comes back with a new
/// identity, so that votes and acknowledgements of the lost folder are not counted
/// for the new one.
pub type DiskId = u64;

/// Identity of the data folder of each founding member.
pub const FOUNDER_DISK: DiskId = 0;

/// Members of the group, each with the data folder under which it was added.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Members that receive entries but have no vote.
    pub learners: BTreeMap<NodeId, DiskId>,
    /// Members whose votes and acknowledgements count.
    pub voters: BTreeMap<NodeId, DiskId>,
}

impl Membership {
    /// Founding membership, in which every voter uses [`FOUNDER_DISK`].
    pub fn founding(voters: impl IntoIterator<Item = NodeId>) -> Self {
        let voters = voters.into_iter().map(|node| (node, FOUNDER_DISK)).collect();
        Self { learners: BTreeMap::new(), voters }
    }

    /// Data folder under which `node` is a voter or learner.
    pub fn disk(&self, node: &NodeId) -> Option<DiskId> {
        self.voters.get(node).or_else(|| self.learners.get(node)).copied()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of voters and learners.
    pub fn len(&self) -> usize {
        self.voters.len() + self.learners.len()
    }

    /// Voters, then learners, each sorted by name, with their data folders.
    pub fn members(&self) -> impl Iterator<Item = (&NodeId, DiskId)> {
        self.voters.iter().chain(&self.learners).map(|(node, disk)| (node, *disk))
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `node` is a voter with the data folder `disk`.
    pub fn is_voter(&self, node: &NodeId, disk: DiskId) -> bool {
        self.voters.get(node) == Some(&disk)
    }
}
