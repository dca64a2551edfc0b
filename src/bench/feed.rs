//! What the feed costs one control and one entry, by the size of the fleet.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use compact_str::format_compact;
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::catalog::Action;
use crate::catalog::Catalog;
use crate::catalog::Change;
use crate::clock::Moment;
use crate::feed::Capacity;
use crate::feed::Control;
use crate::feed::Entry;
use crate::feed::Input;
use crate::feed::Message;
use crate::feed::Output;
use crate::feed::Publisher;
use crate::feed::Snapshot;
use crate::feed::Subscriber;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::Index;
use crate::id::NodeId;
use crate::registry;
use crate::registry::Announcement;

/// Numbers of entries and upstreams, up to twice the largest fleet.
const SIZES: [(usize, usize); 4] = [(100, 600), (300, 2_000), (1_000, 10_000), (2_000, 20_000)];
/// Controls, whatever the size.
const CONTROLS: usize = 19;
const DOMAINS: usize = 6;
/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);
/// Interval between two greetings of controls.
const GREETING_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the start until everything is loaded.
const START: Duration = Duration::from_secs(10);
/// Time for which each load is measured.
const SPAN: Duration = Duration::from_secs(10);
/// Interval between two changes of upstreams.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Messages, bytes and processor time of a span.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    sent: usize,
    sent_bytes: usize,
    received_bytes: usize,
    spent: Duration,
}

/// One control, the entries that poll it, and the reports of the other controls.
struct World {
    catalog: Catalog,
    changed: usize,
    control: Cost,
    entries: BTreeMap<NodeId, (Subscriber, Cost)>,
    index: Index,
    now: Moment,
    others: Vec<(NodeId, Publisher)>,
    publisher: Publisher,
    /// Upstreams that the first entry was sent.
    followed: usize,
}

/// Measures all sizes and gives a table.
pub fn run(seed: u64) -> String {
    let mut table = String::from(
        "entries  upstreams  span     control: msg/s  sent B/s  recv B/s  cpu ms/s  entry: recv B/s  cpu ms/s  upstreams\n",
    );
    for (entries, upstreams) in SIZES {
        let mut world = World::new(seed, entries, upstreams);
        let spans = [("start", START, None), ("idle", SPAN, None), ("changes", SPAN, Some(()))];
        for (name, span, changes) in spans {
            let row = world.measure(span, changes.is_some());
            let _ = writeln!(table, "{entries:<8} {upstreams:<10} {name:<8} {row}");
        }
    }
    table
}

impl World {
    fn new(seed: u64, entries: usize, upstreams: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = || ChaCha8Rng::seed_from_u64(random.next_u64());
        let own = (0..entries).step_by(CONTROLS).map(entry);
        let own = own.map(|me| {
            let subscriber = Subscriber::new(Moment::ZERO, me.clone(), vec![control(0)], draw());
            (me.id, (subscriber, Cost::default()))
        });
        let mut world = Self {
            catalog: Catalog::default(),
            changed: 0,
            control: Cost::default(),
            entries: own.collect(),
            index: 0,
            now: Moment::ZERO,
            others: (1..CONTROLS).map(|at| (control(at), Publisher::default())).collect(),
            publisher: Publisher::default(),
            followed: 0,
        };
        (0..upstreams).for_each(|at| world.announce(at, registry::State::Ready, 1));
        world.poll_others(entries);
        world.publisher.set_slots(world.catalog.slots());
        world
    }

    /// Has the entries of the other controls poll those once.
    fn poll_others(&mut self, entries: usize) {
        let empty = Catalog::default();
        for (position, (_, publisher)) in self.others.iter_mut().enumerate() {
            for at in (position + 1..entries).step_by(CONTROLS) {
                let random = ChaCha8Rng::seed_from_u64(at as u64);
                let mut subscriber = Subscriber::new(self.now, entry(at), vec![control(0)], random);
                for output in subscriber.handle(self.now, Input::Tick) {
                    if let Output::Send(_, Message::Poll(poll)) = output {
                        publisher.poll(self.now, *poll, &snapshot(0, &empty));
                    }
                }
            }
        }
    }

    fn announce(&mut self, at: usize, state: registry::State, sequence: u64) {
        self.index += 1;
        let change = Change { announcement: announcement(at, state), sequence };
        self.catalog.apply(self.index, &Action::Announce(change));
    }

    fn measure(&mut self, span: Duration, has_changes: bool) -> String {
        self.control = Cost::default();
        self.entries.values_mut().for_each(|(_, cost)| *cost = Cost::default());
        let end = self.now + span;
        let mut change_at = self.now + CHANGE_INTERVAL;
        while self.now < end {
            if has_changes && self.now >= change_at {
                change_at += CHANGE_INTERVAL;
                self.announce(self.changed, registry::State::Draining, 2);
                self.changed += 1;
                let started = Instant::now();
                self.publisher.set_slots(self.catalog.slots());
                self.publisher.schedule_push(self.now);
                self.control.spent += started.elapsed();
            }
            self.step();
            self.now += STEP;
        }
        self.row(span)
    }

