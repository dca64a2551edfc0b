//! Records that wait to be sent to neighbours.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;

use crate::clock::Moment;
use crate::fleet::Allowance;
use crate::id::NodeId;

/// Keys of records that peers don't have yet, sent within a byte allowance.
///
/// A key that waits is sent as its record stands then, so that a record which
/// changes often costs no more than its last state. A key that a peer sends itself
/// is no longer waiting for that peer, which keeps a bulk of news (a region coming
/// back) from crossing each link twice.
#[derive(Clone, Debug)]
pub struct Spread {
    allowance: Allowance,
    pending: BTreeMap<NodeId, BTreeSet<CompactString>>,
}

impl Spread {
    /// Encoded items in one message; with the envelope it fits a datagram of 1,100 bytes.
    pub const MESSAGE_MAX: usize = 1000;
    /// Cost of a message beside its items: IP, UDP and QUIC headers and the tag.
    pub const OVERHEAD: usize = 60;

    /// Nothing waits.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, pending: BTreeMap::new() }
    }

    /// Keys that wait, over all peers.
    pub fn backlog(&self) -> usize {
        self.pending.values().map(BTreeSet::len).sum()
    }

    /// Forgets what waits for peers for whom `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&NodeId) -> bool) {
        self.pending.retain(|peer, _| keep(peer));
    }

    /// Takes note that `peer` has everything as it stands.
    pub fn saw_all(&mut self, peer: &NodeId) {
        self.pending.remove(peer);
    }

    /// Lets the record of `key` wait for `peer`.
    pub fn queue(&mut self, peer: &NodeId, key: &CompactString) {
        self.pending.entry(peer.clone()).or_default().insert(key.clone());
    }

    /// Takes note that `peer` has the record of `key` as it stands.
    pub fn saw(&mut self, peer: &NodeId, key: &CompactString) {
        if let Some(keys) = self.pending.get_mut(peer) {
            keys.remove(key);
        }
    }

    /// Batches of `keys` for one peer that asked for them, as far as the allowance goes.
    ///
    /// The rest does not wait: the peer asks again, perhaps another one. Were it to
    /// wait, a seed that 500 processes ask at once would send them for hours what they
    /// have long had, and have nothing left for one that starts later.
    pub fn grant(
        &mut self,
        now: Moment,
        keys: &[CompactString],
        size: impl Fn(&CompactString) -> usize,
    ) -> Vec<Vec<CompactString>> {
        let mut batches: Vec<Vec<CompactString>> = Vec::new();
        let mut room = 0;
        for key in keys {
            let cost = size(key);
            if cost > room || batches.is_empty() {
                if !self.allowance.is_open(now) {
                    break;
                }
                self.allowance.take(Self::OVERHEAD);
                batches.push(Vec::new());
                room = Self::MESSAGE_MAX;
            }
            self.allowance.take(cost);
            room = room.saturating_sub(cost);
            if let Some(batch) = batches.last_mut() {
                batch.push(key.clone());
            }
        }
        batches
    }

    /// Whether the allowance has anything left.
    pub fn is_open(&mut self, now: Moment) -> bool {
        self.allowance.is_open(now)
    }

    /// Takes batches of keys to send now: one message for each, as sized by `size`.
    ///
    /// `first` picks the peer to begin with, so that none is always served last.
    pub fn take(
        &mut self,
        now: Moment,
        first: usize,
        size: impl Fn(&CompactString) -> usize,
    ) -> Vec<(NodeId, Vec<CompactString>)> {
        let mut batches = Vec::new();
        let peers: Vec<NodeId> = self.pending.keys().cloned().collect();
        let split = if peers.is_empty() { 0 } else { first % peers.len() };
        let (head, tail) = peers.split_at(split);
        let mut progress = true;
        while progress {
            progress = false;
            for peer in tail.iter().chain(head) {
                if !self.allowance.is_open(now) {
                    return batches;
                }
                if let Some(batch) = self.take_batch(peer, &size) {
                    batches.push((peer.clone(), batch));
                    progress = true;
                }
            }
        }
        self.pending.retain(|_, keys| !keys.is_empty());
        batches
    }

    fn take_batch(
        &mut self,
        peer: &NodeId,
        size: &impl Fn(&CompactString) -> usize,
    ) -> Option<Vec<CompactString>> {
        let keys = self.pending.get_mut(peer)?;
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(key) = keys.first() {
            let cost = size(key);
            if bytes + cost > Self::MESSAGE_MAX && !batch.is_empty() {
                break;
            }
            bytes += cost;
            batch.extend(keys.pop_first());
        }
        if batch.is_empty() {
            return None;
        }
        self.allowance.take(bytes + Self::OVERHEAD);
        Some(batch)
    }
}
