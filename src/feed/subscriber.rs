//! Entry's side of the feed: selects a control, polls it and fails over to another.

mod download;
mod suspicions;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use self::suspicions::Suspicions;
use super::Entry;
use super::Input;
use super::Message;
use super::Output;
use super::Poll;
use super::Selection;
use super::Tallies;
use super::Update;
use super::answer_timer::AnswerTimer;
use super::entry;
use super::failover::Failover;
use super::table_load::TableLoad;
use super::transfer::Download;
use crate::balance::Limit;
use crate::breaker::Counts;
use crate::clock::Moment;
use crate::config::Head;
use crate::config::Version;
use crate::fleet::State;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::poison;
use crate::reach::Verdict;

/// Interval between two polls. A change must be in force within 2 s of its acknowledgement
/// even if its push was lost, which leaves time for three polls.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval between two polls that report broken answers. When many upstreams fail,
/// several reports share one poll.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(30);
/// Delay before the next poll after no usable control was found.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Entry's side of the feed.
#[derive(Clone, Debug)]
pub struct Subscriber {
    answer_timer: AnswerTimer,
    /// Services that a control asks about.
    asked: BTreeSet<ServiceId>,
    /// When this entry first heard of a newer configuration than the one held.
    behind_since: Option<Moment>,
    /// For how long this entry had known of the configuration held before it had all of it.
    caught_up_after: Duration,
    /// The configuration held, with its head.
    configuration: Option<(Head, Version)>,
    download: Option<Download>,
    /// First configuration, until all upstreams are known. With a few of them, an entry would send
    /// its callers' requests to those alone.
    early_configuration: Option<Version>,
    /// Load of the upstreams that this entry follows, while it takes place.
    load: Option<TableLoad>,
    selection: Selection,
    /// Whether all upstreams have been received since the start.
    has_upstreams: bool,
    /// Whether a change could not be applied, so that the whole document is needed.
    needs_document: bool,
    in_flight: Option<(u64, Moment)>,
    failover: Failover,
    poll_at: Moment,
    fresh_at: Option<Moment>,
    known: Index,
    me: Entry,
    named_digest: u64,
    sequence: u64,
    suspicions: Suspicions,
    tallies: Tallies,
    polled_at: Moment,
}

