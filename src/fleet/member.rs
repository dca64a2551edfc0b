//! Membership of one process in the fleet.

mod apply;
mod receive;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::fleet::Allowance;
use crate::fleet::Dissemination;
use crate::fleet::Input;
use crate::fleet::Message;
use crate::fleet::Meta;
use crate::fleet::Output;
use crate::fleet::Record;
use crate::fleet::Seed;
use crate::fleet::Status;
use crate::fleet::StatusUpdate;
use crate::fleet::member_table::MemberState;
use crate::fleet::member_table::MemberTable;
use crate::fleet::probe::Action;
use crate::fleet::probe::Prober;
use crate::fleet::rings::Rings;
use crate::id::NodeId;

/// Number of rings, which is also the number of observers of each member. If two of four are lost
/// or partitioned, two can still confirm each other.
const RINGS: usize = 4;

/// Sustained bytes per second for joins and repairs. Suspicions, refutations and failures have as
/// much again, so that a refutation is not delayed when a failure domain joins at the same time.
/// Probes need about 0.43 KB per second in addition.
const DISSEMINATION_BYTES_PER_SECOND: u64 = 500;

/// Burst of bytes for updates. Enough for 520 members that all start, several times over.
const DISSEMINATION_BURST_BYTES: u64 = 1_000_000;

/// Bytes per second for updates during a burst. The whole table takes four seconds.
const DISSEMINATION_BURST_BYTES_PER_SECOND: u64 = 10_000;

/// Interval at which a process that knows no other member asks a seed to join.
const JOIN_PERIOD: Duration = Duration::from_secs(1);

/// Longest interval at which a process that knows other members asks a missing seed to join. The
/// interval doubles up to it, so that a seed that never returns costs little.
const JOIN_PERIOD_MAX: Duration = Duration::from_secs(64);

/// Mean interval at which a failed member is pinged, in case a partition has healed. With 170
/// processes on one side of it, that is eight pings per second in total.
const REJOIN_PERIOD: Duration = Duration::from_secs(20);

/// Gap between ticks from which this process counts as paused, for example with its VM. The answers
/// that it missed are no evidence against other members.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Member of the fleet with its view of the other members.
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
    member_table: MemberTable,
    seeds: Vec<Seed>,
    dissemination: Dissemination,
    started_at: Moment,
    ticked_at: Moment,
    urgent: Dissemination,
}

impl Member {
    /// Longest time between two [`Input::Tick`]s.
    pub const TICK: Duration = Duration::from_millis(100);

