//! One process's part in the fleet.

mod learn;
mod receive;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::fleet::Allowance;
use crate::fleet::Input;
use crate::fleet::Message;
use crate::fleet::Meta;
use crate::fleet::Output;
use crate::fleet::Record;
use crate::fleet::Rumour;
use crate::fleet::Seed;
use crate::fleet::Spread;
use crate::fleet::Status;
use crate::fleet::probe::Due;
use crate::fleet::probe::Prober;
use crate::fleet::rings::Rings;
use crate::fleet::roster::Entry;
use crate::fleet::roster::Roster;
use crate::id::NodeId;

/// Rings that members are ordered on, hence observers of each member. Four lets two
/// of them be lost or cut off and two still confirm each other.
const RINGS: usize = 4;

/// Bytes a second for joins and repairs in the long run, and the same for suspicions,
/// refutations and verdicts, so that a refutation does not come too late because a
/// failure domain joins at the same time. Probes need about 0.43 KB a second beside.
const SPREAD_RATE: u64 = 500;

/// Bytes of news that may pass now and then: 520 members that all start, some times.
const SPREAD_BURST: u64 = 1_000_000;

/// Bytes of news a second while there are many: the table in four seconds.
const SPREAD_PACE: u64 = 10_000;

/// How often a process that knows nobody asks a seed.
const JOIN_PERIOD: Duration = Duration::from_secs(1);

/// How often one that knows others asks a seed that is not among them; reached by
/// doubling, so that a seed which is gone for good costs little.
const JOIN_PERIOD_MAX: Duration = Duration::from_secs(64);

/// How often a failed member is pinged, in case the path to it is back. With 170
/// processes on one side of a cut that is eight pings a second in all.
const REJOIN_PERIOD: Duration = Duration::from_secs(20);

/// A longer gap between ticks means that this process was stopped (a paused VM):
/// the answers it misses prove nothing against others.
const STALL: Duration = Duration::from_secs(1);

/// One process's view of the fleet and its duties in it.
#[derive(Debug)]
pub struct Member {
    changed_at: Moment,
    join_at: Moment,
    join_period: Duration,
    left: bool,
    me: Record,
    neighbours: BTreeSet<NodeId>,
    prober: Prober,
    random: ChaCha8Rng,
    refuted_at: Option<Moment>,
    rejoin_at: Moment,
    repaired_at: Option<Moment>,
    rings: Rings,
    roster: Roster,
    seeds: Vec<Seed>,
    spread: Spread,
    started_at: Moment,
    ticked_at: Moment,
    urgent: Spread,
}

impl Member {
    /// Longest time between two [`Input::Tick`]s.
    pub const TICK: Duration = Duration::from_millis(100);

    /// Member `me`, which joins through `seeds`; itself among them does no harm.
    pub fn new(now: Moment, me: Record, seeds: Vec<Seed>, mut random: ChaCha8Rng) -> Self {
        let allowance = Allowance::new(SPREAD_RATE, SPREAD_BURST, SPREAD_PACE);
        let mut rings = Rings::new(RINGS);
        rings.insert(&me.id);
        let mut roster = Roster::new();
        roster.apply(now, &Rumour::Alive(me.clone()));
        let rejoin = random.random_range(Duration::ZERO..REJOIN_PERIOD);
        let seeds = seeds.into_iter().filter(|seed| seed.id != me.id).collect();
        Self {
            changed_at: now,
            join_at: now,
            join_period: JOIN_PERIOD,
            left: false,
            me,
            neighbours: BTreeSet::new(),
            prober: Prober::default(),
            random,
            refuted_at: None,
            rejoin_at: now + rejoin,
            repaired_at: None,
            rings,
            roster,
            seeds,
            spread: Spread::new(allowance.clone()),
            started_at: now,
            ticked_at: now,
            urgent: Spread::new(allowance.clone()),
        }
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.left {
            return outputs;
        }
        match input {
            Input::Configuration(number) => self.me.meta.config = number,
            Input::Leave => self.leave(now, &mut outputs),
            Input::Receive { from, message } => self.receive(now, from, message, &mut outputs),
            Input::Tick => self.tick(now, &mut outputs),
            Input::Update(meta) => self.update(now, meta),
        }
        outputs
    }

    /// Whether more than half of the members probed from here answered lately; a
    /// process for which it is `false` may miss news.
    pub fn in_touch(&self, now: Moment) -> bool {
        let founder = self.seeds.is_empty() && self.neighbours.is_empty();
        founder || self.prober.in_touch(now)
    }

    /// What this process says of itself.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Every member known, this process and those gone included.
    pub fn members(&self) -> impl Iterator<Item = (&Record, Status)> {
        self.roster.entries().map(|entry| (&entry.record, entry.status))
    }

    /// Members that this process holds links to: those it probes and those that probe it.
    pub fn neighbours(&self) -> &BTreeSet<NodeId> {
        &self.neighbours
    }

