//! Dissemination of records to neighbours.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;

use crate::clock::Moment;
use crate::fleet::Allowance;
use crate::id::NodeId;

/// Queues of record keys for each peer, sent within a byte allowance.
///
/// A queued key stands for the record at the time of sending, so a record that changes often is
/// sent only in its latest state. A key that a peer sends itself is removed from its queue, which
/// keeps a burst of updates, such as the return of a region, from crossing each link twice.
#[derive(Clone, Debug)]
pub struct Dissemination {
    allowance: Allowance,
    pending: BTreeMap<NodeId, BTreeSet<CompactString>>,
}

impl Dissemination {
    /// Most bytes of encoded records in one message, which with its envelope fits a datagram of
    /// 1,100 bytes.
    pub const MESSAGE_BYTES_MAX: usize = 1000;
    /// Bytes of a message in addition to its records: IP, UDP and QUIC headers and the tag.
    pub const MESSAGE_OVERHEAD_BYTES: usize = 60;

    /// Creates empty queues.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, pending: BTreeMap::new() }
    }

    /// Number of queued keys over all peers.
    pub fn backlog(&self) -> usize {
        self.pending.values().map(BTreeSet::len).sum()
    }

    /// Drops the queues of peers for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&NodeId) -> bool) {
        self.pending.retain(|peer, _| keep(peer));
    }

    /// Records that `peer` has the current state of all records.
    pub fn mark_all_known(&mut self, peer: &NodeId) {
        self.pending.remove(peer);
    }

    /// Queues the record of `key` for `peer`.
    pub fn queue(&mut self, peer: &NodeId, key: &CompactString) {
        self.pending.entry(peer.clone()).or_default().insert(key.clone());
    }

    /// Records that `peer` has the current state of the record of `key`.
    pub fn mark_known(&mut self, peer: &NodeId, key: &CompactString) {
        if let Some(keys) = self.pending.get_mut(peer) {
            keys.remove(key);
        }
    }

    /// Splits `keys` that a peer requested into batches, as far as the allowance permits.
    ///
    /// The rest is not queued. The peer requests it again, perhaps from another member. With a
    /// queue, a seed that 500 processes ask at once would send them records for hours that they
    /// already have, and have no allowance left for a process that starts later.
    pub fn batches_for(
        &mut self,
        now: Moment,
        keys: &[CompactString],
        size: impl Fn(&CompactString) -> usize,
    ) -> Vec<Vec<CompactString>> {
        let mut batches: Vec<Vec<CompactString>> = Vec::new();
        let mut remaining = 0;
        for key in keys {
            let cost = size(key);
            if cost > remaining || batches.is_empty() {
                if !self.allowance.is_open(now) {
                    break;
                }
                self.allowance.take(Self::MESSAGE_OVERHEAD_BYTES);
                batches.push(Vec::new());
                remaining = Self::MESSAGE_BYTES_MAX;
            }
            self.allowance.take(cost);
            remaining = remaining.saturating_sub(cost);
            if let Some(batch) = batches.last_mut() {
                batch.push(key.clone());
            }
        }
        batches
    }

    /// Whether the allowance is not used up.
    pub fn is_open(&mut self, now: Moment) -> bool {
        self.allowance.is_open(now)
    }

    /// Takes batches of keys to send now, one message each. `size` returns the bytes of a record.
    ///
    /// `first` selects the peer to start with, so that none is always served last.
    pub fn take_batches(
        &mut self,
        now: Moment,
        first: usize,
        size: impl Fn(&CompactString) -> usize,
    ) -> Vec<(NodeId, Vec<CompactString>)> {
        let mut batches = Vec::new();
        let peers: Vec<NodeId> = self.pending.keys().cloned().collect();
        let split = if peers.is_empty() { 0 } else { first % peers.len() };
        let (head, tail) = peers.split_at(split);
        let mut has_progress = true;
        while has_progress {
            has_progress = false;
            for peer in tail.iter().chain(head) {
                if !self.allowance.is_open(now) {
                    return batches;
                }
                if let Some(batch) = self.take_batch(peer, &size) {
                    batches.push((peer.clone(), batch));
                    has_progress = true;
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
            if bytes + cost > Self::MESSAGE_BYTES_MAX && !batch.is_empty() {
                break;
            }
            bytes += cost;
            batch.extend(keys.pop_first());
        }
        if batch.is_empty() {
            return None;
        }
        self.allowance.take(bytes + Self::MESSAGE_OVERHEAD_BYTES);
        Some(batch)
    }
}