impl Subscriber {
    /// Creates a subscriber that knows only its seeds.
    pub fn new(now: Moment, me: Entry, seeds: Vec<NodeId>, random: ChaCha8Rng) -> Self {
        Self {
            answer_timer: AnswerTimer::default(),
            asked: BTreeSet::new(),
            behind_since: None,
            caught_up_after: Duration::ZERO,
            configuration: None,
            download: None,
            early_configuration: None,
            load: None,
            selection: Selection::default(),
            has_upstreams: false,
            needs_document: false,
            in_flight: None,
            failover: Failover::new(me.domain.clone(), seeds, random),
            poll_at: now,
            fresh_at: None,
            known: 0,
            me,
            named_digest: 0,
            sequence: 0,
            suspicions: Suspicions::default(),
            tallies: Tallies::default(),
            polled_at: now,
        }
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Update(from, update) => self.receive(now, &from, update, &mut outputs),
            Input::Part(part) => self.receive_part(now, &part, &mut outputs),
            Input::Tick => {}
        }
        self.check_timeouts(now, &mut outputs);
        self.poll_if_due(now, &mut outputs);
        outputs.extend(self.suspicions.changed_list(now).map(Output::Quarantine));
        self.request_part_if_due(now, &mut outputs);
        outputs
    }

    /// When the next [`Input::Tick`] is due.
    pub fn wake(&self) -> Moment {
        let timeout = self.answer_timer.timeout();
        let poll = self.in_flight.map_or(self.poll_at, |(_, at)| at + timeout);
        self.download.as_ref().map_or(poll, |download| download.wake(timeout).min(poll))
    }

    /// Sets whether this entry accepts callers. A change is reported with an immediate poll.
    pub fn set_state(&mut self, now: Moment, state: State) {
        if self.me.state != state {
            self.me.state = state;
            self.poll_at = self.poll_at.min(now);
        }
    }

    /// Sets which services this entry can't reach, and which it reaches as a control asked. A change
    /// is reported at once.
    pub fn set_reach(&mut self, now: Moment, reach: BTreeMap<ServiceId, Verdict>) {
        if self.me.reach != reach {
            self.me.reach = reach;
            self.poll_at = self.poll_at.min(now.max(self.polled_at + MIN_URGENT_INTERVAL));
        }
    }

    /// Records results that callers received here. Broken answers are reported at once.
    pub fn record(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) {
        self.tallies.add(upstream, counts);
        if counts.is_urgent() {
            self.poll_at = self.poll_at.min(now.max(self.polled_at + MIN_URGENT_INTERVAL));
        }
    }

    /// Records a limit that an upstream named to this entry. It is reported at once.
    pub fn record_limit(&mut self, now: Moment, upstream: &UpstreamId, limit: Option<Limit>) {
        self.tallies.limits.insert(upstream.clone(), limit);
        self.poll_at = self.poll_at.min(now.max(self.polled_at + MIN_URGENT_INTERVAL));
    }

    /// Records evidence of this entry about requests under which upstreams end. It is reported at once.
    pub fn record_poison(&mut self, now: Moment, evidence: &poison::Evidence) {
        self.tallies.poison.add(evidence);
        self.suspicions.record(now, evidence);
        self.poll_at = self.poll_at.min(now.max(self.polled_at + MIN_URGENT_INTERVAL));
    }

    /// Records requests that callers sent and bytes that were transferred.
    pub fn record_traffic(&mut self, arrivals: u32, bytes: u64) {
        self.tallies.arrivals += arrivals;
        self.tallies.bytes += bytes;
    }

    /// Replaces the seeds, which are polled along with the known controls.
    pub fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.failover.set_seeds(seeds);
    }

    /// The upstreams that this entry follows.
    pub fn selection(&self) -> &Selection {
        &self.selection
    }

    /// The control that is polled now.
    pub fn current(&self) -> Option<&NodeId> {
        self.failover.current()
    }

    /// For how long this entry has known of a newer configuration than the one held.
    pub fn behind(&self, now: Moment) -> Duration {
        self.behind_since.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// For how long this entry had known of the configuration held before it had all of it.
    pub fn caught_up_after(&self) -> Duration {
        self.caught_up_after
    }

    /// When the last update came from a control that had heard from a leader recently.
    pub fn fresh_at(&self) -> Option<Moment> {
        self.fresh_at
    }

    fn receive(
        &mut self,
        now: Moment,
        from: &NodeId,
        mut update: Box<Update>,
        outputs: &mut Vec<Output>,
    ) {
        self.answer_timer.finish(now, update.sequence);
        let is_answer = self.in_flight.is_some_and(|(sequence, _)| sequence == update.sequence);
        if is_answer {
            self.in_flight = None;
            let delay = if self.tallies.is_urgent() { MIN_URGENT_INTERVAL } else { POLL_INTERVAL };
            self.poll_at = now + delay;
        }
        if let Some(selection) = update.follow.take().filter(|_| is_answer) {
            self.follow(selection, &update, outputs);
        }
        let is_stale = update.known < self.known;
        if update.fresh && !is_stale {
            self.fresh_at = Some(now);
            self.failover.mark_usable(from);
            if is_answer {
                self.suspicions.confirm_sent();
            }
        } else if self.failover.current() == Some(from) {
            // The control may be partitioned from the others, which carry on without it. The
            // delay keeps each entry from polling leaderless controls once per round trip.
            self.mark_failed(now);
            self.poll_at = now + RETRY_DELAY;
        }
        if !update.controls.is_empty() {
            self.failover.set_controls(&update.controls);
        }
        self.suspicions.record(now, &update.tallies.poison);
        if is_answer {
            self.suspicions.merge(now, &update.quarantine);
        }
        if !update.tallies.is_empty() {
            outputs.push(Output::Record(update.tallies.clone()));
        }
        if self.asked != update.doubted {
            self.asked.clone_from(&update.doubted);
            outputs.push(Output::Ask(self.asked.clone()));
        }
        if self.in_flight.is_none() {
            self.failover.prefer_local(now);
        }
        if let Some(offer) = update.configuration.take() {
            self.receive_offer(now, offer, outputs);
        }
        if let Some(entries) = &update.named {
            self.named_digest = entry::digest(entries);
            outputs.push(Output::Advertise(entries.clone()));
        }
        let is_for_others = update.selection != self.selection.digest();
        if is_stale || is_for_others || update.base > self.known {
            return;
        }
        self.known = update.known;
        if update.has_more {
            self.poll_at = self.poll_at.min(now);
        }
        self.apply(update, outputs);
        if self.has_upstreams {
            outputs.extend(self.early_configuration.take().map(Output::Configure));
        }
    }

    /// Follows another selection. If its upstreams have to be loaded, those known so far stay in use
    /// until all of the new ones are known.
    fn follow(&mut self, selection: Selection, update: &Update, outputs: &mut Vec<Output>) {
        self.selection = selection;
        if update.is_load {
            self.known = 0;
            self.load = Some(TableLoad::new(update));
        } else {
            outputs.push(Output::Narrow(self.selection.clone()));
        }
    }

    fn apply(&mut self, update: Box<Update>, outputs: &mut Vec<Output>) {
        let is_complete = !update.has_more;
        if let Some(load) = &mut self.load {
            load.add(&update);
        }
        outputs.push(Output::Apply(update));
        if !is_complete {
            return;
        }
        if let Some(load) = self.load.take().filter(|_| self.has_upstreams) {
            outputs.push(Output::Retain(load.upstreams));
        }
        self.has_upstreams = true;
    }

    /// Turns to another control if the current one leaves a poll or a request unanswered.
    fn check_timeouts(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let poll = self.in_flight.map(|(_, at)| now.saturating_sub(at));
        let timeout = self.answer_timer.timeout();
        let poll = poll.filter(|waited| *waited >= timeout);
        let part = self.download.as_mut().and_then(|download| download.give_up_part(now, timeout));
        let Some(waited) = poll.or(part) else { return };
        let silent = self.failover.current().cloned();
        outputs.extend(silent.map(|id| Output::Unanswered(id, waited)));
        self.mark_failed(now);
    }

    fn poll_if_due(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.in_flight.is_some() || now < self.poll_at {
            return;
        }
        let Some(to) = self.failover.choose(now) else {
            self.poll_at = now + RETRY_DELAY;
            return;
        };
        self.sequence += 1;
        self.in_flight = Some((self.sequence, now));
        self.suspicions.note_sent(&self.tallies.poison);
        self.answer_timer.start(now, self.sequence);
        self.polled_at = now;
        let poll = Poll {
            configuration: self.head().filter(|_| !self.needs_document),
            entry: self.me.clone(),
            is_downloading: self.download.is_some(),
            known: self.known,
            loading: self.load.as_ref().map(|load| load.from),
            named: self.named_digest,
            quarantine: self.suspicions.report(now),
            selection: self.selection.clone(),
            sequence: self.sequence,
            tallies: std::mem::take(&mut self.tallies),
        };
        outputs.push(Output::Send(to, Message::Poll(Box::new(poll))));
    }

    fn mark_failed(&mut self, now: Moment) {
        self.in_flight = None;
        self.tallies.poison.add(&self.suspicions.take_unconfirmed());
        self.poll_at = now;
        self.failover.mark_failed(now);
    }
}
