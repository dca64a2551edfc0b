//! Runs a plan.

pub(super) mod fatal;
mod processes;
mod requests;
mod steps;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::balance;
use hemlockfield::clock::Moment;
use hemlockfield::fake::Disk;
use hemlockfield::health::Kind;
use hemlockfield::id::ConfigNumber;
use hemlockfield::id::NodeId;
use hemlockfield::node::core::Input;
use hemlockfield::poison::Evidence;
use hemlockfield::poison::Fingerprint;
use hemlockfield::poison::Identity;
use hemlockfield::reach::Check;
use hemlockfield::retry;
use hemlockfield::wire::Envelope;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::fatal::Fatal;
use super::callers::Callers;
use super::link::Link;
use super::plan::CALLERS_FROM;
use super::plan::Plan;
use super::process::Process;
use super::upstream::Upstream;

const CONTROLS: usize = 3;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time that a message travels, beside what it waits at a link.
const LATENCY: Duration = Duration::from_micros(1_400);
/// Time after which a connection that does not open is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an entry gives up what got no sign of an upstream.
const PATIENCE: Duration = Duration::from_millis(500);
/// Time that callers give a request.
const DEADLINE: Duration = Duration::from_secs(3);
/// Interval at which an entry looks for overdue requests and checks its paths.
const SWEEP: Duration = Duration::from_millis(50);
/// Most attempts of a request, and most entries that it is passed through.
const MAX_TRIES: usize = 4;
const MAX_HOPS: usize = 3;
/// Requests of a kind that one request in a hundred is, and how much longer they take.
const SLOW_SHARE: f64 = 0.01;
const SLOW_FACTOR: f64 = 5.0;
/// How much longer work takes at an upstream that has just started.
const COLD_FACTOR: f64 = 3.0;
/// Longest time that an entry has for its requests when it is told to leave.
const GRACE: Duration = Duration::from_secs(6);

enum Event {
    Announce,
    Arrive(usize),
    Call(usize),
    /// An upstream ends, perhaps under a fatal request.
    Die(usize, Option<Fingerprint>),
    Evidence(usize, Evidence),
    Fatal(Fatal),
    Checked {
        check: Check,
        epoch: u32,
        is_open: bool,
        process: usize,
        started: Moment,
    },
    Done(usize),
    End(usize, u32, Duration),
    Finish(usize, Kind),
    Frame(usize, usize, Vec<u8>),
    Late(usize),
    Start(usize),
    Step(usize),
    Sweep(usize, u32),
    Wake(usize, u32),
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// Upstreams that it arrived at.
    arrivals: usize,
    avoid: Vec<usize>,
    copies: retry::Copies,
    /// When it ended, and whether it was served.
    pub(super) ended: Option<(Moment, bool)>,
    pub(super) entry: usize,
    fingerprint: Fingerprint,
    identity: Identity,
    /// Copies that are held up on their way.
    held: usize,
    hops: usize,
    is_idempotent: bool,
    pub(super) sent_at: Moment,
    pub(super) service: usize,
    tries: usize,
}

/// A request at an upstream.
#[derive(Clone, Debug)]
struct Attempt {
    entry: usize,
    epoch: u32,
    is_over: bool,
    request: usize,
    started: Moment,
    ticket: balance::Ticket,
    is_trial: bool,
    upstream: usize,
}

/// Entries that can't reach some upstreams for some time.
#[derive(Clone, Debug)]
struct Cut {
    entries: BTreeSet<usize>,
    from: Moment,
    until: Moment,
    upstreams: BTreeSet<usize>,
}

/// Paths to a service's upstreams that hold a share of what is sent until they heal.
#[derive(Clone, Copy, Debug)]
struct Hold {
    service: usize,
    share: f64,
    until: Moment,
}

/// A configuration that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Acknowledged {
    pub(super) at: Moment,
    pub(super) number: ConfigNumber,
    pub(super) submitted_at: Moment,
}

/// Runs a plan.
pub(super) struct World {
    pub(super) acknowledged: Vec<Acknowledged>,
    /// Arrivals beyond the first of their request, with the service.
    pub(super) again: Vec<(Moment, usize)>,
    attempts: Vec<Attempt>,
    /// Until when upstreams that ended are away.
    away_until: BTreeMap<usize, Moment>,
    callers: Callers,
    cuts: Vec<Cut>,
    disks: Vec<Disk>,
    epochs: Vec<u32>,
    hold: Option<Hold>,
    events: BinaryHeap<Reverse<(Moment, u64)>>,
    ids: Vec<NodeId>,
    /// Attempts in flight by upstream.
    in_flight: BTreeMap<usize, BTreeSet<usize>>,
    /// Processes that no other one reaches, until a time.
    isolated: (BTreeSet<usize>, Moment),
    /// Numbers of the configurations in force at each entry, since when, by start.
    pub(super) in_force: Vec<Vec<(Moment, u32, ConfigNumber)>>,
    leaving: BTreeSet<usize>,
    links: Vec<(Link, Link)>,
    /// Entries that callers were told of, and since when.
    pub(super) listings: Vec<(Moment, Vec<usize>)>,
    loss: f64,
    now: Moment,
    payloads: BTreeMap<u64, Event>,
    pub(super) plan: Plan,
    processes: Vec<Option<Process>>,
    random: ChaCha8Rng,
    pub(super) requests: Vec<Request>,
    pub(super) seen: fatal::Seen,
    sequence: u64,
    /// Times at which each process started and stopped.
    pub(super) starts: Vec<Vec<(Moment, bool)>>,
    submitted: BTreeMap<u64, (ConfigNumber, Moment)>,
    /// Submissions that wait until the one before them is acknowledged.
    waiting: Vec<usize>,
    pub(super) upstreams: Vec<Upstream>,
    /// Service of each upstream.
    pub(super) services: Vec<usize>,
    version: ConfigNumber,
}

