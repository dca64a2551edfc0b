//! Appends a leader's entries to a follower's log.

use super::entry::Entry;
use super::message::Body;
use super::record::Record;
use super::replica::Replica;
use super::setup::Fault;
use crate::id::Index;
use crate::id::Term;

impl Replica {
    /// Appends the entries if the log matches the leader's at the index before
    /// them. Returns the last index known to match, or as an error the last index
    /// that may match.
    pub(super) fn append_entries(
        &mut self,
        prev: (Index, Term),
        entries: Vec<Entry>,
    ) -> Result<Index, Index> {
        let (prev_index, _) = prev;
        self.check_previous(prev)?;
        let mut matched = prev_index;
        for entry in entries {
            if entry.index != matched + 1 || !self.append_entry(entry) {
                return Ok(matched);
            }
            matched += 1;
        }
        Ok(matched)
    }

    pub(super) fn answer_append(
        &mut self,
        round: u64,
        prev_index: Index,
        outcome: Result<Index, Index>,
        commit: Index,
    ) -> Body {
        match outcome {
            Ok(matched) => {
                self.commit_to(commit.min(matched));
                Body::Appended { matched, round }
            }
            Err(hint) => Body::Mismatch { hint, prev_index, round },
        }
    }

    fn check_previous(&self, (index, term): (Index, Term)) -> Result<(), Index> {
        if index < self.log.base_index() {
            return Ok(());
        }
        let Some(own) = self.log.term(index) else {
            return Err(self.log.last_index());
        };
        if own == term || self.setup.fault == Some(Fault::BlindAppend) {
            return Ok(());
        }
        Err((self.log.term_start(index) - 1).max(self.commit_index))
    }

    /// Appends one entry. Returns `false` if it conflicts with an entry that is
    /// committed here, which a correct leader never sends; the committed entry stays.
    fn append_entry(&mut self, entry: Entry) -> bool {
        if entry.index <= self.log.base_index() {
            return true;
        }
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return true,
            Some(_) if entry.index <= self.commit_index => return false,
            Some(_) => {
                self.log.truncate(entry.index);
                self.mark_unsynced_from(entry.index);
            }
            None => {}
        }
        self.record(Record::Entry(entry.clone()));
        self.log.push(entry);
        true
    }
}
