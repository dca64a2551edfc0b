//! A control's side: who asked, what each knows, and what all are told at once.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Control;
use super::Entry;
use super::Message;
use super::News;
use super::Poll;
use super::Ready;
use crate::catalog::Catalog;
use crate::clock::Moment;
use crate::config::Version;
use crate::fleet::State;
use crate::health;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::ServiceId;

/// An entry that has not asked for so long is left out of lists: two rounds and a lost
/// one. Callers would try it in vain.
const LOST: Duration = Duration::from_millis(1600);
/// What another control has told counts for so long without being told again.
const HEARSAY: Duration = Duration::from_secs(4);
/// Shortest pause between two pushes: under a storm of changes entries get the last of some
/// at once, and not each by itself.
const PUSH_GAP: Duration = Duration::from_millis(100);
/// Pause in which evidence is gathered, so that one message carries that of many entries.
const GATHER: Duration = Duration::from_millis(150);

/// What a control knows for sure, for the feed to tell.
#[derive(Debug)]
pub struct Ledger<'a> {
    /// Index of the log up to which all is applied.
    pub applied: Index,
    /// The table of upstreams.
    pub catalog: &'a Catalog,
    /// The configuration in force, and since which index.
    pub configuration: Option<(&'a Version, Index)>,
    /// All controls.
    pub controls: Vec<Control>,
    /// Whether a leader was heard from just now.
    pub fresh: bool,
}

/// A control's side of the feed.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    attached: BTreeMap<NodeId, Attached>,
    evidence: Vec<(ServiceId, health::Digest, bool)>,
    gathered_at: Option<Moment>,
    has_moved: bool,
    hearsay: BTreeMap<NodeId, (Moment, Entry, NodeId)>,
    push_at: Option<Moment>,
    pushed_at: Moment,
}

#[derive(Clone, Debug)]
struct Attached {
    entry: Entry,
    heard: Moment,
    known: Index,
}

impl Publisher {
    /// Answers an entry's question.
    pub fn poll(
        &mut self,
        now: Moment,
        poll: Poll,
        ledger: &Ledger<'_>,
    ) -> Vec<(NodeId, Message)> {
        let id = poll.entry.id.clone();
        let before = self.attached.get(&id).map(|attached| attached.entry.state);
        if before != Some(poll.entry.state) {
            self.has_moved = true;
        }
        self.hearsay.remove(&id);
        let known = ledger.applied.max(poll.known);
        let attached = Attached { entry: poll.entry, heard: now, known };
        self.attached.insert(id.clone(), attached);
        let news = self.news(now, poll.known, poll.sequence, ledger);
        vec![(id, Message::News(Box::new(news)))]
    }

    /// Takes what another control says of its entries.
    pub fn hear(&mut self, now: Moment, from: &NodeId, ready: Ready) {
        self.hearsay.retain(|_, (_, _, by)| by != from);
        for entry in ready.entries {
            let own = self.attached.get(&entry.id);
            if own.is_none_or(|own| now >= own.heard + LOST) {
                self.hearsay.insert(entry.id.clone(), (now, entry, from.clone()));
            }
        }
    }

    /// Takes evidence; `own` where it comes from an entry of this control.
    pub fn gather(&mut self, now: Moment, evidence: Vec<(ServiceId, health::Digest)>, own: bool) {
        self.gathered_at.get_or_insert(now);
        let marked = evidence.into_iter().map(|(service, digest)| (service, digest, own));
        self.evidence.extend(marked);
    }

    /// Notes that the log told something that entries must know.
    pub fn changed(&mut self, now: Moment) {
        let at = now.max(self.pushed_at + PUSH_GAP);
        self.push_at = Some(self.push_at.map_or(at, |other| other.min(at)));
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: Moment, ledger: &Ledger<'_>) -> Vec<(NodeId, Message)> {
        let mut sends = Vec::new();
        if self.push_at.is_some_and(|at| at <= now) {
            self.push(now, ledger, &mut sends);
        }
        if self.gathered_at.is_some_and(|at| now >= at + GATHER) {
            self.pass_on(now, ledger, &mut sends);
        }
        sends
    }

    /// When it wants to be told the time.
    pub fn wake(&self) -> Moment {
        let gather = self.gathered_at.map(|at| at + GATHER);
        self.push_at.into_iter().chain(gather).min().unwrap_or(Moment::MAX)
    }

    /// Whether an entry came, or began or ceased to take callers, since it was last told.
    pub fn has_moved(&self) -> bool {
        self.has_moved
    }

    /// The entries that ask this control, to be told to the others.
    pub fn own(&mut self, now: Moment) -> Vec<Entry> {
        self.has_moved = false;
        self.attached.retain(|_, own| now < own.heard + LOST);
        self.hearsay.retain(|_, (at, ..)| now < *at + HEARSAY);
        self.attached.values().map(|own| own.entry.clone()).collect()
    }

    /// Entries that are thought to take callers.
    pub fn serving(&self, now: Moment) -> impl Iterator<Item = &Entry> {
        let own = self.attached.values().filter(move |own| now < own.heard + LOST);
        let hearsay = self.hearsay.values().filter(move |(at, ..)| now < *at + HEARSAY);
        let all = own.map(|own| &own.entry).chain(hearsay.map(|(_, entry, _)| entry));
        all.filter(|entry| entry.state == State::Serving)
    }

    fn news(&self, now: Moment, base: Index, sequence: u64, ledger: &Ledger<'_>) -> News {
        let configuration = ledger.configuration.filter(|(_, since)| *since > base);
        News {
            base,
            configuration: configuration.map(|(version, _)| version.clone()),
            controls: ledger.controls.clone(),
            entries: self.serving(now).count(),
            fresh: ledger.fresh,
            known: ledger.applied,
            sequence,
            upstreams: ledger.catalog.since(base),
        }
    }

    fn push(&mut self, now: Moment, ledger: &Ledger<'_>, sends: &mut Vec<(NodeId, Message)>) {
        self.push_at = None;
        self.pushed_at = now;
        let due = |own: &&Attached| now < own.heard + LOST && own.known < ledger.applied;
        let behind: Vec<(NodeId, Index)> = self
            .attached
            .values()
            .filter(due)
            .map(|own| (own.entry.id.clone(), own.known))
            .collect();
        for (id, known) in behind {
            let news = self.news(now, known, 0, ledger);
            sends.push((id.clone(), Message::News(Box::new(news))));
            if let Some(own) = self.attached.get_mut(&id) {
                own.known = ledger.applied;
            }
        }
    }

    fn pass_on(&mut self, now: Moment, ledger: &Ledger<'_>, sends: &mut Vec<(NodeId, Message)>) {
        self.gathered_at = None;
        let evidence = std::mem::take(&mut self.evidence);
        let all: Vec<_> =
            evidence.iter().map(|(service, digest, _)| (service.clone(), digest.clone())).collect();
        let own = evidence.into_iter().filter(|(_, _, own)| *own);
        let own: Vec<_> = own.map(|(service, digest, _)| (service, digest)).collect();
        for attached in self.attached.values().filter(|own| now < own.heard + LOST) {
            let foreign = |(_, digest): &&(ServiceId, health::Digest)| digest.from != attached.entry.id;
            let news: Vec<_> = all.iter().filter(foreign).cloned().collect();
            if !news.is_empty() {
                sends.push((attached.entry.id.clone(), Message::Evidence(news)));
            }
        }
        if !own.is_empty() {
            let others = ledger.controls.iter().map(|control| control.id.clone());
            sends.extend(others.map(|id| (id, Message::Evidence(own.clone()))));
        }
    }
}
