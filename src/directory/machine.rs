//! Answers of one entry to callers.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Moment;
use crate::directory::Answer;
use crate::directory::Entry;
use crate::directory::assignments::Assignments;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::RegionId;

/// Longest time until all entries stop listing a leaving one. Gossip takes about 1 s, and an entry
/// that gossip cannot reach declares the leaving one failed within 7 s.
const LEAVE_PROPAGATION: Duration = Duration::from_secs(7);

/// Share of the lifetime that is subtracted as jitter. Callers that started together would
/// otherwise always ask at the same time.
const JITTER: f64 = 0.2;

/// Weight of a load of 1 in callers. A fully loaded entry should get no new callers while others
/// are idle, and a tenth more load should weigh as much as one caller.
const LOAD_WEIGHT: f64 = 10.0;

/// Number of hashed candidates from which the least loaded is chosen if loads are known. Of 2, 3,
/// 4, 8 and 44, with loads a second old, 4 best balanced callers that differ tenfold.
const CANDIDATES: usize = 4;

/// Decides which entries are advertised to a caller.
#[derive(Debug)]
pub struct Directory {
    answers: u64,
    assignments: Assignments,
    leaving: Option<Moment>,
    lifetime: Duration,
    region: RegionId,
}

impl Directory {
    /// Default lifetime of an answer.
    pub const LIFETIME: Duration = Duration::from_secs(30);

    /// Number of entries in an answer. With four in different failure domains a caller can fail
    /// over when two domains are lost. More only make the answer longer.
    pub const ENTRIES: usize = 6;

    /// Number of entries in an answer from the region of the answering entry, if it has that
    /// many. The others are in other regions, in case the region is lost.
    const LOCAL_ENTRIES: usize = 4;

    /// Creates the directory of an entry in `region`. `lifetime` is the longest lifetime of an
    /// answer. It is the same at all entries, so that a leaving one knows when the last answer
    /// that lists it has expired.
    pub fn new(region: RegionId, lifetime: Duration) -> Self {
        Self { answers: 0, assignments: Assignments::default(), leaving: None, lifetime, region }
    }

    /// Creates an answer from the live entries.
    ///
    /// The first one is the entry of the same region that is first in the fewest valid answers.
    /// This balances the callers of each answering entry, and so all callers. The others are
    /// ordered by a hash of the caller, with new failure domains preferred. When an entry fails,
    /// its callers are distributed over the others.
    pub fn answer(&mut self, now: Moment, caller: &str, entries: &[Entry]) -> Answer {
        self.assignments.expire(now);
        self.answers += 1;
        let lifetime = self.lifetime(caller);
        let ranked = self.rank(caller, entries);
        let local: Vec<&Entry> =
            ranked.iter().copied().filter(|entry| entry.region == self.region).collect();
        let mut chosen = Vec::new();
        let mut domains = BTreeSet::new();
        if let Some(first) =
            self.choose_first(caller, if local.is_empty() { &ranked } else { &local })
        {
            self.assignments.add(first.id.clone(), now + lifetime);
            domains.insert(first.domain.clone());
            chosen.push(first);
        }
        fill(&mut chosen, &mut domains, &local, Self::LOCAL_ENTRIES);
        let remote: Vec<&Entry> =
            ranked.iter().copied().filter(|entry| entry.region != self.region).collect();
        fill(&mut chosen, &mut domains, &remote, Self::ENTRIES);
        fill(&mut chosen, &mut domains, &ranked, Self::ENTRIES);
        let lifetime_ms = lifetime.as_millis() as u64;
        Answer { entries: chosen.iter().map(|entry| entry.address).collect(), lifetime_ms }
    }

    /// Records that this entry announced its leaving to the fleet.
    pub fn leave(&mut self, now: Moment) {
        self.leaving.get_or_insert(now);
    }

    /// Whether every answer that may list this leaving entry has expired.
    pub fn safe_to_stop(&self, now: Moment) -> bool {
        self.leaving.is_some_and(|at| now >= at + LEAVE_PROPAGATION + self.lifetime)
    }

    /// Returns the entries to list, ordered by a hash of the caller, with suspects last.
    ///
    /// If no entry is serving, those that start or leave are listed. They may still accept
    /// requests, and an empty answer is useless.
    fn rank<'a>(&self, caller: &str, entries: &'a [Entry]) -> Vec<&'a Entry> {
        let serving = |entry: &&Entry| entry.state == State::Serving;
        let mut ranked: Vec<&Entry> = entries.iter().filter(serving).collect();
        if ranked.is_empty() {
            ranked = entries.iter().collect();
        }
        ranked.sort_by_key(|entry| (entry.suspect, caller_hash(caller, &entry.id)));
        ranked
    }

    /// Returns the entry with the lowest weight, which is the number of valid answers in which it
    /// is first plus its load.
    ///
    /// All answering entries learn loads at the same time. With the least loaded of all, every
    /// answer of that second would have the same few entries first. So if loads are known, it is
    /// the least loaded of [`CANDIDATES`] chosen by hash.
    fn choose_first<'a>(&self, caller: &str, entries: &[&'a Entry]) -> Option<&'a Entry> {
        let has_loads = entries.iter().any(|entry| entry.load > 0.0);
        let mut candidates = entries.to_vec();
        candidates.sort_by_key(|entry| (entry.suspect, self.candidate_hash(caller, &entry.id)));
        candidates.truncate(if has_loads { CANDIDATES } else { usize::MAX });
        let weight = |entry: &Entry| {
            f64::from(self.assignments.count(&entry.id)) + LOAD_WEIGHT * entry.load.clamp(0.0, 1.0)
        };
        let order = |a: &&Entry, b: &&Entry| -> Ordering {
            a.suspect.cmp(&b.suspect).then(weight(a).total_cmp(&weight(b)))
        };
        candidates.into_iter().min_by(order)
    }

    fn candidate_hash(&self, caller: &str, id: &NodeId) -> u64 {
        xxh3_64_with_seed(id.as_bytes(), caller_hash(caller, id) ^ self.answers)
    }

    fn lifetime(&self, caller: &str) -> Duration {
        let hash = xxh3_64_with_seed(caller.as_bytes(), self.answers);
        let fraction = (hash % 1000) as f64 / 1000.0;
        self.lifetime.mul_f64(1.0 - JITTER * fraction)
    }
}

/// Adds entries until there are `count`, those in new failure domains first.
fn fill<'a>(
    chosen: &mut Vec<&'a Entry>,
    domains: &mut BTreeSet<DomainId>,
    from: &[&'a Entry],
    count: usize,
) {
    for is_domain_pass in [true, false] {
        for entry in from {
            let is_chosen = chosen.iter().any(|other| other.id == entry.id);
            let is_domain_known = domains.contains(&entry.domain);
            if chosen.len() >= count
                || is_chosen
                || (is_domain_pass && (is_domain_known || entry.suspect))
            {
                continue;
            }
            domains.insert(entry.domain.clone());
            chosen.push(entry);
        }
    }
}

fn caller_hash(caller: &str, id: &NodeId) -> u64 {
    let seed = xxh3_64_with_seed(caller.as_bytes(), 0);
    xxh3_64_with_seed(id.as_bytes(), seed)
}
