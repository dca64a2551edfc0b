//! Simulation of several registries on the fake network in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::format_compact;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::fake::Conditions;
use crate::fake::Net;
use crate::fleet;
use crate::fleet::Member;
use crate::id::NodeId;
use crate::id::UpstreamId;
use crate::registry::Announcement;
use crate::registry::Entry;
use crate::registry::Input;
use crate::registry::Message;
use crate::registry::Output;
use crate::registry::Registry;
use crate::registry::State;

/// Number of steps over which the ticks of the entries are spread.
const STEPS: usize = 10;
/// Bytes of the IP, UDP and QUIC headers, added to the payload of each datagram.
const HEADER_BYTES: usize = 60;

/// Registries on a simulated fleet. All faults follow from the seed.
pub struct Simulation {
    /// Announcements by upstream. Each is renewed after a third of its lease.
    pub announced: BTreeMap<UpstreamId, Announcement>,
    /// Entries that are partitioned from the upstreams.
    pub apart: BTreeSet<NodeId>,
    /// Outputs other than messages, with their time and entry.
    pub events: Vec<(Moment, NodeId, Output)>,
    /// The simulated fleet, which has a network of its own.
    pub fleet: fleet::Simulation,
    /// Bytes of the longest encoded message.
    pub longest: usize,
    /// Network between the registries.
    pub net: Net,
    /// Number of probes that were requested.
    pub probes: u64,
    /// Registries by entry.
    pub registries: BTreeMap<NodeId, Registry>,
    /// Bytes that each entry sent, headers included.
    pub sent: BTreeMap<NodeId, u64>,
    renewals: BTreeMap<UpstreamId, (Moment, usize)>,
    seen: BTreeMap<NodeId, usize>,
    step: usize,
}

impl Simulation {
    /// Creates registries on a converged fleet, without upstreams.
    pub fn new(seed: u64, count: usize) -> Self {
        let mut fleet = fleet::Simulation::new(seed, count, Conditions::reliable());
        fleet.run(Duration::from_secs(if count > 100 { 60 } else { 20 }));
        let new = |index: usize| {
            let random = ChaCha8Rng::seed_from_u64(seed ^ (index as u64) << 32);
            (
                fleet::Simulation::id(index),
                Registry::new(fleet.now, fleet::Simulation::id(index), random),
            )
        };
        let registries = (0..count).map(new).collect();
        fleet.reset();
        Self {
            announced: BTreeMap::new(),
            apart: BTreeSet::new(),
            renewals: BTreeMap::new(),
            events: Vec::new(),
            fleet,
            longest: 0,
            net: Net::new(seed, Conditions::reliable()),
            probes: 0,
            registries,
            seen: BTreeMap::new(),
            sent: BTreeMap::new(),
            step: 0,
        }
    }

    /// Virtual time.
    pub fn now(&self) -> Moment {
        self.fleet.now
    }

    /// Creates an announcement of the upstream with `index`.
    pub fn announcement(index: usize) -> Announcement {
        let (high, low) = ((index / 250) as u8, (index % 250) as u8);
        Announcement {
            address: SocketAddr::from(([127, 2, high, low], 8080)),
            connections: 400,
            domain: format_compact!("d{}", index % 7),
            incarnation: 1_700_000_000_000,
            lease: Duration::from_secs(15),
            service: format_compact!("service-{:03}", index % 110),
            slots: 4,
            state: State::Ready,
            upstream: format_compact!("upstream-{index:04}"),
            warm_up: Duration::from_secs(60),
        }
    }

    /// Announces an upstream and renews its lease from then on.
    pub fn announce(&mut self, entry: usize, announcement: Announcement) {
        let upstream = announcement.upstream.clone();
        self.renewals.insert(upstream.clone(), (self.now(), entry));
        self.announced.insert(upstream.clone(), announcement);
        self.renew(&upstream);
    }

    /// Partitions entries from the others, but not from the upstreams.
    pub fn cut_off(&mut self, group: &[NodeId]) {
        self.fleet.cut_off(group);
        for other in self.registries.keys().filter(|id| !group.contains(id)) {
            group.iter().for_each(|id| self.net.cut_both(id, other));
        }
    }

    /// Heals all partitions.
    pub fn heal(&mut self) {
        self.fleet.net.heal_all();
        self.net.heal_all();
    }

    /// Stops an entry without notice.
    pub fn kill(&mut self, id: &NodeId) {
        self.fleet.kill(id);
        self.registries.remove(id);
    }

