//! Registry of one entry.

mod announce;
mod answer;
mod apply;
mod receive;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::fleet::Allowance;
use crate::fleet::Digest;
use crate::fleet::Dissemination;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::registry::Entry;
use crate::registry::Input;
use crate::registry::Message;
use crate::registry::Output;
use crate::registry::State;
use crate::registry::Upstream;
use crate::registry::placement::Placement;

/// Hash buckets of the digest. 6,200 upstreams give 39 to a bucket, and all hashes fit one message.
const BUCKETS: usize = 160;

/// Sustained bytes per second for changes.
const DISSEMINATION_BYTES_PER_SECOND: u64 = 1000;

/// Burst of bytes for changes. 6,200 upstreams that all start need as much.
const DISSEMINATION_BURST_BYTES: u64 = 2_000_000;

/// Bytes per second for changes during a burst.
const DISSEMINATION_BURST_BYTES_PER_SECOND: u64 = 10_000;

/// Sustained bytes per second for drains. They have an allowance of their own, because a drain
/// must be known within 3 s even while a thousand upstreams are announced.
const URGENT_BYTES_PER_SECOND: u64 = 500;

/// Burst of bytes for drains: 6,200 drains, one copy per link.
const URGENT_BURST_BYTES: u64 = 1_500_000;

/// Bytes per second for drains during a burst, and four times as many at once. A tenth of 6,200
/// upstreams can drain within 3 s.
const URGENT_BURST_BYTES_PER_SECOND: u64 = 25_000;

/// Encoded bytes of a [`crate::registry::StateChange`] for an upstream name of 20 letters.
const STATE_CHANGE_BYTES: usize = 32;

/// Interval at which the digest is sent to one neighbour. A change lost by gossip still spreads,
/// over one link per interval.
const SUMMARY_PERIOD: Duration = Duration::from_secs(2);

/// Time without changes before digests are compared.
const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// Interval after which digests are compared even if changes are in flight.
const COMPARE_PERIOD_MAX: Duration = Duration::from_secs(10);

/// How long an upstream with an expired lease is remembered, so that a late announcement does
/// not revive it.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(3600);

/// Interval between searches for expired leases.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Replicated table of upstreams at one entry.
#[derive(Debug)]
pub struct Registry {
    changed_at: Moment,
    compared_at: Option<Moment>,
    in_grace: BTreeSet<UpstreamId>,
    digest: Digest,
    placement: Placement,
    in_touch: bool,
    me: NodeId,
    random: ChaCha8Rng,
    dissemination: Dissemination,
    summary_at: Moment,
    sweep_at: Moment,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    urgent: Dissemination,
    watch: Option<BTreeSet<UpstreamId>>,
}

impl Registry {
    /// Longest time between two [`Input::Tick`]s.
    pub const TICK: Duration = Duration::from_millis(100);

