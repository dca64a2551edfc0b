//! Large configurations on the narrow link of an entry.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::catalog;
use hemlockfield::catalog::Action;
use hemlockfield::catalog::Catalog;
use hemlockfield::config::Version;
use hemlockfield::feed::Capacity;
use hemlockfield::feed::Control;
use hemlockfield::feed::Entry;
use hemlockfield::feed::Input;
use hemlockfield::feed::Message;
use hemlockfield::feed::Output;
use hemlockfield::feed::Publisher;
use hemlockfield::feed::Selection;
use hemlockfield::feed::Snapshot;
use hemlockfield::feed::Subscriber;
use hemlockfield::feed::transfer::Change;
use hemlockfield::fleet::State;
use hemlockfield::id::ConfigNumber;
use hemlockfield::id::Index;
use hemlockfield::id::NodeId;
use hemlockfield::id::UpstreamId;
use hemlockfield::registry;
use hemlockfield::registry::Announcement;
use hemlockfield::timeline::Stamp;
use hemlockfield::wire::Envelope;
use hemlockfield::wire::Frame;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];
/// Link of an entry in bytes per second: 3.9 Mbit/s.
const LINK: u64 = 487_500;
/// Latency one way between a control and an entry.
const LATENCY: Duration = Duration::from_micros(1400);
/// Step of the clock in milliseconds.
const STEP: u64 = 1;
/// Bytes per second that a VM may spend on control.
const CONTROL_BYTES: u64 = 3_000;
/// Time within which a change must be in force, and an upstream that leaves must get no work.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Bytes of a part of a change.
const PART_BYTES: usize = 8 << 10;
/// Default time within which an upstream must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time within which an entry that starts knows all upstreams.
const START: Duration = Duration::from_secs(13);
/// Time in milliseconds of the first change.
const CHANGED_AT: u64 = 3_000;
/// Interval between changes in milliseconds.
const CHANGE_INTERVAL: u64 = 500;
/// Number of changes in a series.
const CHANGES: u64 = 20;
/// Number of the first change.
const FIRST_CHANGE: ConfigNumber = 2;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A configuration in one line, as operators' programs write it. Its routes differ in their names.
fn version(number: ConfigNumber, routes: usize, weight: u32) -> Version {
    let mut document = format!(r#"{{"version":"{number:08x}","services":[{{"name":"hull"}}],"#);
    document.push_str(r#""hosts":[{"host":"hull.example","paths":["#);
    for at in 0..routes {
        let name = (at as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 28;
        let weight = if at == 0 { weight } else { 10 };
        write!(
            document,
            r#"{{"name":"r-{name:09x}","pathPrefix":"/{name:x}/","routeType":"unsafe","timeoutS":1.5,"aimS":1.2,"priority":1,"trafficSplit":[{{"service":"hull","weight":{weight}}}],"maxAttempts":2}},"#
        )
        .expect("formatted");
    }
    document.push_str("]}]}");
    Version::new(number, compact_str::format_compact!("{number}"), &document)
}

/// Announcement of an upstream, which is ready or leaving.
fn upstream(number: u16, state: registry::State, sequence: u64) -> Action {
    let announcement = Announcement {
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        connections: 390,
        domain: "north".into(),
        incarnation: 1,
        lease: ms(4_500),
        service: "hull".into(),
        slots: 4,
        state,
        upstream: compact_str::format_compact!("hull-{number}"),
        warm_up: Duration::ZERO,
    };
    Action::Announce(catalog::Change { announcement, sequence })
}

/// A message on the entry's link.
struct Transfer {
    arrives_at: Duration,
    bytes: usize,
    from: &'static str,
    message: Message,
}

/// Three controls with the same log, and an entry that receives over a narrow link.
struct World {
    catalog: Catalog,
    /// When each configuration took effect at the entry.
    in_force_at: Vec<(ConfigNumber, Duration)>,
    index: Index,
    /// Number of upstreams that the entry knew when its first configuration took effect.
    known_when_configured: usize,
    link: VecDeque<Transfer>,
    /// Longest time for which a packet would have waited at the entry's link.
    max_wait: Duration,
    now: Duration,
    publishers: Vec<Publisher>,
    received: usize,
    /// Control whose messages get lost.
    silent: Option<&'static str>,
    subscriber: Subscriber,
    /// States of the upstreams as the entry knows them.
    upstreams: BTreeMap<UpstreamId, registry::State>,
    version: Version,
}

impl World {
    fn new(version: Version) -> Self {
        let me = Entry {
            callers: SocketAddr::from(([127, 0, 0, 1], 80)),
            domain: "north".into(),
            id: "e1".into(),
            peers: None,
            reach: BTreeMap::new(),
            room: Capacity::new(0.1, Some(3.9)),
            state: State::Serving,
        };
        let seeds = CONTROLS.iter().map(|id| (*id).into()).collect();
        let mut catalog = Catalog::default();
        catalog.apply(1, &upstream(1, registry::State::Ready, 1));
        let mut publishers = vec![Publisher::default(); CONTROLS.len()];
        publishers.iter_mut().for_each(|publisher| publisher.set_configuration(&version));
        Self {
            catalog,
            in_force_at: Vec::new(),
            index: 1,
            known_when_configured: 0,
            link: VecDeque::new(),
            max_wait: Duration::ZERO,
            now: Duration::ZERO,
            publishers,
            received: 0,
            silent: None,
            subscriber: Subscriber::new(ms(0), me, seeds, ChaCha8Rng::seed_from_u64(1)),
            upstreams: BTreeMap::new(),
            version,
        }
    }

    /// Upstreams that the entry follows.
    fn followed(&self) -> Vec<&Announcement> {
        let (id, domain) = ("e1".into(), "north".into());
        let selection = Selection::default().fitted(self.catalog.sizes(), &domain);
        let is_followed = |one: &&Announcement| selection.includes(&id, &domain, one);
        self.catalog.upstreams().filter(is_followed).collect()
    }

    fn run_until(&mut self, end: u64) {
        while self.now < ms(end) {
            self.step();
            self.now += ms(STEP);
        }
    }

    /// Commits a configuration, which is acknowledged by that.
    fn commit(&mut self, version: Version) {
        self.index += 1;
        self.publishers.iter_mut().for_each(|publisher| publisher.set_configuration(&version));
        self.version = version;
        self.schedule_pushes();
    }

    /// Commits announcements of upstreams, all but the first.
    fn announce(&mut self, count: u16) {
        for number in 2..=count {
            self.index += 1;
            self.catalog.apply(self.index, &upstream(number, registry::State::Ready, 1));
        }
    }

    /// Commits that the first upstream leaves, which is acknowledged by that.
    fn drain(&mut self) {
        self.index += 1;
        self.catalog.apply(self.index, &upstream(1, registry::State::Draining, 2));
        self.schedule_pushes();
    }

    /// Silences the control that the entry polls.
    fn silence_current(&mut self) {
        let current = self.subscriber.current().expect("a control");
        self.silent = CONTROLS.iter().find(|id| **id == *current).copied();
    }

    fn schedule_pushes(&mut self) {
        let now = self.now;
        self.publishers.iter_mut().for_each(|publisher| publisher.schedule_push(now));
    }

    fn step(&mut self) {
        while self.link.front().is_some_and(|transfer| transfer.arrives_at <= self.now) {
            let Some(transfer) = self.link.pop_front() else { break };
            self.received += transfer.bytes;
            self.receive(transfer.from, transfer.message);
        }
        if self.subscriber.wake() <= self.now {
            let outputs = self.subscriber.handle(self.now, Input::Tick);
            self.carry_out(outputs);
        }
        for at in 0..self.publishers.len() {
            if self.publishers[at].wake() <= self.now {
                self.with_publisher(at, Publisher::tick);
            }
        }
    }

    fn receive(&mut self, from: &'static str, message: Message) {
        let input = match message {
            Message::News(update) => Input::Update(from.into(), update),
            Message::Part(part) => Input::Part(part),
            _ => return,
        };
        let outputs = self.subscriber.handle(self.now, input);
        self.carry_out(outputs);
    }

    fn carry_out(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => self.send_up(&to, message),
                Output::Apply(update) => {
                    let changed = update.upstreams.upstreams.into_iter();
                    self.upstreams.extend(changed.map(|it| (it.upstream, it.state)));
                }
                Output::Configure(version) => {
                    if self.in_force_at.is_empty() {
                        self.known_when_configured = self.upstreams.len();
                    }
                    self.in_force_at.push((version.number, self.now));
                }
                Output::Advertise(_)
                | Output::Ask(_)
                | Output::Narrow(_)
                | Output::Quarantine(_)
                | Output::Record(_)
                | Output::Retain(_)
                | Output::Unanswered(..) => (),
            }
        }
    }

    fn send_up(&mut self, to: &str, message: Message) {
        if self.silent == Some(to) {
            return;
        }
        let at = CONTROLS.iter().position(|id| *id == to).expect("a control");
        self.with_publisher(at, |publisher, now, snapshot| match message {
            Message::Poll(poll) => publisher.poll(now, *poll, snapshot),
            Message::Request(request) => {
                vec![("e1".into(), Message::Part(publisher.part(&request)))]
            }
            _ => Vec::new(),
        });
    }

    /// Runs a control and puts what it sends to the entry on the link.
    fn with_publisher(
        &mut self,
        at: usize,
        run: impl FnOnce(&mut Publisher, Duration, &Snapshot<'_>) -> Vec<(NodeId, Message)>,
    ) {
        let control = |id: &&str| Control { domain: "north".into(), id: (*id).into() };
        let snapshot = Snapshot {
            applied: self.index,
            catalog: &self.catalog,
            controls: CONTROLS.iter().map(control).collect(),
            fresh: true,
        };
        let sends = run(&mut self.publishers[at], self.now, &snapshot);
        for (to, message) in sends {
            if to == "e1" && self.silent != Some(CONTROLS[at]) {
                self.send_down(CONTROLS[at], message);
            }
        }
    }

    fn send_down(&mut self, from: &'static str, message: Message) {
        let frame = Frame::Feed(message.clone());
        let encoded = Envelope { frame, stamp: Stamp::default() }.encode().expect("encoded");
        let bytes = encoded.len();
        let free_at = self.link.back().map_or(self.now, |last| last.arrives_at.max(self.now));
        self.max_wait = self.max_wait.max(free_at.saturating_sub(self.now));
        let time = Duration::from_secs_f64(bytes as f64 / LINK as f64);
        let arrives_at = free_at + time + 2 * LATENCY;
        self.link.push_back(Transfer { arrives_at, bytes, from, message });
    }

    /// Commits configurations with this many routes, one each half second, and waits until the
    /// last must be in force. Returns the bytes that the entry received.
    fn commit_series(&mut self, routes: usize) -> usize {
        let before = self.received;
        let mut committed_at = Vec::new();
        for number in FIRST_CHANGE..FIRST_CHANGE + CHANGES {
            committed_at.push((number, self.now));
            self.commit(version(number, routes, number as u32));
            self.run_until(CHANGED_AT + (number - 1) * CHANGE_INTERVAL);
        }
        self.run_until(CHANGED_AT + CHANGES * CHANGE_INTERVAL + IN_FORCE.as_millis() as u64);
        committed_at.iter().for_each(|(number, at)| self.check_in_force(*number, *at));
        self.received - before
    }

    /// Checks that a configuration took effect in time, or a later one instead.
    fn check_in_force(&self, number: ConfigNumber, committed_at: Duration) {
        let at = self.in_force_at.iter().find(|(applied, _)| *applied >= number);
        let after = at.map(|(_, at)| at.saturating_sub(committed_at));
        assert!(after.is_some_and(|after| after <= IN_FORCE), "version {number}: {after:?}");
    }
}

// What an entry receives for a changed weight must not grow with the document.
#[rstest]
fn update_one_weight(#[values(10, 1_400, 4_200)] routes: usize) {
    let mut world = World::new(version(1, routes, 1));
    world.run_until(CHANGED_AT);
    let received = world.commit_series(routes);
    let span = CHANGES * CHANGE_INTERVAL + IN_FORCE.as_millis() as u64;
    let rate = received as u64 * 1_000 / span;
    assert!(rate <= CONTROL_BYTES, "{rate} bytes per second");
}

// A change that takes longer than an entry waits for an answer must not be sent by each control.
#[rstest]
fn large_change_in_force(#[values(10, 1_400, 2_800)] routes: usize) {
    let mut world = World::new(version(1, routes, 1));
    world.run_until(CHANGED_AT);
    let received = world.commit_series(routes + 1_400);
    let size = world.version.document.len();
    assert!(received <= size, "{received} bytes for a document of {size}");
}

// Upstreams that leave and callers' packets must not wait behind a large change.
#[rstest]
fn large_change_upstream_leaves(#[values(10, 1_400, 2_800)] routes: usize) {
    let mut world = World::new(version(1, routes, 10));
    world.run_until(CHANGED_AT);
    world.max_wait = Duration::ZERO;
    world.commit(version(2, routes + 1_400, 10));
    world.run_until(CHANGED_AT + 100);
    world.drain();
    world.run_until(CHANGED_AT + 100 + IN_FORCE.as_millis() as u64);
    assert_eq!(world.upstreams["hull-1"], registry::State::Draining);
    assert!(world.max_wait < CONNECT_TIMEOUT, "packets wait {:?}", world.max_wait);
}

// A transfer whose control falls silent must go on at another one, not begin again.
#[test]
fn large_change_control_silent() {
    let mut world = World::new(version(1, 10, 1));
    world.run_until(CHANGED_AT);
    let before = world.received;
    world.commit(version(2, 4_200, 1));
    world.run_until(CHANGED_AT + 40);
    assert!(world.received - before > 0, "the transfer has begun");
    world.silence_current();
    world.run_until(CHANGED_AT + IN_FORCE.as_millis() as u64);
    world.check_in_force(2, ms(CHANGED_AT));
    let change = Change::between(Some(&version(1, 10, 1)), &version(2, 4_200, 1)).unwrap();
    let allowed = change.id().size as usize + 2 * PART_BYTES;
    let received = world.received - before;
    assert!(received <= allowed, "{received} bytes for {allowed}");
}

// A transfer of a version that no control remembers must be given up for the newest one.
#[test]
fn large_change_controls_restart() {
    let mut world = World::new(version(1, 10, 1));
    world.run_until(CHANGED_AT);
    world.commit(version(2, 4_200, 1));
    world.run_until(CHANGED_AT + 40);
    world.publishers = vec![Publisher::default(); CONTROLS.len()];
    world.commit(version(3, 4_200, 2));
    world.run_until(CHANGED_AT + 40 + IN_FORCE.as_millis() as u64);
    world.check_in_force(3, ms(CHANGED_AT + 40));
}

// The upstreams that an entry follows must not be sent by each control, nor callers be served by a
// part of them.
#[rstest]
fn start_many_upstreams(#[values(250, 600, 6_200)] count: u16) {
    let mut world = World::new(version(1, 10, 1));
    world.announce(count);
    world.run_until(START.as_millis() as u64);
    let followed = world.followed();
    assert!(followed.len() == usize::from(count) || followed.len() > 100, "{}", followed.len());
    assert_eq!(world.upstreams.len(), followed.len());
    let table = postcard::to_stdvec(&followed).unwrap().len();
    let other = CONTROL_BYTES as usize * START.as_secs() as usize;
    assert!(world.received <= table + other, "{} bytes for {table}", world.received);
    assert!(world.max_wait < CONNECT_TIMEOUT, "packets wait {:?}", world.max_wait);
    assert_eq!(world.known_when_configured, followed.len());
}