    /// Returns the entries that may send new work to an upstream.
    pub fn users(&self, upstream: &UpstreamId) -> Vec<NodeId> {
        let is_usable = |registry: &Registry| {
            registry.get(upstream).is_some_and(|known| registry.is_usable(self.now(), known))
        };
        self.registries.iter().filter(|(_, r)| is_usable(r)).map(|(id, _)| id.clone()).collect()
    }

    /// Passes an input to one registry.
    pub fn input(&mut self, id: &NodeId, input: Input) {
        let now = self.now();
        let Some(registry) = self.registries.get_mut(id) else { return };
        for output in registry.handle(now, input) {
            self.dispatch(id, output);
        }
    }

    /// Advances virtual time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now() + span;
        let step = Registry::TICK / STEPS as u32;
        while self.now() < end {
            self.fleet.run(step);
            while let Some(delivery) = self.net.receive(self.now()) {
                if let Ok(message) = postcard::from_bytes::<Message>(&delivery.bytes) {
                    self.input(&delivery.to, Input::Receive { from: delivery.from, message });
                }
            }
            self.renew_due();
            self.step = (self.step + 1) % STEPS;
            let due: Vec<NodeId> =
                self.registries.keys().skip(self.step).step_by(STEPS).cloned().collect();
            due.iter().for_each(|id| self.tick(id));
        }
    }

    fn tick(&mut self, id: &NodeId) {
        let Some(member) = self.fleet.members.get(id) else { return };
        let in_touch = member.in_touch(self.now());
        let entries = self.entries(member);
        let seen = self.seen.insert(id.clone(), self.fleet.events.len());
        if seen != Some(self.fleet.events.len()) {
            self.input(id, Input::Entries(entries));
        }
        self.input(id, Input::Tick { in_touch });
    }

    fn entries(&self, member: &Member) -> Vec<Entry> {
        let fresh = self.seen.get(&member.me().id) != Some(&self.fleet.events.len());
        if fresh { Entry::all(member) } else { Vec::new() }
    }

    fn renew_due(&mut self) {
        let now = self.now();
        let due = |(at, _): &(Moment, usize)| *at <= now;
        let upstreams: Vec<UpstreamId> =
            self.renewals.iter().filter(|(_, c)| due(c)).map(|(id, _)| id.clone()).collect();
        upstreams.iter().for_each(|upstream| self.renew(upstream));
    }

    fn renew(&mut self, upstream: &UpstreamId) {
        let now = self.now();
        let Some(announcement) = self.announced.get(upstream).cloned() else { return };
        let Some((_, entry)) = self.renewals.get(upstream).copied() else { return };
        let id = fleet::Simulation::id(entry);
        self.renewals.insert(upstream.clone(), (now + announcement.lease / 3, entry));
        if self.registries.contains_key(&id) && !self.apart.contains(&id) {
            self.input(&id, Input::Announce(announcement));
        } else {
            let next = (entry + 1) % self.registries.len().max(1);
            self.renewals.insert(upstream.clone(), (now + Duration::from_secs(1), next));
        }
    }

    fn dispatch(&mut self, from: &NodeId, output: Output) {
        match &output {
            Output::Accepted { home: Some((home, _)), upstream, .. } => {
                let index = home.trim_start_matches("vm-").parse();
                if let (Ok(index), Some(renewal)) = (index, self.renewals.get_mut(upstream)) {
                    renewal.1 = index;
                }
            }
            Output::Probe { upstream, .. } => {
                self.probes += 1;
                self.probe(from, upstream.clone());
            }
            Output::Send { to, message } => {
                let Ok(bytes) = postcard::to_allocvec(message) else { return };
                *self.sent.entry(from.clone()).or_default() += (bytes.len() + HEADER_BYTES) as u64;
                self.longest = self.longest.max(bytes.len());
                self.net.send(self.now(), from, to, bytes);
                return;
            }
            _ => {}
        }
        self.events.push((self.now(), from.clone(), output));
    }

    fn probe(&mut self, from: &NodeId, upstream: UpstreamId) {
        let Some(announcement) = self.announced.get(&upstream) else { return };
        if self.apart.contains(from) {
            return;
        }
        let draining = announcement.state != State::Ready;
        let incarnation = Some(announcement.incarnation);
        self.input(from, Input::Answered { draining, incarnation, upstream });
    }
}