    /// Creates the empty registry of entry `me`.
    pub fn new(now: Moment, me: NodeId, mut random: ChaCha8Rng) -> Self {
        let phase = random.random_range(Duration::ZERO..SUMMARY_PERIOD);
        Self {
            changed_at: now,
            compared_at: None,
            in_grace: BTreeSet::new(),
            digest: Digest::new(BUCKETS),
            placement: Placement::default(),
            in_touch: true,
            me,
            random,
            dissemination: Dissemination::new(Allowance::new(
                DISSEMINATION_BYTES_PER_SECOND,
                DISSEMINATION_BURST_BYTES,
                DISSEMINATION_BURST_BYTES_PER_SECOND,
            )),
            summary_at: now + phase,
            sweep_at: now,
            upstreams: BTreeMap::new(),
            urgent: Dissemination::new(Allowance::new(
                URGENT_BYTES_PER_SECOND,
                URGENT_BURST_BYTES,
                URGENT_BURST_BYTES_PER_SECOND,
            )),
            watch: None,
        }
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Announce(announcement) => self.announce(now, announcement, &mut outputs),
            Input::Answered { draining, incarnation, upstream } => {
                self.record_answer(now, &upstream, incarnation, draining, &mut outputs);
            }
            Input::Entries(entries) => self.replace_entries(now, entries, &mut outputs),
            Input::Receive { from, message } => self.receive(now, from, message, &mut outputs),
            Input::Tick { in_touch } => {
                self.in_touch = in_touch;
                self.tick(now, &mut outputs);
            }
            Input::Watch(upstreams) => self.watch = Some(upstreams),
        }
        outputs
    }

    /// Returns an upstream, also one whose lease has expired.
    pub fn get(&self, upstream: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(upstream)
    }

    /// Returns the upstreams of all services that may get new work.
    ///
    /// An upstream is usable if it is not known to drain, and either its home is trusted or it
    /// answered this entry recently. A home is trusted if it is not suspected and this entry is
    /// in touch with the fleet, so that changes reach it.
    pub fn usable(&self, now: Moment) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(move |upstream| self.is_usable(now, upstream))
    }

    /// Whether an upstream may get new work.
    pub fn is_usable(&self, now: Moment, upstream: &Upstream) -> bool {
        upstream.is_ready()
            && (self.has_trusted_home(now, upstream) || upstream.has_recent_answer(now))
    }

    /// Returns all upstreams with a valid lease or in their grace period, usable or not.
    pub fn view(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(|upstream| upstream.is_listed())
    }

    /// Returns the services that have an upstream.
    pub fn services(&self) -> BTreeSet<ServiceId> {
        self.view().map(|upstream| upstream.announcement.service.clone()).collect()
    }

    /// Hash over all records, equal at two entries with the same records.
    pub fn root(&self) -> u32 {
        self.digest.root()
    }

    fn has_trusted_home(&self, now: Moment, upstream: &Upstream) -> bool {
        self.has_home(upstream, |home| self.placement.is_trusted(now, home))
    }

    fn has_home(&self, upstream: &Upstream, is_healthy: impl Fn(&NodeId) -> bool) -> bool {
        let is_leased = upstream.announcement.state != State::Gone;
        let is_healthy = |home: &NodeId| *home == self.me || is_healthy(home);
        is_leased && self.in_touch && upstream.home.as_ref().is_some_and(is_healthy)
    }

    fn replace_entries(&mut self, now: Moment, entries: Vec<Entry>, outputs: &mut Vec<Output>) {
        let (added, removed) = self.placement.replace(now, entries);
        let linked: BTreeSet<NodeId> = self.placement.neighbours().cloned().collect();
        self.dissemination.retain(|peer| linked.contains(peer));
        self.urgent.retain(|peer| linked.contains(peer));
        if added.is_empty() && removed.is_empty() {
            return;
        }
        for (id, upstream) in &mut self.upstreams {
            let home = match &upstream.home {
                Some(home) if !removed.contains(home) => self.placement.prefer(id, home, &added),
                _ => self.placement.pick(id),
            };
            if home == upstream.home {
                continue;
            }
            upstream.home = home;
            if upstream.home.as_ref() == Some(&self.me) {
                upstream.renewed_at = now;
                outputs.push(Output::Moved(id.clone()));
            }
        }
    }

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.sweep(now, outputs);
        self.probe(now, outputs);
        self.summarize(now, outputs);
        self.flush(now, outputs);
    }

    /// Expires leases that this entry tracks, and forgets old expired ones.
    ///
    /// A home that is not in touch may miss renewals that other entries accept for it. It
    /// expires no lease until it has been in touch for the duration of the lease.
    fn sweep(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if !self.in_touch {
            self.upstreams.values_mut().for_each(|upstream| upstream.renewed_at = now);
        }
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP_PERIOD;
        self.end_grace_periods(now, outputs);
        let mut expired = Vec::new();
        let mut forgotten = Vec::new();
        for (id, upstream) in &self.upstreams {
            if upstream.announcement.state == State::Gone {
                if now >= upstream.replaced_at + TOMBSTONE_LIFETIME {
                    forgotten.push(id.clone());
                }
            } else if upstream.home.as_ref() == Some(&self.me)
                && now >= upstream.renewed_at.saturating_add(upstream.announcement.lease)
            {
                expired.push(upstream.change(now));
            }
        }
        for id in forgotten {
            self.upstreams.remove(&id);
            self.digest.remove(&id);
        }
        for mut change in expired {
            change.announcement.state = State::Gone;
            self.apply(now, change, None, outputs);
        }
    }

    fn summarize(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.summary_at {
            return;
        }
        self.summary_at = now + SUMMARY_PERIOD;
        if let Some(to) = self.placement.neighbours().choose(&mut self.random).cloned() {
            outputs.push(Output::Send { to, message: Message::Summary(self.digest.root()) });
        }
    }

    fn flush(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let first = self.random.random_range(0..64);
        let size = |_: &UpstreamId| STATE_CHANGE_BYTES;
        for (to, ids) in self.urgent.take_batches(now, first, size) {
            let known = ids.iter().filter_map(|id| self.upstreams.get(id));
            let state_changes = known.map(Upstream::state_change).collect();
            outputs.push(Output::Send { to, message: Message::Standings(state_changes) });
        }
        let size = |id: &UpstreamId| self.upstreams.get(id).map_or(0, |known| size_of(now, known));
        for (to, ids) in self.dissemination.take_batches(now, first, size) {
            let known = ids.iter().filter_map(|id| self.upstreams.get(id));
            let changes = known.map(|upstream| upstream.change(now)).collect();
            outputs.push(Output::Send { to, message: Message::Changes(changes) });
        }
    }
}

/// Encoded bytes of the change of an upstream.
fn size_of(now: Moment, upstream: &Upstream) -> usize {
    postcard::to_allocvec(&upstream.change(now)).map_or(0, |bytes| bytes.len())
}
