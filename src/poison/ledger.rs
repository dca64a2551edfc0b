//! Crashes of upstreams by request, and the quarantines that follow from them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::Crash;
use super::Evidence;
use super::Fingerprint;
use super::Identity;
use super::List;
use super::Quarantine;
use super::Report;
use super::quarantine;
use super::suspect::Ended;
use super::suspect::Kind;
use super::suspect::Quarantined;
use super::suspect::Suspect;
use crate::clock::Moment;

/// Upstreams that may end under a request before it is quarantined.
const CRASHES_MAX: usize = 3;
/// How many more may while upstreams end without it too, so that it may just be in flight when they do.
const UNRELATED_MAX: usize = 2;
/// Time for which such a crash counts, and most that are remembered.
const UNRELATED_SPAN: Duration = Duration::from_secs(60);
const MAX_RECENT: usize = 64;
/// Most requests in flight at a crash that are remembered, over all entries.
const MAX_IN_FLIGHT: usize = 128;
/// Time from the last of these crashes to the quarantine, in which an answer to the same request clears
/// it. What is sent meanwhile ends more upstreams, so it is short.
const GRACE: Duration = Duration::from_secs(1);
/// How many more may while another suspected request was in flight at all of these crashes. An answer to one of
/// the two tells which, but an entry that is cut off hears of none; the next crash is of the fatal one alone.
const TIED_MAX: usize = 1;
/// Time after which a request is not suspected any more if no upstream ended under it since.
const SUSPICION: Duration = Duration::from_secs(300);
/// Time for which an answer outweighs the quarantines of processes that have not heard of it.
const CLEARED: Duration = Duration::from_secs(10);
/// Most suspected and quarantined kinds. Callers can add some only as fast as upstreams end.
const MAX_SUSPECTS: usize = 1_024;
const MAX_QUARANTINES: usize = 256;

