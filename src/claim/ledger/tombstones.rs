//! Ids of abandoned claims.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::ClaimId;
use crate::clock::Epoch;

/// Abandoned claims, which must not be granted when they arrive late.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Tombstones {
    claims: BTreeSet<ClaimId>,
    order: VecDeque<(Epoch, ClaimId)>,
}

impl Tombstones {
    /// Whether the claim was abandoned.
    pub(super) fn contains(&self, claim: &ClaimId) -> bool {
        self.claims.contains(claim)
    }

    /// Remembers a claim; the oldest of more than `limit` goes, which is safe: at
    /// worst its key turns unknown.
    pub(super) fn insert(&mut self, now: Epoch, claim: ClaimId, limit: usize) {
        if self.claims.insert(claim.clone()) {
            self.order.push_back((now, claim));
        }
        while self.order.len() > limit {
            self.drop_first();
        }
    }

    /// Forgets what was abandoned before `since`.
    pub(super) fn forget(&mut self, since: Epoch) {
        while self.order.front().is_some_and(|(at, _)| *at < since) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, claim)) = self.order.pop_front() {
            self.claims.remove(&claim);
        }
    }
}
