//! Tombstones: ids of abandoned claims.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::ClaimId;
use crate::clock::Epoch;

/// Ids of abandoned claims, which must not be granted if they arrive late.
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

    /// Adds a claim and drops the oldest beyond `limit`. That is safe: at worst the key of
    /// a dropped claim becomes unknown.
    pub(super) fn insert(&mut self, now: Epoch, claim: ClaimId, limit: usize) {
        if self.claims.insert(claim.clone()) {
            self.order.push_back((now, claim));
        }
        while self.order.len() > limit {
            self.remove_oldest();
        }
    }

    /// Drops the claims that were abandoned before `since`.
    pub(super) fn expire(&mut self, since: Epoch) {
        while self.order.front().is_some_and(|(at, _)| *at < since) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, claim)) = self.order.pop_front() {
            self.claims.remove(&claim);
        }
    }
}
