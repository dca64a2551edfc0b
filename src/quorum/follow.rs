//! A follower takes entries.

use super::entry::Entry;
use super::message::Body;
use super::record::Record;
use super::replica::Replica;
use super::setup::Fault;
use crate::id::Index;
use crate::id::Term;

impl Replica {
    /// Takes the entries where the position before them is equal to the
    /// leader's; gives the last position known to be equal, or the last one that
    /// may be.
    pub(super) fn take_entries(
        &mut self,
        prev: (Index, Term),
        entries: Vec<Entry>,
    ) -> Result<Index, Index> {
        let (prev_index, _) = prev;
        self.check_position(prev)?;
        let mut matched = prev_index;
        for entry in entries {
            if entry.index != matched + 1 || !self.take_entry(entry) {
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

    fn check_position(&self, (index, term): (Index, Term)) -> Result<(), Index> {
        if index < self.trail.base() {
            return Ok(());
        }
        let Some(own) = self.trail.term(index) else {
            return Err(self.trail.last());
        };
        if own == term || self.setup.fault == Some(Fault::BlindAppend) {
            return Ok(());
        }
        Err((self.trail.run_start(index) - 1).max(self.commit))
    }

    /// Takes one entry; `false` if it contradicts what is committed here, which
    /// a correct leader never sends: committed state is worth more than it.
    fn take_entry(&mut self, entry: Entry) -> bool {
        if entry.index <= self.trail.base() {
            return true;
        }
        match self.trail.term(entry.index) {
            Some(term) if term == entry.term => return true,
            Some(_) if entry.index <= self.commit => return false,
            Some(_) => {
                self.trail.truncate(entry.index);
                self.forget_from(entry.index);
            }
            None => {}
        }
        self.record(Record::Entry(entry.clone()));
        self.trail.push(entry);
        true
    }
}
