//! Snapshots: set by the application, sent and received in chunks.

use std::sync::Arc;

use super::membership::Membership;
use super::message::Body;
use super::output::Output;
use super::progress::Leader;
use super::progress::Transfer;
use super::record::Record;
use super::replica::Replica;
use super::replica::State;
use super::snapshot::Snapshot;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::Term;

/// Snapshot that is being received.
#[derive(Debug)]
pub(super) struct Incoming {
    bytes: Vec<u8>,
    index: Index,
    term: Term,
}

impl Replica {
    /// Compacts the log with the application's own snapshot. Entries stay if a member
    /// will need them after a transfer in progress.
    pub(super) fn compact(&mut self, index: Index, bytes: Vec<u8>) {
        let newest = self.log.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        if index > self.commit_index || index <= newest {
            return;
        }
        let Some(term) = self.log.term(index) else { return };
        let membership = self.log.membership_at(index);
        let snapshot = Arc::new(Snapshot { bytes, index, membership, term });
        let keep = self.first_kept(index);
        let keep = self.first_transfer(index).map_or(keep, |first| keep.min(first));
        self.log.compact(Arc::clone(&snapshot), keep);
        self.record(Record::Snapshot(snapshot));
    }

    /// Index before the first entry that is kept although a snapshot at `index` covers
    /// it.
    fn first_kept(&self, index: Index) -> Index {
        let after = self.log.bytes_from(index + 1);
        let mut keep =
            index.saturating_sub(self.setup.limits.kept_entries).max(self.log.base_index());
        while keep < index && self.log.bytes_from(keep + 1) - after > self.setup.limits.kept_bytes {
            keep += 1;
        }
        keep
    }

    /// Lowest last index of the snapshots that are being sent to members that answer, of those after
    /// which few enough bytes follow up to a snapshot at `index`.
    fn first_transfer(&self, index: Index) -> Option<Index> {
        let State::Leader(leader) = &self.state else { return None };
        let after = self.log.bytes_from(index + 1);
        let is_kept = |first: &Index| {
            self.log.bytes_from(first + 1).saturating_sub(after) <= self.setup.limits.transfer_bytes
        };
        let heard = leader.members.values().filter(|progress| self.is_heard(progress.heard));
        let sent = heard.filter_map(|progress| Some(progress.transfer.as_ref()?.snapshot.index));
        sent.filter(is_kept).min()
    }

    pub(super) fn send_chunk(&mut self, leader: &mut Leader, node: &NodeId) {
        let Some(progress) = leader.members.get_mut(node) else { return };
        let Some(snapshot) = self.log.snapshot.clone() else { return };
        let transfer =
            progress.transfer.get_or_insert(Transfer { offset: 0, sent_at: self.now, snapshot });
        transfer.sent_at = self.now;
        let snapshot = &transfer.snapshot;
        let total = snapshot.bytes.len();
        let start = usize::try_from(transfer.offset).unwrap_or(total).min(total);
        let end = total.min(start + self.setup.limits.chunk_bytes);
        let body = Body::Chunk {
            bytes: snapshot.bytes[start..end].to_vec(),
            index: snapshot.index,
            index_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: start as u64,
            round: leader.round,
            total: total as u64,
        };
        self.send_immediately(node, progress.disk, body);
    }

    pub(super) fn receive_chunk(
        &mut self,
        from: &NodeId,
        disk: u64,
        round: u64,
        header: (Index, Term, Membership, u64),
        offset: u64,
        bytes: &[u8],
    ) {
        let (index, term, membership, total) = header;
        if index <= self.commit_index {
            return self.send(from, disk, Body::Appended { matched: index, round });
        }
        let mut incoming = self.incoming.take().unwrap_or(Incoming { bytes: vec![], index, term });
        if (incoming.index, incoming.term) != (index, term) {
            incoming = Incoming { bytes: Vec::new(), index, term };
        }
        if offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(bytes);
        }
        let next = incoming.bytes.len() as u64;
        if next < total {
            self.incoming = Some(incoming);
            return self.send(from, disk, Body::Chunked { index, offset: next, round });
        }
        self.install(Snapshot { bytes: incoming.bytes, index, membership, term });
        self.send(from, disk, Body::Appended { matched: index, round });
    }

    fn install(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        if self.log.term(snapshot.index) != Some(snapshot.term) {
            self.mark_unsynced_from(snapshot.index);
        }
        self.commit_index = snapshot.index;
        self.log.install(Arc::clone(&snapshot));
        self.record(Record::Snapshot(Arc::clone(&snapshot)));
        self.outputs.push(Output::Install { snapshot });
    }
}
