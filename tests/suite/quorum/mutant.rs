//! Mutants: deliberate faults, each of which the checker must detect as a safety violation.

use hemlockfield::quorum::Fault;
use hemlockfield::quorum::Message;
use hemlockfield::quorum::Record;
use rstest::rstest;

use super::cluster::TIMEOUT_PREFIX;
use super::cluster::inflate_log;
use super::model::chaos;

/// Number of seeds tried before a mutant counts as not detected.
const SEEDS: u64 = 400;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Mutant {
    /// A VM that lost its disk comes back under its old identity.
    AmnesiacVoter,
    /// Candidates claim the longest possible log.
    InflatedLog,
    /// The disk reports records as synced before they are.
    EarlySynced,
    /// A fault in the replica itself.
    Replica(Fault),
    /// A restart recovers the snapshot but not the entries after it.
    SnapshotLosesTail,
    /// Terms and votes are not written.
    UnsyncedVote,
}

impl Mutant {
    pub(super) fn fault(self) -> Option<Fault> {
        if let Self::Replica(fault) = self { Some(fault) } else { None }
    }

    pub(super) fn rewrite(self, mut message: Message) -> Message {
        if self == Self::InflatedLog {
            inflate_log(&mut message);
        }
        message
    }

    pub(super) fn tamper(self, records: &mut Vec<Record>) {
        if self == Self::UnsyncedVote {
            records.retain(|record| !matches!(record, Record::Ballot { .. }));
        }
    }
}

// Each mutant breaks one rule that a replica or its disk must keep, and so causes two leaders,
// a lost acknowledgement or a stale read. The model test must fail for some seed; otherwise
// its success proves nothing about the real replica. `Fault::OldTermCommit` needs the fixed
// schedule of module `schedule`.
#[rstest]
#[case::amnesiac_voter(Mutant::AmnesiacVoter)]
#[case::blind_append(Mutant::Replica(Fault::BlindAppend))]
#[case::inflated_log(Mutant::InflatedLog)]
#[case::early_synced(Mutant::EarlySynced)]
#[case::snapshot_loses_tail(Mutant::SnapshotLosesTail)]
#[case::unchecked_read(Mutant::Replica(Fault::UncheckedRead))]
#[case::unsynced_vote(Mutant::UnsyncedVote)]
fn chaos_detects_mutant(#[case] mutant: Mutant) {
    let found = (0..SEEDS).find_map(|seed| {
        let size = if seed % 2 == 0 { 3 } else { 5 };
        let violation = chaos(seed, size, Some(mutant)).err()?;
        (!violation.starts_with(TIMEOUT_PREFIX)).then_some((seed, violation))
    });
    println!("{mutant:?}: {found:?}");
    assert!(found.is_some(), "{mutant:?} not detected in {SEEDS} seeds");
}
