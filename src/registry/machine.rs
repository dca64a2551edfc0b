//! One entry's registry.

mod announce;
mod answered;
mod learn;
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
use crate::fleet::Spread;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::registry::Entry;
use crate::registry::Input;
use crate::registry::Message;
use crate::registry::Output;
use crate::registry::State;
use crate::registry::Upstream;
use crate::registry::homes::Homes;

/// Hash buckets: 6,200 upstreams give 24 to a bucket, and all hashes fit two messages.
const BUCKETS: usize = 160;

/// Bytes a second for changes in the long run.
const SPREAD_RATE: u64 = 1000;

/// Bytes of changes that may pass now and then: 6,200 upstreams that all start.
const SPREAD_BURST: u64 = 2_000_000;

/// Bytes of changes a second while there are many.
const SPREAD_PACE: u64 = 10_000;

/// Bytes a second for drains in the long run. They do not wait behind other changes:
/// when a thousand upstreams are announced at once, a drain has 3 s all the same.
const URGENT_RATE: u64 = 500;

/// Bytes of drains that may pass now and then: 6,200 drains, one copy a link.
const URGENT_BURST: u64 = 1_500_000;

/// Bytes of drains a second while there are many, and four times that at once: a
/// tenth of 6,200 upstreams within the 3 s.
const URGENT_PACE: u64 = 25_000;

/// Encoded bytes of a [`crate::registry::Standing`] whose upstream has a name of 20 letters.
const STANDING_MAX: usize = 32;

/// How often a digest is sent to one neighbour. A change that the flood lost
/// reaches everybody all the same, one link in this time.
const SUMMARY_PERIOD: Duration = Duration::from_secs(2);

/// How long the table must have been still before digests are compared.
const QUIET: Duration = Duration::from_secs(1);

/// Longest time that changes under way put off a comparison.
const COMPARE_ANYWAY: Duration = Duration::from_secs(10);

/// How long an upstream whose lease ran out is remembered, so that an old
/// announcement arriving late does not bring it back.
const TOMBSTONE: Duration = Duration::from_secs(3600);

/// How often the table is searched for leases that ran out.
const SWEEP: Duration = Duration::from_millis(500);

/// One entry's view of the upstreams and its part in keeping it.
#[derive(Debug)]
pub struct Registry {
    changed_at: Moment,
    compared_at: Option<Moment>,
    contested: BTreeSet<UpstreamId>,
    digest: Digest,
    homes: Homes,
    in_touch: bool,
    me: NodeId,
    random: ChaCha8Rng,
    spread: Spread,
    summary_at: Moment,
    sweep_at: Moment,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    urgent: Spread,
    watch: Option<BTreeSet<UpstreamId>>,
}

impl Registry {
    /// Longest time between two [`Input::Tick`]s.
    pub const TICK: Duration = Duration::from_millis(100);