/// Address of a process or an upstream.
pub(super) fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, (number / 250) as u8, (number % 250) as u8 + 1], 80))
}

fn upstream_name(number: usize) -> compact_str::CompactString {
    compact_str::format_compact!("u{number:03}")
}

fn upstream_number(name: &str) -> usize {
    name[1..].parse().expect("a number")
}

impl World {
    /// Runs a plan to its end.
    pub(super) fn run(plan: Plan) -> Self {
        let mut world = Self::new(plan);
        world.at(Duration::ZERO, Event::Announce);
        (0..world.ids.len()).for_each(|process| world.start(process, true));
        (0..world.plan.services.len()).for_each(|it| world.at(CALLERS_FROM, Event::Call(it)));
        for step in 0..world.plan.steps.len() {
            world.at(world.plan.steps[step].0, Event::Step(step));
        }
        while let Some(Reverse((at, sequence))) = world.events.pop() {
            if at >= world.plan.end {
                break;
            }
            world.now = at;
            if let Some(event) = world.payloads.remove(&sequence) {
                world.handle(event);
            }
        }
        world.now = world.plan.end;
        world
    }

    fn new(plan: Plan) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        let count = CONTROLS + plan.entries;
        let mut upstreams = Vec::new();
        let mut services = Vec::new();
        for (number, service) in plan.services.iter().enumerate() {
            for _ in 0..service.upstreams {
                upstreams.push(Upstream::new(service.slots, plan.end, &mut random));
                services.push(number);
            }
        }
        let link = || (Link::new(plan.link), Link::new(plan.link));
        Self {
            acknowledged: Vec::new(),
            again: Vec::new(),
            attempts: Vec::new(),
            away_until: BTreeMap::new(),
            callers: Callers::new(),
            cuts: Vec::new(),
            disks: (0..CONTROLS as u64).map(Disk::new).collect(),
            epochs: vec![0; count],
            hold: None,
            events: BinaryHeap::new(),
            ids: (0..count).map(|at| NodeId::from(format!("n{at:03}"))).collect(),
            in_flight: BTreeMap::new(),
            isolated: Default::default(),
            in_force: vec![Vec::new(); count],
            leaving: BTreeSet::new(),
            listings: Vec::new(),
            links: (0..count).map(|_| link()).collect(),
            loss: 0.0,
            now: Duration::ZERO,
            payloads: BTreeMap::new(),
            plan,
            processes: (0..count).map(|_| None).collect(),
            random,
            requests: Vec::new(),
            seen: fatal::Seen::default(),
            sequence: 0,
            starts: vec![Vec::new(); count],
            submitted: BTreeMap::new(),
            waiting: Vec::new(),
            upstreams,
            services,
            version: 0,
        }
    }

    fn at(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence)));
        self.payloads.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Announce => self.announce(),
            Event::Arrive(attempt) => self.arrive(attempt),
            Event::Call(service) => self.call(service),
            Event::Checked { check, epoch, is_open, process, started } => {
                if self.epochs[process] == epoch {
                    self.record_attempt(process, started, &check, is_open);
                }
            }
            Event::Die(upstream, under) => self.die(upstream, under),
            Event::Evidence(entry, evidence) => self.input(entry, Input::Poison(evidence)),
            Event::Fatal(fatal) => self.call_fatal(fatal),
            Event::Done(attempt) => self.done(attempt),
            Event::End(process, epoch, down) => self.end(process, epoch, down),
            Event::Finish(attempt, kind) => self.finish(attempt, kind),
            Event::Frame(from, to, bytes) => {
                let frame = Envelope::decode(&bytes).expect("decoded").frame;
                self.input(to, Input::Frame(self.ids[from].clone(), frame));
            }
            Event::Late(attempt) => self.arrive_late(attempt),
            Event::Start(process) => self.start(process, false),
            Event::Step(step) => self.step(step),
            Event::Sweep(process, epoch) => self.sweep(process, epoch),
            Event::Wake(process, epoch) => self.wake(process, epoch),
        }
    }
}
