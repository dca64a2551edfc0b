//! An entry's side: which control it asks, and when it asks another.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use super::Control;
use super::Entry;
use super::Input;
use super::Message;
use super::News;
use super::Output;
use super::Poll;
use super::Tallies;
use super::entry;
use crate::breaker::Counts;
use crate::clock::Moment;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::UpstreamId;

/// Pause between two questions. A change must be in force within 2 s of its
/// acknowledgement also where the push was lost: that leaves three rounds.
const PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for an answer: twenty times a round trip between failure domains with the
/// slowest processor's share.
const PATIENCE: Duration = Duration::from_millis(350);
/// How long a control that failed is asked only after all others.
const AVOID: Duration = Duration::from_secs(3);
/// Shortest pause between two tellings of broken answers: under a fault of many upstreams
/// some are told together.
const TELL_GAP: Duration = Duration::from_millis(30);
/// Pause before an entry that found no control asks again.
const PAUSE: Duration = Duration::from_millis(100);

/// An entry's side of the feed.
#[derive(Clone, Debug)]
pub struct Subscriber {
    asked: Option<(u64, Moment)>,
    controls: BTreeSet<Control>,
    current: Option<NodeId>,
    due: Moment,
    failed: BTreeMap<NodeId, Moment>,
    fresh_at: Option<Moment>,
    known: Index,
    me: Entry,
    named: u64,
    random: ChaCha8Rng,
    seeds: Vec<NodeId>,
    sequence: u64,
    tallies: Tallies,
    told_at: Moment,
}

impl Subscriber {
    /// An entry that knows only its seeds.
    pub fn new(now: Moment, me: Entry, seeds: Vec<NodeId>, random: ChaCha8Rng) -> Self {
        Self {
            asked: None,
            controls: BTreeSet::new(),
            current: None,
            due: now,
            failed: BTreeMap::new(),
            fresh_at: None,
            known: 0,
            me,
            named: 0,
            random,
            seeds,
            sequence: 0,
            tallies: Tallies::default(),
            told_at: now,
        }
    }

    /// Takes an input.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::News(from, news) => self.receive(now, &from, news, &mut outputs),
            Input::Tick => {}
        }
        self.run(now, &mut outputs);
        outputs
    }

    /// When it wants to be told the time.
    pub fn wake(&self) -> Moment {
        self.asked.map_or(self.due, |(_, at)| at + PATIENCE)
    }

    /// Sets whether this entry takes callers, and tells a control soon.
    pub fn set_state(&mut self, now: Moment, state: State) {
        if self.me.state != state {
            self.me.state = state;
            self.due = self.due.min(now);
        }
    }

    /// Notes what callers received here; a broken answer is told at once.
    pub fn note(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) {
        self.tallies.add(upstream, counts);
        if counts.is_urgent() {
            self.due = self.due.min(now.max(self.told_at + TELL_GAP));
        }
    }

    /// Notes requests that callers sent, and bytes that went through.
    pub fn note_traffic(&mut self, arrivals: u32, bytes: u64) {
        self.tallies.arrivals += arrivals;
        self.tallies.bytes += bytes;
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.seeds = seeds;
    }

    /// The control that is asked now.
    pub fn current(&self) -> Option<&NodeId> {
        self.current.as_ref()
    }

    /// When a control that is in touch with a leader last answered.
    pub fn fresh_at(&self) -> Option<Moment> {
        self.fresh_at
    }

    fn receive(&mut self, now: Moment, from: &NodeId, news: Box<News>, outputs: &mut Vec<Output>) {
        let answers = self.asked.is_some_and(|(sequence, _)| sequence == news.sequence);
        if answers {
            self.asked = None;
            let pause = if self.tallies.is_urgent() { TELL_GAP } else { PERIOD };
            self.due = now + pause;
        }
        let behind = news.known < self.known;
        if news.fresh && !behind {
            self.fresh_at = Some(now);
            self.failed.remove(from);
        } else if self.current.as_ref() == Some(from) {
            // It may be cut off from the others, which go on without it. Asked without a
            // pause, controls without a leader would get a question a round trip from each.
            self.fail(now);
            self.due = now + PAUSE;
        }
        if !news.controls.is_empty() {
            self.controls = news.controls.iter().cloned().collect();
        }
        if !news.tallies.is_empty() {
            outputs.push(Output::Note(news.tallies.clone()));
        }
        self.come_near(now);
        if let Some(entries) = &news.named {
            self.named = entry::digest(entries);
            outputs.push(Output::Name(entries.clone()));
        }
        if behind || news.base > self.known {
            return;
        }
        self.known = news.known;
        outputs.push(Output::Take(news));
    }

    /// Leaves a control across a border for one that is near: entries know the failure domains
    /// of controls only once one has told them, and each news crosses the border until then.
    fn come_near(&mut self, now: Moment) {
        let current = self.current.as_ref();
        let is_near = |control: &&Control| control.domain == self.me.domain;
        let near = self.controls.iter().filter(is_near);
        let sound = |control: &&Control| !self.is_avoided(now, &control.id);
        let far = !near.clone().any(|control| Some(&control.id) == current);
        if self.asked.is_none() && far && near.clone().any(|control| sound(&control)) {
            self.current = None;
        }
    }

    fn is_avoided(&self, now: Moment, id: &NodeId) -> bool {
        self.failed.get(id).is_some_and(|at| now < *at + AVOID)
    }

    fn run(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.asked.is_some_and(|(_, at)| now >= at + PATIENCE) {
            self.fail(now);
        }
        if self.asked.is_some() || now < self.due {
            return;
        }
        if self.current.is_none() {
            self.current = self.choose(now);
        }
        let Some(to) = self.current.clone() else {
            self.due = now + PAUSE;
            return;
        };
        self.sequence += 1;
        self.asked = Some((self.sequence, now));
        self.told_at = now;
        let poll = Poll {
            entry: self.me.clone(),
            known: self.known,
            named: self.named,
            sequence: self.sequence,
            tallies: std::mem::take(&mut self.tallies),
        };
        outputs.push(Output::Send(to, Message::Poll(poll)));
    }

    fn fail(&mut self, now: Moment) {
        self.asked = None;
        self.due = now;
        if let Some(control) = self.current.take() {
            self.failed.insert(control, now);
        }
    }

    /// The control to ask: one that has not failed lately, in the own failure domain where
    /// there is one, because each answer crosses the border otherwise.
    fn choose(&mut self, now: Moment) -> Option<NodeId> {
        self.failed.retain(|_, at| now < *at + AVOID);
        let mut known: Vec<Control> = self.controls.iter().cloned().collect();
        for id in &self.seeds {
            if !known.iter().any(|control| control.id == *id) {
                known.push(Control { domain: DomainId::default(), id: id.clone() });
            }
        }
        let rank = |control: &Control| {
            let failed = self.failed.get(&control.id).copied();
            (failed, control.domain != self.me.domain)
        };
        let best = known.iter().map(rank).min()?;
        let chosen = known.iter().filter(|control| rank(control) == best);
        chosen.choose(&mut self.random).map(|control| control.id.clone())
    }
}