    /// Empty registry of entry `me`.
    pub fn new(now: Moment, me: NodeId, mut random: ChaCha8Rng) -> Self {
        let phase = random.random_range(Duration::ZERO..SUMMARY_PERIOD);
        Self {
            changed_at: now,
            compared_at: None,
            contested: BTreeSet::new(),
            digest: Digest::new(BUCKETS),
            homes: Homes::default(),
            in_touch: true,
            me,
            random,
            spread: Spread::new(Allowance::new(SPREAD_RATE, SPREAD_BURST, SPREAD_PACE)),
            summary_at: now + phase,
            sweep_at: now,
            upstreams: BTreeMap::new(),
            urgent: Spread::new(Allowance::new(URGENT_RATE, URGENT_BURST, URGENT_PACE)),
            watch: None,
        }
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Announce(announcement) => self.announce(now, announcement, &mut outputs),
            Input::Answered { draining, incarnation, upstream } => {
                self.answered(now, &upstream, incarnation, draining, &mut outputs);
            }
            Input::Entries(entries) => self.replace(now, entries, &mut outputs),
            Input::Receive { from, message } => self.receive(now, from, message, &mut outputs),
            Input::Tick { in_touch } => {
                self.in_touch = in_touch;
                self.tick(now, &mut outputs);
            }
            Input::Watch(upstreams) => self.watch = Some(upstreams),
        }
        outputs
    }

    /// One upstream.
    pub fn get(&self, upstream: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(upstream)
    }

    /// Upstreams that may get new work now; all services.
    ///
    /// An upstream is usable when nothing known says that it drains, and either
    /// its home vouches for it (the home is not suspected, and this entry is in
    /// touch with the fleet, so that a change would have reached it) or this entry
    /// had an answer from it a moment ago.
    pub fn usable(&self, now: Moment) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(move |upstream| self.is_usable(now, upstream))
    }

    /// Whether one upstream may get new work now.
    pub fn is_usable(&self, now: Moment, upstream: &Upstream) -> bool {
        upstream.is_ready() && (self.is_vouched(now, upstream) || upstream.is_proven(now))
    }

    /// Every upstream whose lease has not run out, usable or not.
    pub fn view(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(|upstream| upstream.is_here())
    }

    /// Services that have any upstream.
    pub fn services(&self) -> BTreeSet<ServiceId> {
        self.view().map(|upstream| upstream.announcement.service.clone()).collect()
    }

    /// Hash over all that is known; equal at two entries that know the same.
    pub fn root(&self) -> u32 {
        self.digest.root()
    }

    fn is_vouched(&self, now: Moment, upstream: &Upstream) -> bool {
        self.has_home(upstream, |home| self.homes.vouches(now, home))
    }

    fn has_home(&self, upstream: &Upstream, sound: impl Fn(&NodeId) -> bool) -> bool {
        let here = upstream.announcement.state != State::Gone;
        let sound = |home: &NodeId| *home == self.me || sound(home);
        here && self.in_touch && upstream.home.as_ref().is_some_and(sound)
    }

    fn replace(&mut self, now: Moment, entries: Vec<Entry>, outputs: &mut Vec<Output>) {
        let (came, went) = self.homes.replace(now, entries);
        let linked: BTreeSet<NodeId> = self.homes.neighbours().cloned().collect();
        self.spread.retain(|peer| linked.contains(peer));
        self.urgent.retain(|peer| linked.contains(peer));
        if came.is_empty() && went.is_empty() {
            return;
        }
        for (id, upstream) in &mut self.upstreams {
            let home = match &upstream.home {
                Some(home) if !went.contains(home) => self.homes.prefer(id, home, &came),
                _ => self.homes.pick(id),
            };
            if home == upstream.home {
                continue;
            }
            upstream.home = home;
            if upstream.home.as_ref() == Some(&self.me) {
                upstream.renewed = now;
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

    /// Lets leases run out that this entry keeps, and forgets those long gone.
    ///
    /// A home that is not in touch may miss renewals that others take for it; it
    /// lets none run out until it has been in touch for a lease's time again.
    fn sweep(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if !self.in_touch {
            self.upstreams.values_mut().for_each(|upstream| upstream.renewed = now);
        }
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP;
        self.give_up(now, outputs);
        let mut expired = Vec::new();
        let mut forgotten = Vec::new();
        for (id, upstream) in &self.upstreams {
            if upstream.announcement.state == State::Gone {
                if now >= upstream.since + TOMBSTONE {
                    forgotten.push(id.clone());
                }
            } else if upstream.home.as_ref() == Some(&self.me)
                && now >= upstream.renewed.saturating_add(upstream.announcement.lease)
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
            self.learn(now, change, None, outputs);
        }
    }

    fn summarize(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.summary_at {
            return;
        }
        self.summary_at = now + SUMMARY_PERIOD;
        if let Some(to) = self.homes.neighbours().choose(&mut self.random).cloned() {
            outputs.push(Output::Send { to, message: Message::Summary(self.digest.root()) });
        }
    }

    fn flush(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let first = self.random.random_range(0..64);
        let size = |_: &UpstreamId| STANDING_MAX;
        for (to, ids) in self.urgent.take(now, first, size) {
            let known = ids.iter().filter_map(|id| self.upstreams.get(id));
            let standings = known.map(Upstream::standing).collect();
            outputs.push(Output::Send { to, message: Message::Standings(standings) });
        }
        let size = |id: &UpstreamId| self.upstreams.get(id).map_or(0, |known| size_of(now, known));
        for (to, ids) in self.spread.take(now, first, size) {
            let known = ids.iter().filter_map(|id| self.upstreams.get(id));
            let changes = known.map(|upstream| upstream.change(now)).collect();
            outputs.push(Output::Send { to, message: Message::Changes(changes) });
        }
    }
}

/// Encoded bytes of what is told of an upstream.
fn size_of(now: Moment, upstream: &Upstream) -> usize {
    postcard::to_allocvec(&upstream.change(now)).map_or(0, |bytes| bytes.len())
}
