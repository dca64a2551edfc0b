//! Deaths of upstreams by request, and the quarantines that follow from them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::Death;
use super::Evidence;
use super::Fingerprint;
use super::List;
use super::Quarantine;
use super::Report;
use super::quarantine;
use crate::clock::Moment;
use crate::id::UpstreamId;

/// Upstreams that may end under a request before it is quarantined.
const DEATHS_MAX: usize = 3;
/// How many more may while upstreams end without it too, so that it may just be in flight when they do.
const UNRELATED_MAX: usize = 2;
/// Time for which such a death counts, and most that are remembered.
const UNRELATED_SPAN: Duration = Duration::from_secs(60);
const MAX_RECENT: usize = 64;
/// Most requests in flight at a death that are remembered, over all entries.
const MAX_IN_FLIGHT: usize = 128;
/// Time from the last of these deaths to the quarantine, in which an answer to the same request acquits
/// it. What is sent meanwhile ends more upstreams, so it is short.
const DELIBERATION: Duration = Duration::from_secs(1);
/// Time within which two reports of an upstream's death are about the same one.
const SAME_DEATH: Duration = Duration::from_millis(1_500);
/// Time after which a request is not suspected any more if no upstream ended under it since.
const SUSPICION: Duration = Duration::from_secs(300);
/// Time for which an acquittal outweighs the quarantines of processes that have not heard of it.
const ACQUITTAL: Duration = Duration::from_secs(10);
/// Most suspected and quarantined requests. Callers can add some only as fast as upstreams end.
const MAX_SUSPECTS: usize = 512;
const MAX_QUARANTINES: usize = 256;
/// Most deaths that are remembered of a request.
const MAX_DEATHS: usize = 8;

/// What one process knows of requests under which upstreams ended.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Requests that an upstream answered, and when.
    acquitted: BTreeMap<Fingerprint, Moment>,
    /// The last deaths, each with the requests that were in flight.
    recent: VecDeque<(Ended, Vec<Fingerprint>)>,
    sentences: BTreeMap<Fingerprint, Sentence>,
    suspects: BTreeMap<Fingerprint, Vec<Ended>>,
}

/// An upstream that ended, and when.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Ended {
    at: Moment,
    upstream: UpstreamId,
}

impl Ended {
    /// Whether two reports are about the same death. Entries report one at slightly different times.
    fn is_same(&self, other: &Self) -> bool {
        self.upstream == other.upstream && self.at.abs_diff(other.at) < SAME_DEATH
    }
}

/// A request in quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Sentence {
    strikes: u32,
    until: Moment,
}

impl Sentence {
    fn new(now: Moment, strikes: u32) -> Self {
        Self { strikes, until: now + quarantine::length(strikes) }
    }

    fn expires_at(&self) -> Moment {
        self.until + quarantine::MEMORY
    }
}

impl Ledger {
    /// Records evidence of any entry.
    pub fn record(&mut self, now: Moment, evidence: &Evidence) {
        evidence.answered.iter().for_each(|fingerprint| self.acquit(now, *fingerprint));
        evidence.deaths.iter().for_each(|death| self.record_death(now, death));
        self.advance(now);
    }

    /// Advances the time to `now`; returns whether a request was quarantined or forgotten.
    pub fn advance(&mut self, now: Moment) -> bool {
        let before = self.sentences.len();
        self.acquitted.retain(|_, at| now < *at + ACQUITTAL);
        self.suspects.retain(|_, ended| ended.last().is_some_and(|it| now < it.at + SUSPICION));
        self.sentences.retain(|_, sentence| now < sentence.expires_at());
        let is_forgotten = self.sentences.len() < before;
        let due = self.due(now);
        for fingerprint in &due {
            self.suspects.remove(fingerprint);
            self.sentence(now, *fingerprint, 1);
        }
        is_forgotten || !due.is_empty()
    }

    /// What the traffic threads go by.
    pub fn list(&self) -> List {
        let quarantined = self.sentences.iter().map(|(of, sentence)| (*of, sentence.until));
        let suspects = self.suspects.iter().map(|(of, ended)| (*of, ended.len()));
        List { quarantined: quarantined.collect(), suspects: suspects.collect() }
    }