/// What one process knows of requests under which upstreams ended.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Kinds of which an upstream answered one, and when.
    cleared: BTreeMap<Fingerprint, Moment>,
    /// The last crashes, each with the requests that were in flight.
    recent: VecDeque<(Ended, Vec<Identity>)>,
    quarantined: BTreeMap<Fingerprint, Quarantined>,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Ledger {
    /// Records evidence of any entry.
    pub fn record(&mut self, now: Moment, evidence: &Evidence) {
        evidence.answered.iter().for_each(|identity| self.clear(now, identity));
        evidence.crashes.iter().for_each(|crash| self.record_crash(now, crash));
        self.advance(now);
    }

    /// Advances the time to `now`.
    pub fn advance(&mut self, now: Moment) {
        self.cleared.retain(|_, at| now < *at + CLEARED);
        self.suspects.retain(|_, it| it.crashes.last().is_some_and(|it| now < it.at + SUSPICION));
        self.quarantined.retain(|_, held| now < held.expires_at());
        loop {
            let due = self.due(now);
            if due.is_empty() {
                return;
            }
            let count = due.len();
            for (position, fingerprint) in due.into_iter().enumerate() {
                let Some(suspect) = self.suspects.remove(&fingerprint) else { continue };
                tracing::warn!(
                    target: "hemlockfield::poison",
                    fingerprint = %format_args!("{fingerprint:016x}"),
                    width = suspect.kind.width(),
                    crashes = suspect.crashes.len(),
                    "request quarantined"
                );
                let until = now + quarantine::first_length(position, count);
                self.insert(fingerprint, Quarantined::new(until, suspect));
            }
        }
    }

    /// What the traffic threads go by.
    pub fn list(&self) -> List {
        let quarantined = self.quarantined.iter().map(|(of, held)| (*of, held.until));
        let suspects = self.suspects.iter().map(|(of, suspect)| (*of, suspect.crashes.len()));
        List { quarantined: quarantined.collect(), suspects: suspects.collect() }
    }

    /// Digest of the quarantines, the same in all processes that know the same ones.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (fingerprint, held) in &self.quarantined {
            hash.update(&fingerprint.to_le_bytes());
            hash.update(&held.count.to_le_bytes());
        }
        if self.quarantined.is_empty() { 0 } else { hash.digest() }
    }

    /// The quarantines, for a process whose own ones have the digest `known`; all of them without it.
    pub fn report(&self, now: Moment, known: Option<u64>) -> Report {
        let digest = self.digest();
        let quarantine = |(fingerprint, held): (&Fingerprint, &Quarantined)| Quarantine {
            expires_in: held.expires_at().saturating_sub(now),
            fingerprint: *fingerprint,
            count: held.count,
        };
        let quarantines =
            (Some(digest) != known).then(|| self.quarantined.iter().map(quarantine).collect());
        Report { digest, quarantines }
    }

    /// Adds quarantines that another process tells of. Of two for one request the later one counts.
    pub fn merge(&mut self, now: Moment, report: &Report) {
        for told in report.quarantines.iter().flatten() {
            let known = self.quarantined.get(&told.fingerprint).map_or(0, |it| it.count);
            if known >= told.count || self.cleared.contains_key(&told.fingerprint) {
                continue;
            }
            let longest = quarantine::length(told.count) + quarantine::MEMORY;
            let expires_at = now + told.expires_in.min(longest);
            let until = expires_at.saturating_sub(quarantine::MEMORY);
            let held =
                self.quarantined.remove(&told.fingerprint).map(|held| (held.kind, held.crashes));
            let suspect = self.suspects.remove(&told.fingerprint);
            let suspect = suspect.map(|it| (Some(it.kind), VecDeque::from(it.crashes)));
            let (kind, crashes) = held.or(suspect).unwrap_or_default();
            self.insert(told.fingerprint, Quarantined { count: told.count, crashes, kind, until });
        }
    }

    fn clear(&mut self, now: Moment, identity: &Identity) {
        for fingerprint in identity.fingerprints() {
            let was_suspected = self.suspects.remove(&fingerprint).is_some();
            let was_quarantined = self.quarantined.remove(&fingerprint).is_some();
            if !was_suspected && !was_quarantined {
                continue;
            }
            tracing::info!(
                target: "hemlockfield::poison",
                fingerprint = %format_args!("{fingerprint:016x}"),
                was_quarantined,
                "request cleared by an answer"
            );
            if self.cleared.len() < MAX_SUSPECTS {
                self.cleared.insert(fingerprint, now);
            }
        }
    }

    fn record_crash(&mut self, now: Moment, crash: &Crash) {
        self.note_recent(now, crash);
        let ended = Ended { at: now, scope: crash.scope.clone() };
        for identity in &crash.suspects {
            for (width, fingerprint) in identity.fingerprints().into_iter().enumerate() {
                if let Some(held) = self.quarantined.get_mut(&fingerprint) {
                    held.record(now, &ended);
                    continue;
                }
                let new = || Suspect::new(Kind::new(*identity, width));
                let suspect = self.suspects.entry(fingerprint).or_insert_with(new);
                if suspect.record(&ended, identity) && suspect.crashes.len() > 1 {
                    tracing::info!(
                        target: "hemlockfield::poison",
                        fingerprint = %format_args!("{fingerprint:016x}"),
                        width,
                        scope = ?crash.scope,
                        crashes = suspect.crashes.len(),
                        "request suspected"
                    );
                }
            }
        }
        self.limit_suspects();
    }

    /// Notes a crash with the requests that were in flight, as far as one entry knows them.
    fn note_recent(&mut self, now: Moment, crash: &Crash) {
        let ended = Ended { at: now, scope: crash.scope.clone() };
        if let Some((_, suspects)) = self.recent.iter_mut().find(|(other, _)| other.is_same(&ended))
        {
            let room = MAX_IN_FLIGHT.saturating_sub(suspects.len());
            suspects.extend(crash.suspects.iter().take(room));
            return;
        }
        self.recent.push_back((ended, crash.suspects.clone()));
        let is_over = |(ended, _): &(Ended, _)| now >= ended.at + UNRELATED_SPAN;
        while self.recent.len() > MAX_RECENT || self.recent.front().is_some_and(is_over) {
            self.recent.pop_front();
        }
    }

    /// Kinds to quarantine now: the one with the most crashes that no quarantined request explains, and those
    /// with the same ones. Once they are quarantined, they may explain those of others.
    fn due(&self, now: Moment) -> Vec<Fingerprint> {
        let candidates = self.suspects.values().filter(|it| it.crashes.len() >= CRASHES_MAX);
        let candidates = candidates.filter(|it| !it.has_single_narrower());
        let due = candidates.filter_map(|suspect| {
            let open = self.unexplained(suspect);
            let needed = CRASHES_MAX + self.unrelated(now, suspect);
            let last = open.get(needed - 1)?;
            let is_over = now >= last.at + GRACE;
            let is_tied = open.len() < needed + TIED_MAX && self.is_tied(suspect, &open);
            let is_due = is_over && !is_tied && !self.is_beside_others(suspect, &open);
            is_due.then_some((open, suspect.kind))
        });
        let due: Vec<(Vec<&Ended>, Kind)> = due.collect();
        let Some((most, _)) = due.iter().max_by_key(|(open, _)| open.len()) else {
            return Vec::new();
        };
        let has_same =
            |open: &[&Ended]| open.len() == most.len() && includes(open.iter().copied(), most);
        let kinds = || due.iter().filter(|(open, _)| has_same(open)).map(|(_, kind)| kind);
        // A wider kind stands for all that are part of it.
        let widest = kinds().filter(|kind| !kinds().any(|other| kind.is_within(other)));
        widest.map(Kind::fingerprint).collect()
    }

    /// Crashes at which no quarantined request was in flight. Requests of a narrower kind, which are
    /// quarantined for these crashes themselves, explain none of them.
    fn unexplained<'a>(&self, suspect: &'a Suspect) -> Vec<&'a Ended> {
        let is_within =
            |held: &Quarantined| held.kind.is_some_and(|it| it.is_within(&suspect.kind));
        let explains =
            |one: &Ended| self.quarantined.values().any(|it| !is_within(it) && it.explains(one));
        suspect.crashes.iter().filter(|one| !explains(one)).collect()
    }

    /// Recent crashes, up to a limit, without this request in flight or another one that explains them.
    fn unrelated(&self, now: Moment, suspect: &Suspect) -> usize {
        let explains = |one: &Fingerprint| {
            let crashes = self.suspects.get(one).map_or(0, |it| it.crashes.len());
            let is_known = crashes >= CRASHES_MAX || self.quarantined.contains_key(one);
            is_known || *one == suspect.kind.fingerprint()
        };
        let is_explained = |in_flight: &[Identity]| {
            in_flight.iter().any(|identity| identity.fingerprints().iter().any(explains))
        };
        let recent = self.recent.iter().filter(|(ended, _)| now < ended.at + UNRELATED_SPAN);
        let unrelated = recent.filter(|(_, in_flight)| !is_explained(in_flight));
        unrelated.count().min(UNRELATED_MAX)
    }

    /// Whether suspected requests that had more crashes were in flight at all of these. This one was just in flight
    /// beside them.
    fn is_beside_others(&self, suspect: &Suspect, open: &[&Ended]) -> bool {
        let others = self.others(suspect).filter(|it| it.crashes.len() > suspect.crashes.len());
        includes(others.flat_map(|it| &it.crashes), open)
    }

    /// Whether another suspected request was in flight at all of these crashes.
    fn is_tied(&self, suspect: &Suspect, open: &[&Ended]) -> bool {
        self.others(suspect).any(|other| includes(other.crashes.iter(), open))
    }

    /// Suspected kinds that neither contain this one nor are part of it.
    fn others<'a>(&'a self, suspect: &'a Suspect) -> impl Iterator<Item = &'a Suspect> + Clone {
        let own = suspect.kind;
        let is_other =
            move |kind: &Kind| kind.fingerprint() != own.fingerprint() && !kind.is_related(&own);
        self.suspects.values().filter(move |it| is_other(&it.kind))
    }

    /// Adds a quarantine, in place of the one that ends first if there are too many.
    fn insert(&mut self, fingerprint: Fingerprint, held: Quarantined) {
        self.quarantined.insert(fingerprint, held);
        if self.quarantined.len() > MAX_QUARANTINES {
            let first = self.quarantined.iter().min_by_key(|(_, held)| held.until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.quarantined.remove(&first);
            }
        }
    }

    /// Forgets the suspected kinds with the fewest crashes, the oldest first, if there are too many.
    fn limit_suspects(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if excess == 0 {
            return;
        }
        let key =
            |suspect: &Suspect| (suspect.crashes.len(), suspect.crashes.last().map(|it| it.at));
        let mut order: Vec<_> = self.suspects.iter().map(|(of, it)| (key(it), *of)).collect();
        order.sort_unstable();
        for (_, fingerprint) in order.into_iter().take(excess) {
            self.suspects.remove(&fingerprint);
        }
    }
}

/// Whether all of `some` are among `all`.
fn includes<'a>(all: impl Iterator<Item = &'a Ended> + Clone, some: &[&Ended]) -> bool {
    some.iter().all(|one| all.clone().any(|other| other.is_same(one)))
}
