//! Several registries on the fake network in virtual time, for tests and measurements.

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

/// Ticks are spread over this many steps.
const STEPS: usize = 10;
/// IP, UDP and QUIC headers of a datagram, counted on top of its payload.
const HEADERS: usize = 60;

/// Registries on top of a fleet; every accident follows from the seed.
pub struct Trial {
    /// What each upstream announces, by name; each renews at a third of its lease.
    pub announced: BTreeMap<UpstreamId, Announcement>,
    /// Entries that the upstreams can't reach and that can't reach them.
    pub apart: BTreeSet<NodeId>,
    /// Events other than messages: when, at which entry, what.
    pub events: Vec<(Moment, NodeId, Output)>,
    /// The membership below, which has the network of its own messages.
    pub fleet: fleet::Trial,
    /// Longest encoded message.
    pub longest: usize,
    /// Network between the registries.
    pub net: Net,
    /// Probes asked for.
    pub probes: u64,
    /// Registries by entry.
    pub registries: BTreeMap<NodeId, Registry>,
    /// Bytes that each entry sent, headers included.
    pub sent: BTreeMap<NodeId, u64>,
    contact: BTreeMap<UpstreamId, (Moment, usize)>,
    seen: BTreeMap<NodeId, usize>,
    step: usize,
}

impl Trial {
    /// Entries over a fleet that has settled; no upstreams yet.
    pub fn new(seed: u64, count: usize) -> Self {
        let mut fleet = fleet::Trial::new(seed, count, Conditions::reliable());
        fleet.run(Duration::from_secs(if count > 100 { 60 } else { 20 }));
        let new = |index: usize| {
            let random = ChaCha8Rng::seed_from_u64(seed ^ (index as u64) << 32);
            (fleet::Trial::id(index), Registry::new(fleet.now, fleet::Trial::id(index), random))
        };
        let registries = (0..count).map(new).collect();
        fleet.reset();
        Self {
            announced: BTreeMap::new(),
            apart: BTreeSet::new(),
            contact: BTreeMap::new(),
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

    /// A plausible announcement of the upstream with `index`.
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

    /// An upstream announces itself now, and renews from then on.
    pub fn announce(&mut self, entry: usize, announcement: Announcement) {
        let upstream = announcement.upstream.clone();
        self.contact.insert(upstream.clone(), (self.now(), entry));
        self.announced.insert(upstream.clone(), announcement);
        self.renew(&upstream);
    }

    /// Cuts entries off from the others, not from the upstreams.
    pub fn cut_off(&mut self, group: &[NodeId]) {
        self.fleet.cut_off(group);
        for other in self.registries.keys().filter(|id| !group.contains(id)) {
            group.iter().for_each(|id| self.net.cut_both(id, other));
        }
    }

    /// Mends every cut.
    pub fn heal(&mut self) {
        self.fleet.net.heal_all();
        self.net.heal_all();
    }

    /// Stops an entry without a word.
    pub fn kill(&mut self, id: &NodeId) {
        self.fleet.kill(id);
        self.registries.remove(id);
    }

    /// Entries that would give an upstream new work now.
    pub fn users(&self, upstream: &UpstreamId) -> Vec<NodeId> {
        let uses = |registry: &Registry| {
            registry.get(upstream).is_some_and(|known| registry.is_usable(self.now(), known))
        };
        self.registries.iter().filter(|(_, r)| uses(r)).map(|(id, _)| id.clone()).collect()
    }

    /// Gives one registry an input.
    pub fn input(&mut self, id: &NodeId, input: Input) {
        let now = self.now();
        let Some(registry) = self.registries.get_mut(id) else { return };
        for output in registry.handle(now, input) {
            self.carry(id, output);
        }
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now() + span;
        let pace = Registry::TICK / STEPS as u32;
        while self.now() < end {
            self.fleet.run(pace);
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
        let news = self.seen.insert(id.clone(), self.fleet.events.len());
        if news != Some(self.fleet.events.len()) {
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
            self.contact.iter().filter(|(_, c)| due(c)).map(|(id, _)| id.clone()).collect();
        upstreams.iter().for_each(|upstream| self.renew(upstream));
    }

    fn renew(&mut self, upstream: &UpstreamId) {
        let now = self.now();
        let Some(announcement) = self.announced.get(upstream).cloned() else { return };
        let Some((_, entry)) = self.contact.get(upstream).copied() else { return };
        let id = fleet::Trial::id(entry);
        self.contact.insert(upstream.clone(), (now + announcement.lease / 3, entry));
        if self.registries.contains_key(&id) && !self.apart.contains(&id) {
            self.input(&id, Input::Announce(announcement));
        } else {
            let next = (entry + 1) % self.registries.len().max(1);
            self.contact.insert(upstream.clone(), (now + Duration::from_secs(1), next));
        }
    }

    fn carry(&mut self, from: &NodeId, output: Output) {
        match &output {
            Output::Accepted { home: Some((home, _)), upstream, .. } => {
                let index = home.trim_start_matches("vm-").parse();
                if let (Ok(index), Some(contact)) = (index, self.contact.get_mut(upstream)) {
                    contact.1 = index;
                }
            }
            Output::Probe { upstream, .. } => {
                self.probes += 1;
                self.probe(from, upstream.clone());
            }
            Output::Send { to, message } => {
                let Ok(bytes) = postcard::to_allocvec(message) else { return };
                *self.sent.entry(from.clone()).or_default() += (bytes.len() + HEADERS) as u64;
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
