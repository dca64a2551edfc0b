//! Runs a plan.

pub(super) mod fatal;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::balance;
use hemlockfield::catalog;
use hemlockfield::catalog::Action;
use hemlockfield::clock::Moment;
use hemlockfield::config::Version;
use hemlockfield::fake::Disk;
use hemlockfield::health::Kind;
use hemlockfield::health::Observation;
use hemlockfield::id::ConfigNumber;
use hemlockfield::id::NodeId;
use hemlockfield::id::ServiceId;
use hemlockfield::node::Output;
use hemlockfield::node::StateMachine;
use hemlockfield::node::core::Input;
use hemlockfield::poison::Evidence;
use hemlockfield::poison::Fingerprint;
use hemlockfield::poison::Identity;
use hemlockfield::reach;
use hemlockfield::reach::Check;
use hemlockfield::registry;
use hemlockfield::registry::Announcement;
use hemlockfield::retry;
use hemlockfield::retry::Decision;
use hemlockfield::timeline::Stamp;
use hemlockfield::wire::Envelope;
use hemlockfield::wire::Frame;
use hemlockfield::wire::Verdict;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::fatal::Fatal;
use super::callers::Callers;
use super::link::Link;
use super::plan::CALLERS_FROM;
use super::plan::Plan;
use super::plan::Step;
use super::process::Process;
use super::process::Start;
use super::upstream::Fault;
use super::upstream::Outage;
use super::upstream::Taken;
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

    fn is_control(process: usize) -> bool {
        process < CONTROLS
    }

    fn start(&mut self, process: usize, is_first: bool) {
        let controls = self.ids[..CONTROLS].to_vec();
        let start = Start {
            controls: &controls,
            domain: DOMAINS[process % DOMAINS.len()],
            id: &self.ids[process],
            is_first,
            link: self.plan.link,
            number: process,
            seed: self.random.random(),
        };
        let disk = self.disks.get(process).cloned();
        self.processes[process] = Some(Process::start(self.now, &start, disk));
        self.epochs[process] += 1;
        self.leaving.remove(&process);
        self.starts[process].push((self.now, true));
        let epoch = self.epochs[process];
        self.at(self.now, Event::Wake(process, epoch));
        if !Self::is_control(process) {
            self.at(self.now + SWEEP, Event::Sweep(process, epoch));
        }
    }

    /// Announces all upstreams, and submits the first configuration, until both are accepted.
    fn announce(&mut self) {
        if self.now >= CALLERS_FROM {
            return;
        }
        self.at(self.now + Duration::from_millis(500), Event::Announce);
        for number in 0..self.upstreams.len() {
            self.announce_upstream(number, Duration::ZERO);
        }
        if self.acknowledged.is_empty() {
            self.submit(10);
        }
    }

    fn announce_upstream(&mut self, number: usize, warm_up: Duration) {
        let service = &self.plan.services[self.services[number]];
        let announcement = Announcement {
            address: address(CONTROLS + self.plan.entries + number),
            connections: 390,
            domain: DOMAINS[number % DOMAINS.len()].into(),
            incarnation: 1,
            lease: Duration::from_secs(3_600),
            service: service.name.into(),
            slots: service.slots,
            state: registry::State::Ready,
            upstream: upstream_name(number),
            warm_up,
        };
        let change = catalog::Change { announcement, sequence: 1 };
        self.input(0, Input::Catalog(number as u64, Action::Announce(change)));
    }

    /// Starts an upstream that is slow for some time.
    fn add_upstream(&mut self, service: usize, cold: Duration) {
        let slots = self.plan.services[service].slots;
        let mut upstream = Upstream::new(slots, self.plan.end, &mut self.random);
        upstream.born_at = self.now;
        upstream.cold_until = self.now + cold;
        self.upstreams.push(upstream);
        self.services.push(service);
        self.announce_upstream(self.upstreams.len() - 1, cold);
    }

    /// Submits a configuration to a control.
    fn submit(&mut self, routes: usize) {
        self.version += 1;
        let number = self.version;
        let document = document(number, routes);
        let version = Version::new(number, compact_str::format_compact!("{number}"), &document);
        let ticket = 1_000_000 + number;
        self.submitted.insert(ticket, (number, self.now));
        let control = self.random.random_range(0..CONTROLS);
        self.input(control, Input::Submit(ticket, version));
    }

    fn step(&mut self, step: usize) {
        match self.plan.steps[step].1.clone() {
            Step::Cut { entries, upstreams, until } => {
                let entries = entries.into_iter().map(|entry| entry + CONTROLS).collect();
                let upstreams = upstreams.into_iter().collect();
                self.cuts.push(Cut { entries, from: self.now, until, upstreams });
            }
            Step::Add { service, count, cold } => {
                (0..count).for_each(|_| self.add_upstream(service, cold));
            }
            Step::Fail { service, share, fault, loss, until } => {
                let outage = Outage { fault, from: self.now, share: loss, until };
                let of_service = self.services.iter().zip(&mut self.upstreams);
                for (_, upstream) in of_service.filter(|(of, _)| **of == service) {
                    if self.random.random_bool(share) {
                        upstream.fail(outage);
                    }
                }
            }
            Step::Crash(upstream) => self.die(upstream, None),
            Step::Fatal(fatal) => self.call_fatal(fatal),
            Step::Isolate { entries, until } => {
                self.isolated = (entries.into_iter().map(|it| it + CONTROLS).collect(), until);
            }
            Step::KillControl { control, down } => {
                if self.processes[control].is_some() {
                    self.end(control, self.epochs[control], down);
                }
            }
            Step::Reset(upstream) => drop(self.break_connections(upstream)),
            Step::Fill(wait) => {
                self.links.iter_mut().skip(CONTROLS).for_each(|(down, _)| down.wait = wait);
            }
            Step::Hold { service, share, until } => {
                self.hold = Some(Hold { service, share, until });
            }
            Step::Kill { entry, down } => {
                let process = entry + CONTROLS;
                if self.processes[process].is_some() {
                    self.end(process, self.epochs[process], down);
                }
            }
            Step::Stop { entry, down } => {
                let process = entry + CONTROLS;
                if self.processes[process].is_some() && self.leaving.insert(process) {
                    self.input(process, Input::Drain);
                    let epoch = self.epochs[process];
                    self.at(self.now + GRACE, Event::End(process, epoch, down));
                }
            }
            Step::Submit { routes, follows } => {
                if follows && self.submitted.len() > self.acknowledged.len() {
                    self.waiting.push(routes);
                } else {
                    self.submit(routes);
                }
            }
        }
    }

    /// Ends a process; what it has in flight is lost.
    fn end(&mut self, process: usize, epoch: u32, down: Duration) {
        if self.epochs[process] != epoch || self.processes[process].take().is_none() {
            return;
        }
        self.epochs[process] += 1;
        self.starts[process].push((self.now, false));
        let now = self.now;
        let lost = self.requests.iter_mut().rev().take(1_000);
        let lost = lost.filter(|request| request.entry == process && request.ended.is_none());
        lost.for_each(|request| request.ended = Some((now, false)));
        self.at(self.now + down, Event::Start(process));
    }

    fn input(&mut self, process: usize, input: Input) {
        let now = self.now;
        let Some(running) = &mut self.processes[process] else { return };
        let outputs = running.handle(now, input);
        let number = running.view.number;
        let epoch = self.epochs[process];
        if let Some(number) = number
            && self.in_force[process].last().is_none_or(|it| (it.1, it.2) != (epoch, number))
        {
            self.in_force[process].push((now, epoch, number));
        }
        self.carry_out(process, outputs);
        self.schedule(process);
    }

    fn schedule(&mut self, process: usize) {
        let Some(running) = &mut self.processes[process] else { return };
        let due = running.core.next_at(self.now).max(self.now + Duration::from_millis(1));
        if due < running.wake_at {
            running.wake_at = due;
            self.at(due, Event::Wake(process, self.epochs[process]));
        }
    }

    fn wake(&mut self, process: usize, epoch: u32) {
        let now = self.now;
        let Some(running) = &mut self.processes[process] else { return };
        if self.epochs[process] != epoch
            || (running.wake_at > now && running.wake_at != Moment::MAX)
        {
            return;
        }
        running.wake_at = Moment::MAX;
        self.input(process, Input::Tick);
    }

    fn carry_out(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, _, frame) => self.send(from, &to, frame),
                Output::Verdict(ticket, verdict) => self.acknowledge(ticket, &verdict),
                _ => (),
            }
        }
    }

    fn send(&mut self, from: usize, to: &NodeId, frame: Frame) {
        let Some(to) = self.ids.iter().position(|id| id == to) else { return };
        let (isolated, until) = &self.isolated;
        if self.now < *until && (isolated.contains(&from) || isolated.contains(&to)) {
            return;
        }
        let bytes = Envelope { frame, stamp: Stamp::default() }.encode().expect("encoded");
        let is_lost = self.loss > 0.0 && self.random.random_bool(self.loss);
        let arrives_at = match (Self::is_control(from), Self::is_control(to)) {
            (true, false) => self.links[to].0.send(self.now, bytes.len(), is_lost),
            (false, true) => self.links[from].1.send(self.now, bytes.len(), is_lost),
            _ => self.now,
        };
        self.at(arrives_at + LATENCY, Event::Frame(from, to, bytes));
    }

    fn acknowledge(&mut self, ticket: u64, verdict: &Verdict) {
        let Some((number, submitted_at)) = self.submitted.get(&ticket).copied() else { return };
        if !matches!(verdict, Verdict::Accepted(_) | Verdict::AlreadyAccepted(_)) {
            return;
        }
        self.acknowledged.push(Acknowledged { at: self.now, number, submitted_at });
        if let Some(routes) = self.waiting.pop() {
            self.submit(routes);
        }
    }

    /// Positions of the entries that callers are told of.
    fn listed(&self) -> Vec<usize> {
        let control = self.processes[..CONTROLS].iter().flatten().next();
        let entries = control.map(|control| &control.view.entries);
        let position = |id: &NodeId| self.ids.iter().position(|other| other == id);
        entries
            .map(|it| it.iter().filter_map(|one| position(&one.id)).collect())
            .unwrap_or_default()
    }

    /// A caller sends a request.
    fn call(&mut self, service: usize) {
        let now = self.now;
        let gap = -self.random.random::<f64>().max(1e-9).ln() / self.plan.services[service].rate;
        self.at(now + Duration::from_secs_f64(gap), Event::Call(service));
        let is_idempotent = self.random.random_bool(self.plan.services[service].idempotent);
        let fingerprint = if self.plan.has_fatal { self.draw_fingerprint() } else { 1_000 };
        self.request(service, is_idempotent, fingerprint);
    }

    fn request(&mut self, service: usize, is_idempotent: bool, fingerprint: Fingerprint) {
        let now = self.now;
        let listed = self.listed();
        if self.listings.last().is_none_or(|(_, last)| *last != listed) {
            self.listings.push((now, listed.clone()));
        }
        let identity = self.identity(fingerprint);
        let processes = &self.processes;
        let accepts = |entry: usize| {
            processes[entry].as_ref().is_some_and(|running| running.view.rules.is_some())
        };
        let entry = self.callers.choose(now, &mut self.random, &listed, accepts);
        self.requests.push(Request {
            arrivals: 0,
            avoid: Vec::new(),
            copies: retry::Copies::default(),
            ended: entry.is_none().then_some((now, false)),
            entry: entry.unwrap_or_default(),
            fingerprint,
            identity,
            held: 0,
            hops: 0,
            is_idempotent,
            sent_at: now,
            service,
            tries: 0,
        });
        if entry.is_some() {
            self.attempt(self.requests.len() - 1);
        }
    }

    fn lose(&mut self, request: usize) {
        self.requests[request].ended = Some((self.now, false));
    }

    /// Sends a request to an upstream, or passes it on where the path to them is lost.
    fn attempt(&mut self, number: usize) {
        let now = self.now;
        let request = self.requests[number].clone();
        if self.is_refused(number) {
            return self.lose(number);
        }
        let service = self.plan.services[request.service].name.into();
        let Some(running) = &mut self.processes[request.entry] else { return self.lose(number) };
        if running.monitor.is_lost(&service) {
            let view = &running.view;
            let peer = running.peers.choose(now, &service, view.peers.iter().cloned());
            let peer = peer.and_then(|peer| self.ids.iter().position(|id| *id == peer.id));
            let Some(peer) = peer.filter(|_| request.hops < MAX_HOPS) else {
                return self.lose(number);
            };
            let request = &mut self.requests[number];
            request.entry = peer;
            request.hops += 1;
            return self.attempt(number);
        }
        let Some(seen) = running.view.services.get(&service).cloned() else {
            return self.lose(number);
        };
        let Some(selector) = running.selector(now, &service) else { return self.lose(number) };
        let is_first = request.tries == 0;
        let trial =
            is_first.then(|| selector.pick_trial(now, &seen, request.is_idempotent)).flatten();
        let is_trial = trial.is_some();
        let avoid: Vec<_> = request.avoid.iter().map(|it| upstream_name(*it)).collect();
        let is_repeatable = request.is_idempotent;
        let asked = balance::Request { avoid: &avoid, is_repeatable, is_long: false };
        let pick = trial.or_else(|| selector.pick(now, &asked));
        let pick = pick.or_else(|| selector.pick(now, &balance::Request::default()));
        let Some(pick) = pick else { return self.lose(number) };
        if is_first {
            running.policy(now, &service).record_first(now - request.sent_at);
        }
        self.requests[number].tries += 1;
        self.requests[number].copies.send(pick.upstream.clone());
        let upstream = upstream_number(&pick.upstream);
        let entry = request.entry;
        self.attempts.push(Attempt {
            entry,
            epoch: self.epochs[entry],
            is_over: false,
            request: number,
            started: now,
            ticket: pick.ticket,
            is_trial,
            upstream,
        });
        let attempt = self.attempts.len() - 1;
        if is_trial {
            self.input(entry, Input::TrialBegan(service, pick.upstream));
        }
        if self.is_away(upstream) {
            self.at(now + 2 * LATENCY, Event::Finish(attempt, Kind::ConnectFailed));
        } else if self.is_cut(entry, upstream) {
            self.at(now + CONNECT_TIMEOUT, Event::Finish(attempt, Kind::ConnectFailed));
        } else if let Some(until) = self.held_until(number) {
            self.requests[number].held += 1;
            self.at(until, Event::Late(attempt));
            self.at(now + PATIENCE, Event::Finish(attempt, Kind::Silent));
        } else {
            self.at(now + 2 * LATENCY, Event::Arrive(attempt));
        }
    }

    /// When a copy of a request arrives that is held up on its way.
    fn held_until(&mut self, request: usize) -> Option<Moment> {
        let Hold { service, share, until } = self.hold?;
        let is_open = self.now < until && service == self.requests[request].service;
        (is_open && self.random.random_bool(share)).then_some(until)
    }

    /// A copy arrives that its entry has given up.
    fn arrive_late(&mut self, number: usize) {
        let Attempt { request, upstream, .. } = self.attempts[number];
        self.requests[request].held -= 1;
        self.upstreams[upstream].arrivals.push(self.now);
        self.count_arrival(request);
    }

    fn count_arrival(&mut self, request: usize) {
        let now = self.now;
        let request = &mut self.requests[request];
        request.arrivals += 1;
        if request.arrivals > 1 {
            self.again.push((now, request.service));
        }
    }

    fn is_cut(&self, entry: usize, upstream: usize) -> bool {
        self.was_cut(entry, upstream, self.now, self.now + Duration::from_nanos(1))
    }

    /// Whether an entry could not reach an upstream at some time in a span.
    pub(super) fn was_cut(&self, entry: usize, upstream: usize, from: Moment, to: Moment) -> bool {
        let mut cuts = self.cuts.iter().filter(|cut| cut.from < to && from < cut.until);
        cuts.any(|cut| cut.entries.contains(&entry) && cut.upstreams.contains(&upstream))
    }

    fn arrive(&mut self, number: usize) {
        let now = self.now;
        let Attempt { entry, epoch, request, started, upstream, .. } = self.attempts[number];
        if self.is_away(upstream) {
            return self.at(now + LATENCY, Event::Finish(number, Kind::ConnectFailed));
        }
        self.count_arrival(request);
        self.note_arrival(number);
        if self.epochs[entry] == epoch {
            self.record_attempt(entry, started, &self.check(upstream), true);
        }
        match self.upstreams[upstream].take(now, number, &mut self.random) {
            Taken::Failed(Fault::Cuts) => self.at(now + LATENCY, Event::Finish(number, Kind::Cut)),
            Taken::Failed(Fault::Hangs) => {
                self.at(started + DEADLINE, Event::Finish(number, Kind::Silent));
            }
            Taken::Refused => self.at(now + LATENCY, Event::Finish(number, Kind::Refused)),
            Taken::Started => self.work(number),
            Taken::Queued => (),
        }
    }

    fn work(&mut self, attempt: usize) {
        let service = self.services[self.attempts[attempt].upstream];
        let mean = self.plan.services[service].work;
        let is_cold = self.now < self.upstreams[self.attempts[attempt].upstream].cold_until;
        let factor = if self.random.random_bool(SLOW_SHARE) { SLOW_FACTOR } else { 1.0 };
        let factor = if is_cold { COLD_FACTOR * factor } else { factor };
        let time = mean.mul_f64(factor * self.random.random_range(0.5..1.5));
        self.at(self.now + time, Event::Done(attempt));
    }

    fn done(&mut self, number: usize) {
        let now = self.now;
        let Attempt { started, upstream, .. } = self.attempts[number];
        let is_there = self.in_flight.get(&upstream).is_some_and(|all| all.contains(&number));
        if !is_there {
            return;
        }
        if let Some(next) = self.upstreams[upstream].free() {
            self.work(next);
        }
        let kind = if now < started + DEADLINE { Kind::Success } else { Kind::Silent };
        self.at(now + LATENCY, Event::Finish(number, kind));
    }

    /// An attempt ends at its entry.
    fn finish(&mut self, number: usize, kind: Kind) {
        let now = self.now;
        let Attempt { entry, epoch, is_over, is_trial, request, started, ticket, upstream } =
            self.attempts[number].clone();
        self.attempts[number].is_over = true;
        if let Some(in_flight) = self.in_flight.get_mut(&upstream) {
            in_flight.remove(&number);
        }
        if is_over || self.epochs[entry] != epoch {
            return;
        }
        let check = self.check(upstream);
        let latency = now.saturating_sub(started);
        let Some(running) = &mut self.processes[entry] else { return };
        if let Some(selector) = running.selector(now, &check.service) {
            selector.finish(now, ticket, balance::Completion { kind, latency, report: None });
        }
        if kind == Kind::ConnectFailed {
            self.record_attempt(entry, started, &check, false);
        }
        let policy_service = check.service.clone();
        let Check { service, upstream: name } = check;
        self.observe(entry, Observation { is_trial, kind, latency, service, upstream: name });
        self.requests[request].avoid.push(upstream);
        if kind != Kind::Silent {
            self.requests[request].copies.arrive(&upstream_name(upstream));
        }
        if !matches!(kind, Kind::Silent | Kind::ConnectFailed) {
            let Some(running) = &mut self.processes[entry] else { return };
            running.policy(now, &policy_service).record_sign(&upstream_name(upstream), started);
        }
        let outcome = match kind {
            Kind::Success => {
                self.note_answer(request);
                self.settle(request, entry, &policy_service);
                return self.requests[request].ended = Some((now, true));
            }
            Kind::ConnectFailed => retry::Outcome::ConnectFailed,
            Kind::Refused => retry::Outcome::RefusedNotRun,
            Kind::Cut => retry::Outcome::Cut,
            _ => retry::Outcome::Deadline,
        };
        let Request { arrivals, held, is_idempotent, sent_at, tries, .. } = self.requests[request];
        let sends = arrivals + held;
        let failed = retry::Attempt {
            body_kept: true,
            head_sent: false,
            idempotent: is_idempotent,
            limit: MAX_TRIES as u32,
            outcome,
            remaining: (sent_at + DEADLINE).saturating_sub(now),
            sends: sends as u32,
            sent: kind != Kind::ConnectFailed,
            tries: tries as u32,
        };
        let limit = if self.allows_retry(request) { MAX_TRIES } else { 0 };
        let failed = retry::Attempt { limit: limit as u32, ..failed };
        let Some(running) = &mut self.processes[entry] else { return };
        let is_unreached = sends == 0 && running.monitor.is_lost(&policy_service);
        let policy = running.policy(now, &policy_service);
        if is_unreached {
            policy.withdraw_first();
            self.requests[request].tries = 0;
            self.attempt(request);
            return;
        }
        let decision = policy.decide(&failed);
        let payment = policy.take_payment();
        let copies = &mut self.requests[request].copies;
        payment.into_iter().for_each(|payment| copies.add_payment(payment));
        if matches!(decision, Decision::Again { .. }) {
            self.attempt(request);
        } else {
            self.settle(request, entry, &policy_service);
            self.lose(request);
        }
    }

    /// Settles the payments for copies of a request that can't arrive any more.
    fn settle(&mut self, request: usize, entry: usize, service: &ServiceId) {
        let now = self.now;
        let Some(running) = &mut self.processes[entry] else { return };
        let policy = running.policy(now, service);
        let settled = self.requests[request].copies.settled();
        settled.iter().for_each(|payment| policy.settle(*payment));
        let open = self.requests[request].copies.open();
        open.for_each(|(payment, silent)| policy.hold(payment, silent));
    }

    fn check(&self, upstream: usize) -> Check {
        let service = self.plan.services[self.services[upstream]].name.into();
        Check { service, upstream: upstream_name(upstream) }
    }

    fn observe(&mut self, entry: usize, observation: Observation) {
        let now = self.now;
        let Some(running) = &mut self.processes[entry] else { return };
        let evidence = running.monitor.judge(now, observation);
        evidence.into_iter().for_each(|one| self.record(entry, one));
    }

    fn record(&mut self, entry: usize, observation: Observation) {
        let Observation { is_trial, kind, latency, service, upstream } = observation;
        let input = match is_trial {
            false => Input::Outcome(service, upstream, kind, latency),
            true => Input::TrialOutcome(service, upstream, kind, latency),
        };
        self.input(entry, input);
    }

    /// Records whether an entry opened a connection.
    fn record_attempt(&mut self, entry: usize, started: Moment, check: &Check, is_open: bool) {
        let now = self.now;
        let Some(running) = &mut self.processes[entry] else { return };
        let Some(seen) = running.view.services.get(&check.service).cloned() else { return };
        let upstreams = reach::Upstreams { members: &seen.members, health: seen.as_ref() };
        if is_open {
            let released = running.monitor.record_opened(now, started, check, upstreams);
            released.into_iter().for_each(|one| self.record(entry, one));
        } else {
            running.monitor.record_failed(now, started, check, upstreams);
        }
    }

    /// An entry looks for overdue requests, checks paths in doubt and reports what changed.
    fn sweep(&mut self, process: usize, epoch: u32) {
        if self.epochs[process] != epoch {
            return;
        }
        let now = self.now;
        self.at(now + SWEEP, Event::Sweep(process, epoch));
        let Some(running) = &mut self.processes[process] else { return };
        let services = running.view.services.clone();
        running.monitor.set_asked(&running.view.asked.clone());
        let upstreams = |name: &_| {
            let seen = services.get(name)?;
            Some(reach::Upstreams { members: &seen.members, health: seen.as_ref() })
        };
        let checks = running.monitor.checks(now, upstreams);
        let mut inputs: Vec<Input> =
            running.monitor.report(now).map(Input::Reach).into_iter().collect();
        for name in services.keys() {
            let overdue = running.selector(now, name).map(|it| it.overdue(now)).unwrap_or_default();
            if !overdue.is_empty() {
                running.monitor.suspect(now, name);
            }
            for (upstream, mut ages) in overdue {
                ages.retain(|age| !running.monitor.excuses(now, name, *age));
                inputs.push(Input::Overdue(name.clone(), upstream, ages));
            }
        }
        let is_mine =
            |request: &&Request| request.entry == process && request.sent_at + SWEEP > now;
        let arrivals = self.requests.iter().rev().take(50).filter(is_mine).count();
        if arrivals > 0 {
            inputs.push(Input::Throughput(arrivals as u32, 0));
        }
        for check in checks {
            let is_open = !self.is_cut(process, upstream_number(&check.upstream));
            let takes = if is_open { 2 * LATENCY } else { CONNECT_TIMEOUT };
            let checked = Event::Checked { check, epoch, is_open, process, started: now };
            self.at(now + takes, checked);
        }
        inputs.into_iter().for_each(|input| self.input(process, input));
    }
}

/// A configuration with this many routes beside the one that all requests match.
fn document(number: ConfigNumber, routes: usize) -> String {
    let mut document = String::from("services:\n");
    for service in ["desk", "archive"] {
        let _ = writeln!(document, "  {service}: {{floor: 50%}}");
    }
    document.push_str("rules:\n");
    for at in 0..routes {
        let name = (at as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 28;
        let _ = writeln!(
            document,
            "  - {{name: r-{name:09x}, when: {{path: /{name:x}/*}}, then: {{route: {{service: desk}}}}}}"
        );
    }
    let _ = writeln!(
        document,
        "  - {{name: all-{number}, when: {{path: /*}}, then: {{route: {{service: desk}}}}}}"
    );
    document
}