    fn step(&mut self) {
        if self.now.as_millis().is_multiple_of(GREETING_INTERVAL.as_millis()) {
            self.greet();
        }
        let ids: Vec<NodeId> = self.entries.keys().cloned().collect();
        for id in ids {
            let outputs = self.entries.get_mut(&id).map(|(subscriber, cost)| {
                let started = Instant::now();
                let outputs = subscriber.handle(self.now, Input::Tick);
                cost.spent += started.elapsed();
                outputs
            });
            self.carry_out(outputs.unwrap_or_default());
        }
        let started = Instant::now();
        let sends = self.publisher.tick(self.now, &snapshot(self.index, &self.catalog));
        self.control.spent += started.elapsed();
        self.deliver(sends);
    }

    /// Exchanges reports with the other controls, which have one each.
    fn greet(&mut self) {
        let started = Instant::now();
        let report = self.publisher.report(self.now);
        self.control.spent += started.elapsed();
        for at in 0..self.others.len() {
            self.count_sent(&greeting(report.clone()));
            let (id, publisher) = &mut self.others[at];
            // Their entries poll them, but not in this measurement.
            let mut received = publisher.whole_report();
            if self.now > Moment::ZERO {
                received.entries = None;
            }
            let bytes = encode(&greeting(received.clone()));
            let started = Instant::now();
            self.publisher.record_report(self.now, id, received);
            self.control.spent += started.elapsed();
            self.control.received_bytes += bytes.len();
        }
    }

    fn carry_out(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            let Output::Send(_, message) = output else { continue };
            let bytes = encode(&message);
            self.control.received_bytes += bytes.len();
            let Message::Poll(poll) = message else { continue };
            let started = Instant::now();
            let sends = self.publisher.poll(self.now, *poll, &snapshot(self.index, &self.catalog));
            self.control.spent += started.elapsed();
            self.deliver(sends);
        }
    }

    fn deliver(&mut self, sends: Vec<(NodeId, Message)>) {
        for (to, message) in sends {
            let length = self.count_sent(&message);
            let Message::News(update) = message else { continue };
            let is_first = self.entries.keys().next() == Some(&to);
            if is_first {
                self.followed += update.upstreams.upstreams.len();
            }
            let Some((subscriber, cost)) = self.entries.get_mut(&to) else { continue };
            cost.received_bytes += length;
            let started = Instant::now();
            let outputs = subscriber.handle(self.now, Input::Update(control(0), update));
            cost.spent += started.elapsed();
            self.carry_out(outputs);
        }
    }

    fn count_sent(&mut self, message: &Message) -> usize {
        let started = Instant::now();
        let length = encode(message).len();
        self.control.spent += started.elapsed();
        self.control.sent += 1;
        self.control.sent_bytes += length;
        length
    }

    fn row(&self, span: Duration) -> String {
        let seconds = span.as_secs_f64();
        let rate = |count: usize| count as f64 / seconds;
        let millis = |spent: Duration| spent.as_secs_f64() * 1_000.0 / seconds;
        let count = self.entries.len();
        let received: usize = self.entries.values().map(|(_, cost)| cost.received_bytes).sum();
        let spent: Duration = self.entries.values().map(|(_, cost)| cost.spent).sum();
        format!(
            "{:<14.0}  {:<8.0}  {:<8.0}  {:<8.2}  {:<15.0}  {:<8.3}  {}",
            rate(self.control.sent),
            rate(self.control.sent_bytes),
            rate(self.control.received_bytes),
            millis(self.control.spent),
            rate(received / count),
            millis(spent / count as u32),
            self.followed,
        )
    }
}

fn control(at: usize) -> NodeId {
    format_compact!("10.0.1.{at}")
}

fn domain(at: usize) -> DomainId {
    format_compact!("domain-{}", at % DOMAINS)
}

fn entry(at: usize) -> Entry {
    Entry {
        callers: SocketAddr::from(([10, 1, (at >> 8) as u8, at as u8], 8144)),
        domain: domain(at),
        id: format_compact!("10.1.{}.{}", at >> 8, at & 0xff),
        peers: None,
        reach: BTreeMap::new(),
        room: Capacity::default(),
        state: State::Serving,
    }
}

fn announcement(at: usize, state: registry::State) -> Announcement {
    Announcement {
        address: SocketAddr::from(([10, 2, (at >> 8) as u8, at as u8], 8080)),
        connections: 5_100,
        domain: domain(at),
        incarnation: 1_764_000_000_000,
        lease: Duration::ZERO,
        service: if at.is_multiple_of(6) { "cert".into() } else { "hull".into() },
        slots: 4,
        state,
        upstream: format_compact!("i-{at:010x}"),
        warm_up: Duration::ZERO,
    }
}

fn snapshot(applied: Index, catalog: &Catalog) -> Snapshot<'_> {
    let controls = (0..CONTROLS).map(|at| Control { domain: domain(at), id: control(at) });
    Snapshot { applied, catalog, controls: controls.collect(), fresh: true }
}

fn greeting(ready: crate::feed::Report) -> Message {
    Message::Hello {
        control: Control { domain: domain(0), id: control(0) },
        disk: None,
        quarantined: 0,
        ready,
    }
}

fn encode(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}
