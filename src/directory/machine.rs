//! One entry's answers to callers.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Moment;
use crate::directory::Answer;
use crate::directory::Entry;
use crate::directory::grants::Grants;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::RegionId;

/// Longest time for a member's leaving to be known at every entry that lists it: the
/// flood takes about 1 s; an entry that the flood can't reach takes the leaving one
/// for failed within 7 s.
const NOTICE: Duration = Duration::from_secs(7);

/// Share of the lifetime that is cut at random, by caller: callers that started
/// together would otherwise ask together for ever.
const JITTER: f64 = 0.2;

/// First places that a load of 1 weighs as much as. A fully busy entry should get no
/// new callers while others idle; a tenth more load should outweigh one caller.
const LOAD_WEIGHT: f64 = 10.0;

/// Entries drawn by hash of which the least loaded is taken, where loads are known.
/// Of 2, 3, 4, 8 and 44, measured with loads a second old, 4 spreads evenly callers
/// that differ tenfold best.
const DRAWN: usize = 4;

/// Decides which entries a caller is told.
#[derive(Debug)]
pub struct Directory {
    answers: u64,
    grants: Grants,
    leaving: Option<Moment>,
    lifetime: Duration,
    region: RegionId,
}

impl Directory {
    /// Usual time that a caller keeps an answer.
    pub const LIFETIME: Duration = Duration::from_secs(30);

    /// Entries in an answer. With four in different failure domains a caller has
    /// somewhere to go when two domains are lost; more only make the answer longer.
    pub const ENTRIES: usize = 6;

    /// Entries in an answer that are in the region of the one asked, where it has so
    /// many; the rest is elsewhere, for the loss of the region.
    const NEAR: usize = 4;

    /// Directory of an entry in `region`. `lifetime` is the longest time that a caller
    /// keeps an answer; the same at every entry, so that a leaving one knows when the
    /// last answer that names it is over.
    pub fn new(region: RegionId, lifetime: Duration) -> Self {
        Self { answers: 0, grants: Grants::default(), leaving: None, lifetime, region }
    }

    /// Decides an answer from the live entries.
    ///
    /// The first place goes to the near entry with the fewest first places in use, so
    /// that the callers of each answering entry are spread evenly and hence all are.
    /// The other places follow a hash of the caller and prefer failure domains not
    /// yet named: when an entry fails, its callers scatter.
    pub fn answer(&mut self, now: Moment, caller: &str, entries: &[Entry]) -> Answer {
        self.grants.expire(now);
        self.answers += 1;
        let lifetime = self.lifetime(caller);
        let ranked = self.rank(caller, entries);
        let near: Vec<&Entry> =
            ranked.iter().copied().filter(|entry| entry.region == self.region).collect();
        let mut chosen = Vec::new();
        let mut domains = BTreeSet::new();
        if let Some(first) = self.first(caller, if near.is_empty() { &ranked } else { &near }) {
            self.grants.add(first.id.clone(), now + lifetime);
            domains.insert(first.domain.clone());
            chosen.push(first);
        }
        fill(&mut chosen, &mut domains, &near, Self::NEAR);
        let far: Vec<&Entry> =
            ranked.iter().copied().filter(|entry| entry.region != self.region).collect();
        fill(&mut chosen, &mut domains, &far, Self::ENTRIES);
        fill(&mut chosen, &mut domains, &ranked, Self::ENTRIES);
        let lifetime_ms = lifetime.as_millis() as u64;
        Answer { entries: chosen.iter().map(|entry| entry.address).collect(), lifetime_ms }
    }

    /// This entry has told the fleet that it is leaving.
    pub fn leave(&mut self, now: Moment) {
        self.leaving.get_or_insert(now);
    }

    /// Whether every answer that may name this leaving entry is over.
    pub fn safe_to_stop(&self, now: Moment) -> bool {
        self.leaving.is_some_and(|at| now >= at + NOTICE + self.lifetime)
    }

    /// Entries worth naming, by a hash of the caller; suspects follow all others.
    ///
    /// Where none serves, those that start or leave are named after all: they may
    /// serve, and an empty answer helps nobody.
    fn rank<'a>(&self, caller: &str, entries: &'a [Entry]) -> Vec<&'a Entry> {
        let serving = |entry: &&Entry| entry.state == State::Serving;
        let mut ranked: Vec<&Entry> = entries.iter().filter(serving).collect();
        if ranked.is_empty() {
            ranked = entries.iter().collect();
        }
        ranked.sort_by_key(|entry| (entry.suspect, score(caller, &entry.id)));
        ranked
    }

    /// The entry with the fewest first places in use, load counted in.
    ///
    /// Loads are told to all answering entries at once: were the least of all taken,
    /// every answer of that second would name the same few. So with loads known it
    /// is the least of [`DRAWN`] drawn by hash.
    fn first<'a>(&self, caller: &str, entries: &[&'a Entry]) -> Option<&'a Entry> {
        let told = entries.iter().any(|entry| entry.load > 0.0);
        let mut drawn = entries.to_vec();
        drawn.sort_by_key(|entry| (entry.suspect, self.draw(caller, &entry.id)));
        drawn.truncate(if told { DRAWN } else { usize::MAX });
        let weight = |entry: &Entry| {
            f64::from(self.grants.count(&entry.id)) + LOAD_WEIGHT * entry.load.clamp(0.0, 1.0)
        };
        let order = |a: &&Entry, b: &&Entry| -> Ordering {
            a.suspect.cmp(&b.suspect).then(weight(a).total_cmp(&weight(b)))
        };
        drawn.into_iter().min_by(order)
    }

    fn draw(&self, caller: &str, id: &NodeId) -> u64 {
        xxh3_64_with_seed(id.as_bytes(), score(caller, id) ^ self.answers)
    }

    fn lifetime(&self, caller: &str) -> Duration {
        let hash = xxh3_64_with_seed(caller.as_bytes(), self.answers);
        let part = (hash % 1000) as f64 / 1000.0;
        self.lifetime.mul_f64(1.0 - JITTER * part)
    }
}

/// Adds entries until there are `count`: first those in new failure domains.
fn fill<'a>(
    chosen: &mut Vec<&'a Entry>,
    domains: &mut BTreeSet<DomainId>,
    from: &[&'a Entry],
    count: usize,
) {
    for fresh in [true, false] {
        for entry in from {
            let named = chosen.iter().any(|other| other.id == entry.id);
            let known = domains.contains(&entry.domain);
            if chosen.len() >= count || named || (fresh && (known || entry.suspect)) {
                continue;
            }
            domains.insert(entry.domain.clone());
            chosen.push(entry);
        }
    }
}

fn score(caller: &str, id: &NodeId) -> u64 {
    let seed = xxh3_64_with_seed(caller.as_bytes(), 0);
    xxh3_64_with_seed(id.as_bytes(), seed)
}
