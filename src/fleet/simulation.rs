//! Simulation of several members on the fake network in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::fake::Conditions;
use crate::fake::Net;
use crate::fleet::Input;
use crate::fleet::Member;
use crate::fleet::Message;
use crate::fleet::Meta;
use crate::fleet::Output;
use crate::fleet::Record;
use crate::fleet::Role;
use crate::fleet::Seed;
use crate::fleet::State;
use crate::fleet::Status;
use crate::id::NodeId;

/// Number of failure domains.
const DOMAINS: usize = 7;
/// Region of each failure domain.
const REGIONS: [&str; DOMAINS] = ["r0", "r0", "r0", "r1", "r1", "r2", "r2"];
/// Number of steps over which the ticks of the members are spread.
const STEPS: usize = 10;
/// Bytes of the IP, UDP and QUIC headers, added to the payload of each datagram.
const HEADER_BYTES: usize = 60;

/// Members on a fake network. All faults follow from the seed.
pub struct Simulation {
    /// Outputs other than messages, with their time and member.
    pub events: Vec<(Moment, NodeId, Output)>,
    /// Running members by name.
    pub members: BTreeMap<NodeId, Member>,
    /// Number of messages sent in each second.
    pub messages: BTreeMap<u64, u64>,
    /// Network between the members.
    pub net: Net,
    /// Virtual time.
    pub now: Moment,
    /// Bytes that each member sent, headers included.
    pub sent: BTreeMap<NodeId, u64>,
    /// Bytes of the longest encoded message.
    pub longest: usize,
    seed: u64,
    starts: u64,
    step: usize,
}

impl Simulation {
    /// Starts `count` members at once. The first three are the seeds of all.
    pub fn new(seed: u64, count: usize, conditions: Conditions) -> Self {
        let mut simulation = Self {
            events: Vec::new(),
            members: BTreeMap::new(),
            messages: BTreeMap::new(),
            net: Net::new(seed, conditions),
            now: Moment::ZERO,
            sent: BTreeMap::new(),
            longest: 0,
            seed,
            starts: 0,
            step: 0,
        };
        (0..count).for_each(|index| simulation.start(index));
        simulation
    }

    /// Returns the name of the member with `index`.
    pub fn id(index: usize) -> NodeId {
        format_compact!("vm-{index:03}")
    }

    /// Returns the members of one of the seven failure domains.
    pub fn domain(&self, domain: usize) -> Vec<NodeId> {
        self.pick(|meta| meta.domain == format_compact!("d{domain}"))
    }

    /// Returns the members of one of the three regions.
    pub fn region(&self, region: &str) -> Vec<NodeId> {
        self.pick(|meta| meta.region == region)
    }

    /// Starts or restarts the member with `index`.
    pub fn start(&mut self, index: usize) {
        self.starts += 1;
        let seeds = (0..3).map(|seed| Seed { address: address(seed), id: Self::id(seed) });
        let random = ChaCha8Rng::seed_from_u64(self.seed ^ (self.starts << 32));
        let meta = meta(index);
        let record = Record { id: Self::id(index), incarnation: self.starts * 1000, meta };
        let member = Member::new(self.now, record, seeds.collect(), random);
        self.members.insert(Self::id(index), member);
    }

    /// Stops a member without notice.
    pub fn kill(&mut self, id: &NodeId) {
        self.members.remove(id);
    }

    /// Partitions members from all other running members, in both directions.
    pub fn cut_off(&mut self, group: &[NodeId]) {
        let group: BTreeSet<&NodeId> = group.iter().collect();
        for other in self.members.keys().filter(|id| !group.contains(id)) {
            group.iter().for_each(|id| self.net.cut_both(id, other));
        }
    }

    /// Passes an input to one member.
    pub fn input(&mut self, id: &NodeId, input: Input) {
        let Some(member) = self.members.get_mut(id) else { return };
        let outputs = member.handle(self.now, input);
        self.dispatch(id, outputs);
    }

    /// Advances virtual time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        let step = Member::TICK / STEPS as u32;
        while self.now < end {
            let next = self.now + step;
            self.deliver(next);
            self.now = next;
            self.step = (self.step + 1) % STEPS;
            let due: Vec<NodeId> =
                self.members.keys().skip(self.step).step_by(STEPS).cloned().collect();
            due.iter().for_each(|id| self.input(id, Input::Tick));
        }
    }

    /// Whether every running member sees exactly `count` members as alive, itself included.
    pub fn agrees(&self, count: usize) -> bool {
        let alive = |member: &Member| {
            member.members().filter(|(_, status)| *status == Status::Alive).count()
        };
        self.members.values().all(|member| alive(member) == count)
    }

    /// Clears the recorded events and counts.
    pub fn reset(&mut self) {
        self.events.clear();
        self.messages.clear();
        self.sent.clear();
    }

    fn deliver(&mut self, until: Moment) {
        while let Some(delivery) = self.net.receive(until) {
            self.now = self.now.max(delivery.at);
            if let Ok(message) = postcard::from_bytes::<Message>(&delivery.bytes) {
                self.input(&delivery.to, Input::Receive { from: delivery.from, message });
            }
        }
    }

    fn dispatch(&mut self, from: &NodeId, outputs: Vec<Output>) {
        for output in outputs {
            let Output::Send { to, message, .. } = output else {
                self.events.push((self.now, from.clone(), output));
                continue;
            };
            let Ok(bytes) = postcard::to_allocvec(&*message) else { continue };
            *self.messages.entry(self.now.as_secs()).or_default() += 1;
            *self.sent.entry(from.clone()).or_default() += (bytes.len() + HEADER_BYTES) as u64;
            self.longest = self.longest.max(bytes.len());
            self.net.send(self.now, from, &to, bytes);
        }
    }

    fn pick(&self, choose: impl Fn(&Meta) -> bool) -> Vec<NodeId> {
        let chosen = self.members.values().map(Member::me).filter(|me| choose(&me.meta));
        chosen.map(|me| me.id.clone()).collect()
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (index / 250) as u8, (index % 250) as u8], 4600))
}

fn meta(index: usize) -> Meta {
    let domain = index % DOMAINS;
    Meta {
        callers: address(index),
        config: 0,
        domain: format_compact!("d{domain}"),
        links: address(index),
        region: CompactString::const_new(REGIONS[domain]),
        roles: BTreeSet::from([Role::Entry]),
        state: State::Serving,
    }
}
