//! Checks the safety properties of a cluster on every output of every replica.

use std::collections::BTreeMap;

use hemlockfield::id::Index;
use hemlockfield::id::NodeId;
use hemlockfield::id::Term;
use hemlockfield::quorum::Body;
use hemlockfield::quorum::DiskId;
use hemlockfield::quorum::Entry;
use hemlockfield::quorum::Message;
use hemlockfield::quorum::Payload;
use hemlockfield::quorum::Recovered;

pub(super) type CheckResult = Result<(), String>;
type MemberId = (NodeId, DiskId);

/// Outputs observed so far. Each check returns an error that describes the violation.
#[derive(Debug, Default)]
pub(super) struct Checker {
    pub(super) accepted: BTreeMap<Index, Vec<u8>>,
    chosen: BTreeMap<Index, (Term, Payload)>,
    leaders: BTreeMap<Term, MemberId>,
    logged: BTreeMap<(Index, Term), (Payload, Term)>,
    proposed: BTreeMap<u64, Vec<u8>>,
    reads: BTreeMap<u64, Index>,
    votes: BTreeMap<(MemberId, Term), NodeId>,
}

impl Checker {
    pub(super) fn last_accepted(&self) -> Index {
        self.accepted.keys().next_back().copied().unwrap_or(0)
    }

    pub(super) fn propose(&mut self, ticket: u64, command: Vec<u8>) {
        self.proposed.insert(ticket, command);
    }

    pub(super) fn read(&mut self, ticket: u64) {
        self.reads.insert(ticket, self.last_accepted());
    }

    /// Checks that a read sees everything accepted before it was issued.
    pub(super) fn readable(&self, ticket: u64, applied: Index) -> CheckResult {
        let wanted = self.reads.get(&ticket).copied().unwrap_or(0);
        ensure(applied >= wanted, || format!("read {ticket} sees {applied}, not {wanted}"))
    }

    /// Checks that an accepted command is the proposed one and is committed at its index.
    pub(super) fn accept(&mut self, ticket: u64, index: Index) -> CheckResult {
        let Some(command) = self.proposed.get(&ticket) else { return Ok(()) };
        let chosen = self.chosen.get(&index).map(|(_, payload)| payload);
        let same = chosen == Some(&Payload::Command(command.clone()));
        ensure(same, || {
            format!("ticket {ticket} accepted at {index}, where {chosen:?} is chosen")
        })?;
        self.accepted.insert(index, command.clone());
        Ok(())
    }

    /// Checks state machine safety: an index never has two committed payloads.
    pub(super) fn choose(
        &mut self,
        index: Index,
        term: Option<Term>,
        payload: &Payload,
    ) -> CheckResult {
        let first = (term.unwrap_or(0), payload.clone());
        let (known, chosen) = self.chosen.entry(index).or_insert(first);
        let same = chosen == payload && term.is_none_or(|term| term == *known);
        ensure(same, || format!("{payload:?} committed at {index}, where {chosen:?} was"))
    }

    /// Checks log matching: entries with the same index and term have the same payload
    /// and predecessor in every log.
    pub(super) fn append(&mut self, entry: &Entry, prev_term: Term) -> CheckResult {
        let key = (entry.index, entry.term);
        let value = (entry.payload.clone(), prev_term);
        let known = self.logged.entry(key).or_insert_with(|| value.clone());
        ensure(*known == value, || format!("two entries at {key:?}: {known:?} and {value:?}"))
    }

    /// Whether a log holds the payload committed at `index`.
    pub(super) fn holds(&self, log: &Recovered, index: Index) -> bool {
        let covered = log.snapshot.as_ref().is_some_and(|snapshot| snapshot.index >= index);
        let entry = log.entries.iter().find(|entry| entry.index == index);
        let chosen = self.chosen.get(&index).map(|(_, payload)| payload);
        covered || chosen.is_some() && entry.map(|entry| &entry.payload) == chosen
    }

    /// Checks election safety and leader completeness.
    pub(super) fn become_leader(
        &mut self,
        member_id: &MemberId,
        term: Term,
        log: &Recovered,
    ) -> CheckResult {
        let known = self.leaders.entry(term).or_insert_with(|| member_id.clone());
        ensure(known == member_id, || format!("{known:?} and {member_id:?} lead in term {term}"))?;
        let base = log.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        for (index, (_, payload)) in self.chosen.range(base + 1..) {
            let place = usize::try_from(index - base - 1).expect("fits usize");
            let own = log.entries.get(place).map(|entry| &entry.payload);
            ensure(own == Some(payload), || {
                format!("{member_id:?} leads term {term} with {own:?} at {index}, not {payload:?}")
            })?;
        }
        Ok(())
    }

    /// Checks that a replica votes once per term and acknowledges only what is synced.
    pub(super) fn send(
        &mut self,
        from: &NodeId,
        to: &NodeId,
        message: &Message,
        disk: &Recovered,
    ) -> CheckResult {
        match message.body {
            Body::Voted { granted: true } => {
                let key = ((from.clone(), message.disk), message.term);
                let vote = self.votes.entry(key).or_insert_with(|| to.clone());
                ensure(vote == to, || format!("{from} votes twice in term {}", message.term))
            }
            Body::Appended { matched, .. } => ensure(disk.last() >= matched, || {
                format!("{from} acknowledges {matched} with {} on disk", disk.last())
            }),
            _ => Ok(()),
        }
    }
}

/// Returns `message` as an error unless `condition` holds.
pub(super) fn ensure(condition: bool, message: impl FnOnce() -> String) -> CheckResult {
    if condition { Ok(()) } else { Err(message()) }
}