    /// Digest of the quarantines, the same in all processes that know the same ones.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (fingerprint, sentence) in &self.sentences {
            hash.update(&fingerprint.to_le_bytes());
            hash.update(&sentence.strikes.to_le_bytes());
        }
        if self.sentences.is_empty() { 0 } else { hash.digest() }
    }

    /// The quarantines, for a process whose own ones have the digest `known`; all of them without it.
    pub fn report(&self, now: Moment, known: Option<u64>) -> Report {
        let digest = self.digest();
        let quarantine = |(fingerprint, sentence): (&Fingerprint, &Sentence)| Quarantine {
            expires_in: sentence.expires_at().saturating_sub(now),
            fingerprint: *fingerprint,
            strikes: sentence.strikes,
        };
        let quarantines =
            (Some(digest) != known).then(|| self.sentences.iter().map(quarantine).collect());
        Report { digest, quarantines }
    }

    /// Adds quarantines that another process tells of. Of two for one request the later one counts.
    pub fn merge(&mut self, now: Moment, report: &Report) {
        for told in report.quarantines.iter().flatten() {
            let known = self.sentences.get(&told.fingerprint).map_or(0, |it| it.strikes);
            if known >= told.strikes || self.acquitted.contains_key(&told.fingerprint) {
                continue;
            }
            let longest = quarantine::length(told.strikes) + quarantine::MEMORY;
            let expires_at = now + told.expires_in.min(longest);
            let until = expires_at.saturating_sub(quarantine::MEMORY);
            self.suspects.remove(&told.fingerprint);
            self.insert(told.fingerprint, Sentence { strikes: told.strikes, until });
        }
    }

    fn acquit(&mut self, now: Moment, fingerprint: Fingerprint) {
        let was_suspected = self.suspects.remove(&fingerprint).is_some();
        let was_quarantined = self.sentences.remove(&fingerprint).is_some();
        if (was_suspected || was_quarantined) && self.acquitted.len() < MAX_SUSPECTS {
            self.acquitted.insert(fingerprint, now);
        }
    }

    fn record_death(&mut self, now: Moment, death: &Death) {
        self.note_recent(now, death);
        for fingerprint in &death.suspects {
            if let Some(sentence) = self.sentences.get(fingerprint).copied() {
                // What was in flight when the quarantine began shows nothing new; a trial does.
                if now >= sentence.until {
                    self.sentence(now, *fingerprint, sentence.strikes + 1);
                }
                continue;
            }
            let known = self.suspects.entry(*fingerprint).or_default();
            let ended = Ended { at: now, upstream: death.upstream.clone() };
            let is_known = known.iter().any(|other| other.is_same(&ended));
            if !is_known && known.len() < MAX_DEATHS {
                known.push(ended);
            }
        }
        self.limit_suspects();
    }

    /// Notes a death with the requests that were in flight, as far as one entry knows them.
    fn note_recent(&mut self, now: Moment, death: &Death) {
        let ended = Ended { at: now, upstream: death.upstream.clone() };
        if let Some((_, suspects)) = self.recent.iter_mut().find(|(other, _)| other.is_same(&ended))
        {
            let room = MAX_IN_FLIGHT.saturating_sub(suspects.len());
            suspects.extend(death.suspects.iter().take(room));
            return;
        }
        self.recent.push_back((ended, death.suspects.clone()));
        let is_over = |(ended, _): &(Ended, _)| now >= ended.at + UNRELATED_SPAN;
        while self.recent.len() > MAX_RECENT || self.recent.front().is_some_and(is_over) {
            self.recent.pop_front();
        }
    }

    /// Requests to quarantine now.
    fn due(&self, now: Moment) -> Vec<Fingerprint> {
        let is_due = |(fingerprint, ended): &(&Fingerprint, &Vec<Ended>)| {
            let last = ended.get(DEATHS_MAX - 1 + self.unrelated(now, **fingerprint));
            last.is_some_and(|last| now >= last.at + DELIBERATION)
                && !self.is_explained(**fingerprint, ended)
        };
        self.suspects.iter().filter(is_due).map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Recent deaths, up to a limit, without this request in flight or another one that explains them.
    fn unrelated(&self, now: Moment, fingerprint: Fingerprint) -> usize {
        let explains = |one: &Fingerprint| {
            let deaths = self.suspects.get(one).map_or(0, Vec::len);
            *one == fingerprint || deaths >= DEATHS_MAX || self.sentences.contains_key(one)
        };
        let recent = self.recent.iter().filter(|(ended, _)| now < ended.at + UNRELATED_SPAN);
        let unrelated = recent.filter(|(_, suspects)| !suspects.iter().any(explains));
        unrelated.count().min(UNRELATED_MAX)
    }

    /// Whether another request had more deaths, those under this one among them. This one was just in
    /// flight beside it.
    fn is_explained(&self, fingerprint: Fingerprint, ended: &[Ended]) -> bool {
        self.suspects.iter().any(|(other, others)| {
            let includes = |one: &Ended| others.iter().any(|other| other.is_same(one));
            *other != fingerprint && others.len() > ended.len() && ended.iter().all(includes)
        })
    }

    fn sentence(&mut self, now: Moment, fingerprint: Fingerprint, strikes: u32) {
        self.insert(fingerprint, Sentence::new(now, strikes));
    }

    /// Adds a quarantine, in place of the one that ends first if there are too many.
    fn insert(&mut self, fingerprint: Fingerprint, sentence: Sentence) {
        self.sentences.insert(fingerprint, sentence);
        if self.sentences.len() > MAX_QUARANTINES {
            let first = self.sentences.iter().min_by_key(|(_, sentence)| sentence.until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.sentences.remove(&first);
            }
        }
    }

    /// Forgets the suspected requests with the fewest deaths, the oldest first, if there are too many.
    fn limit_suspects(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let key = |ended: &Vec<Ended>| (ended.len(), ended.last().map(|it| it.at));
            let least = self.suspects.iter().min_by_key(|(_, ended)| key(ended));
            let Some(least) = least.map(|(fingerprint, _)| *fingerprint) else { return };
            self.suspects.remove(&least);
        }
    }
}