    /// One member's record and status.
    pub fn record(&self, id: &NodeId) -> Option<(&Record, Status)> {
        self.roster.get(id).map(|entry| (&entry.record, entry.status))
    }

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now > self.ticked_at + STALL {
            self.prober.reset(now);
        }
        self.ticked_at = now;
        for due in self.prober.due(now) {
            self.probe(now, due, outputs);
        }
        for id in self.roster.overdue(now, &self.me.id) {
            self.convict(now, &id, outputs);
        }
        self.join(now, outputs);
        self.rejoin(now, outputs);
        self.flush(now, outputs);
    }

    fn probe(&mut self, now: Moment, due: Due, outputs: &mut Vec<Output>) {
        match due {
            Due::Ping { sequence, target } => self.ping(sequence, &target, outputs),
            Due::Repeat { sequence, target } => {
                self.ping(sequence, &target, outputs);
                let helpers = self.rings.predecessors(&target);
                for helper in helpers.iter().filter(|helper| **helper != self.me.id) {
                    let message = Message::Relay { sequence, target: target.clone() };
                    self.send(helper, message, outputs);
                }
            }
            Due::Silent { sent, target } => self.accuse(now, sent, target, outputs),
        }
    }

    /// Suspects a silent target, unless this process is the one cut off.
    ///
    /// A process that no answers reach would accuse all its
    /// targets, and each would have to refute. It accuses nobody unless another
    /// target answered since the ping left; its observers accuse it.
    fn accuse(&mut self, now: Moment, sent: Moment, target: NodeId, outputs: &mut Vec<Output>) {
        let alone = self.roster.live() <= 2;
        if !alone && !self.prober.heard_other(&target, sent) {
            return;
        }
        let Some(entry) = self.roster.get(&target) else { return };
        let incarnation = entry.record.incarnation;
        let by = self.me.id.clone();
        let rumour = Rumour::Suspect { by, id: target, incarnation };
        self.learn(now, &rumour, None, outputs);
    }

    fn convict(&mut self, now: Moment, id: &NodeId, outputs: &mut Vec<Output>) {
        self.roster.convict(now, id);
        self.settle(now, id, outputs);
        self.queue(id, None, true);
    }

    /// Asks a seed that is not among the live members.
    ///
    /// Not only a process that knows nobody asks: when all start at once the seeds
    /// take in a share each, and these islands would never hear of each other.
    fn join(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.join_at {
            return;
        }
        let alone = self.roster.live() <= 1;
        self.join_period =
            if alone { JOIN_PERIOD } else { JOIN_PERIOD_MAX.min(self.join_period * 2) };
        self.join_at = now + self.join_period;
        let met: BTreeSet<SocketAddr> = self.live().map(|entry| entry.record.meta.links).collect();
        let strangers = self.seeds.iter().filter(|seed| !met.contains(&seed.address));
        if let Some(seed) = strangers.choose(&mut self.random) {
            let to = seed.id.clone();
            let message = Box::new(Message::Join(self.me.clone()));
            outputs.push(Output::Send { to, address: seed.address, message });
        }
    }

    fn rejoin(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.rejoin_at {
            return;
        }
        let jitter = self.random.random_range(Duration::ZERO..REJOIN_PERIOD / 2);
        self.rejoin_at = now + REJOIN_PERIOD * 3 / 4 + jitter;
        self.roster.forget(now);
        let failed = self.roster.entries().filter(|entry| entry.status == Status::Failed);
        let chosen = failed.choose(&mut self.random).map(|entry| entry.record.id.clone());
        if let Some(id) = chosen {
            let sequence = self.prober.number();
            self.ping(sequence, &id, outputs);
        }
    }

    fn leave(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let id = self.me.id.clone();
        let rumour = Rumour::Left { id, incarnation: self.me.incarnation };
        self.roster.apply(now, &rumour);
        let neighbours = self.neighbours.clone();
        for neighbour in &neighbours {
            self.send(neighbour, Message::Rumours(vec![rumour.clone()]), outputs);
        }
        self.left = true;
    }

    fn update(&mut self, now: Moment, meta: Meta) {
        self.me.meta = meta;
        self.renew(now, self.me.incarnation);
    }

    /// Describes itself anew, above `incarnation`.
    fn renew(&mut self, now: Moment, incarnation: u64) {
        self.me.incarnation = incarnation.max(self.me.incarnation).saturating_add(1);
        self.roster.apply(now, &Rumour::Alive(self.me.clone()));
        self.changed_at = now;
        let me = self.me.id.clone();
        self.queue(&me, None, true);
    }

    /// Lets news of `id` wait for all neighbours; also for itself, to refute it.
    fn queue(&mut self, id: &NodeId, except: Option<&NodeId>, urgent: bool) {
        let spread = if urgent { &mut self.urgent } else { &mut self.spread };
        for neighbour in self.neighbours.iter().filter(|neighbour| Some(*neighbour) != except) {
            spread.queue(neighbour, id);
        }
    }

    fn flush(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let first = self.random.random_range(0..64);
        let roster = &self.roster;
        let size = |id: &NodeId| roster.rumours(id).iter().map(size_of).sum();
        let mut batches = self.urgent.take(now, first, size);
        batches.extend(self.spread.take(now, first, size));
        for (peer, ids) in batches {
            let rumours = ids.iter().flat_map(|id| self.roster.rumours(id)).collect();
            self.send(&peer, Message::Rumours(rumours), outputs);
        }
    }

    fn ping(&self, sequence: u32, target: &NodeId, outputs: &mut Vec<Output>) {
        let accused = |entry: &&Entry| entry.status != Status::Alive;
        let entry = self.roster.get(target).filter(accused);
        let about =
            entry.and_then(|entry| self.roster.rumours(&entry.record.id).pop()).map(Box::new);
        let address = self.me.meta.links;
        let config = self.me.meta.config;
        let root = self.roster.digest.root();
        self.send(target, Message::Ping { about, address, config, root, sequence }, outputs);
    }

    fn send(&self, to: &NodeId, message: Message, outputs: &mut Vec<Output>) {
        if let Some(entry) = self.roster.get(to) {
            let address = entry.record.meta.links;
            outputs.push(Output::Send { to: to.clone(), address, message: Box::new(message) });
        }
    }

    fn live(&self) -> impl Iterator<Item = &Entry> {
        self.roster.entries().filter(|entry| entry.status < Status::Failed)
    }
}

/// Encoded bytes of a rumour.
fn size_of(rumour: &Rumour) -> usize {
    postcard::to_allocvec(rumour).map_or(0, |bytes| bytes.len())
}