    /// Creates member `me`, which joins through `seeds`. Itself among them is ignored.
    pub fn new(now: Moment, me: Record, seeds: Vec<Seed>, mut random: ChaCha8Rng) -> Self {
        let allowance = Allowance::new(
            DISSEMINATION_BYTES_PER_SECOND,
            DISSEMINATION_BURST_BYTES,
            DISSEMINATION_BURST_BYTES_PER_SECOND,
        );
        let mut rings = Rings::new(RINGS);
        rings.insert(&me.id);
        let mut member_table = MemberTable::new();
        member_table.apply(now, &StatusUpdate::Alive(me.clone()));
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
            member_table,
            seeds,
            dissemination: Dissemination::new(allowance.clone()),
            started_at: now,
            ticked_at: now,
            urgent: Dissemination::new(allowance.clone()),
        }
    }

    /// Handles one input.
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

    /// Whether more than half of the probed members answered recently. Otherwise this process may
    /// miss updates.
    pub fn in_touch(&self, now: Moment) -> bool {
        let is_only_member = self.seeds.is_empty() && self.neighbours.is_empty();
        is_only_member || self.prober.in_touch(now)
    }

    /// Record of this process.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Returns all known members, including this process and those that failed or left.
    pub fn members(&self) -> impl Iterator<Item = (&Record, Status)> {
        self.member_table.entries().map(|entry| (&entry.record, entry.status))
    }

    /// Returns the members that this process has links to: those that it probes and those that
    /// probe it.
    pub fn neighbours(&self) -> &BTreeSet<NodeId> {
        &self.neighbours
    }

    /// Returns the record and status of a member.
    pub fn record(&self, id: &NodeId) -> Option<(&Record, Status)> {
        self.member_table.get(id).map(|entry| (&entry.record, entry.status))
    }

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now > self.ticked_at + PAUSE_THRESHOLD {
            self.prober.reset(now);
        }
        self.ticked_at = now;
        for action in self.prober.due(now) {
            self.probe(now, action, outputs);
        }
        for id in self.member_table.timed_out(now, &self.me.id) {
            self.declare_failed(now, &id, outputs);
        }
        self.join(now, outputs);
        self.rejoin(now, outputs);
        self.flush(now, outputs);
    }

    fn probe(&mut self, now: Moment, action: Action, outputs: &mut Vec<Output>) {
        match action {
            Action::Ping { sequence, target } => self.ping(sequence, &target, outputs),
            Action::Repeat { sequence, target } => {
                self.ping(sequence, &target, outputs);
                let helpers = self.rings.predecessors(&target);
                for helper in helpers.iter().filter(|helper| **helper != self.me.id) {
                    let message = Message::Relay { sequence, target: target.clone() };
                    self.send(helper, message, outputs);
                }
            }
            Action::Unanswered { sent, target } => self.suspect(now, sent, target, outputs),
        }
    }

    /// Suspects an unresponsive target, unless this process itself may be partitioned.
    ///
    /// A process that gets no answers would suspect all its targets, and each would have to
    /// refute. It suspects a target only if another one answered since the ping was sent. Its
    /// observers will suspect it instead.
    fn suspect(&mut self, now: Moment, sent: Moment, target: NodeId, outputs: &mut Vec<Output>) {
        let is_alone = self.member_table.live_count() <= 2;
        if !is_alone && !self.prober.has_other_answer(&target, sent) {
            return;
        }
        let Some(entry) = self.member_table.get(&target) else { return };
        let incarnation = entry.record.incarnation;
        let by = self.me.id.clone();
        let update = StatusUpdate::Suspect { by, id: target, incarnation };
        self.apply(now, &update, None, outputs);
    }

    fn declare_failed(&mut self, now: Moment, id: &NodeId, outputs: &mut Vec<Output>) {
        self.member_table.declare_failed(now, id);
        self.on_status_change(now, id, outputs);
        self.queue(id, None, true);
    }

    /// Sends a join request to a seed that is not among the live members.
    ///
    /// A process that knows other members does so as well. When all processes start at once, each
    /// seed admits some of them, and these groups would never find each other otherwise.
    fn join(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.join_at {
            return;
        }
        let is_alone = self.member_table.live_count() <= 1;
        self.join_period =
            if is_alone { JOIN_PERIOD } else { JOIN_PERIOD_MAX.min(self.join_period * 2) };
        self.join_at = now + self.join_period;
        let known: BTreeSet<SocketAddr> =
            self.live().map(|entry| entry.record.meta.links).collect();
        let missing = self.seeds.iter().filter(|seed| !known.contains(&seed.address));
        if let Some(seed) = missing.choose(&mut self.random) {
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
        self.member_table.forget(now);
        let failed = self.member_table.entries().filter(|entry| entry.status == Status::Failed);
        let chosen = failed.choose(&mut self.random).map(|entry| entry.record.id.clone());
        if let Some(id) = chosen {
            let sequence = self.prober.next_sequence();
            self.ping(sequence, &id, outputs);
        }
    }

    fn leave(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let id = self.me.id.clone();
        let update = StatusUpdate::Left { id, incarnation: self.me.incarnation };
        self.member_table.apply(now, &update);
        let neighbours = self.neighbours.clone();
        for neighbour in &neighbours {
            self.send(neighbour, Message::Rumours(vec![update.clone()]), outputs);
        }
        self.left = true;
    }

    fn update(&mut self, now: Moment, meta: Meta) {
        self.me.meta = meta;
        self.bump_incarnation(now, self.me.incarnation);
    }

    /// Publishes a new incarnation of this process above `incarnation`.
    fn bump_incarnation(&mut self, now: Moment, incarnation: u64) {
        self.me.incarnation = incarnation.max(self.me.incarnation).saturating_add(1);
        self.member_table.apply(now, &StatusUpdate::Alive(self.me.clone()));
        self.changed_at = now;
        let me = self.me.id.clone();
        self.queue(&me, None, true);
    }

    /// Queues updates about `id` for all neighbours, including `id` itself, which may refute them.
    fn queue(&mut self, id: &NodeId, except: Option<&NodeId>, urgent: bool) {
        let dissemination = if urgent { &mut self.urgent } else { &mut self.dissemination };
        for neighbour in self.neighbours.iter().filter(|neighbour| Some(*neighbour) != except) {
            dissemination.queue(neighbour, id);
        }
    }

    fn flush(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let first = self.random.random_range(0..64);
        let member_table = &self.member_table;
        let size = |id: &NodeId| member_table.updates(id).iter().map(size_of).sum();
        let mut batches = self.urgent.take_batches(now, first, size);
        batches.extend(self.dissemination.take_batches(now, first, size));
        for (peer, ids) in batches {
            let updates = ids.iter().flat_map(|id| self.member_table.updates(id)).collect();
            self.send(&peer, Message::Rumours(updates), outputs);
        }
    }

    fn ping(&self, sequence: u32, target: &NodeId, outputs: &mut Vec<Output>) {
        let is_doubted = |entry: &&MemberState| entry.status != Status::Alive;
        let entry = self.member_table.get(target).filter(is_doubted);
        let about =
            entry.and_then(|entry| self.member_table.updates(&entry.record.id).pop()).map(Box::new);
        let address = self.me.meta.links;
        let config = self.me.meta.config;
        let root = self.member_table.digest.root();
        self.send(target, Message::Ping { about, address, config, root, sequence }, outputs);
    }

    fn send(&self, to: &NodeId, message: Message, outputs: &mut Vec<Output>) {
        if let Some(entry) = self.member_table.get(to) {
            let address = entry.record.meta.links;
            outputs.push(Output::Send { to: to.clone(), address, message: Box::new(message) });
        }
    }

    fn live(&self) -> impl Iterator<Item = &MemberState> {
        self.member_table.entries().filter(|entry| entry.status < Status::Failed)
    }
}

/// Encoded bytes of an update.
fn size_of(update: &StatusUpdate) -> usize {
    postcard::to_allocvec(update).map_or(0, |bytes| bytes.len())
}
