use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::balance::Report;
use crate::clock::Moment;
use crate::health::Config;
use crate::health::Kind;
use crate::model::Agent;
use crate::model::Answer;
use crate::model::Gray;
use crate::model::Outcome;
use crate::model::Plan;
use crate::model::Upstream;
use crate::model::event::Due;
use crate::model::event::Event;
use crate::model::request::Request;

/// One run of a plan.
pub struct World<'a> {
    agents: Vec<Box<dyn Agent + 'a>>,
    due: BinaryHeap<Due>,
    /// Connections opened, by entry and upstream.
    opened: Vec<u32>,
    order: u64,
    outcome: Outcome,
    paused_until: Vec<Moment>,
    plan: Plan,
    random: ChaCha8Rng,
    requests: Vec<Request>,
    seen: Moment,
    upstreams: Vec<Upstream>,
    used: Vec<u32>,
    wasted: f64,
}

impl<'a> World<'a> {
    /// A run of `plan` with one agent for each entry.
    #[must_use]
    pub fn new(plan: Plan, agents: Vec<Box<dyn Agent + 'a>>, seed: u64) -> Self {
        let pairs = plan.entries * plan.upstreams;
        let upstream = Upstream::new(plan.slots as usize, plan.queue);
        Self {
            agents,
            due: BinaryHeap::new(),
            opened: vec![0; pairs],
            order: 0,
            outcome: Outcome { started: vec![0; plan.upstreams], ..Outcome::default() },
            paused_until: vec![Moment::ZERO; plan.upstreams],
            random: ChaCha8Rng::seed_from_u64(seed),
            requests: Vec::new(),
            seen: Moment::ZERO,
            upstreams: vec![upstream; plan.upstreams],
            used: vec![0; pairs],
            wasted: 0.0,
            plan,
        }
    }

    /// Runs to the end.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        self.at(Moment::ZERO, Event::Ask);
        self.at(Config::TICK, Event::Tick);
        while let Some(due) = self.due.pop() {
            if due.at > self.plan.length {
                break;
            }
            self.measure(due.at);
            self.step(due.at, due.event);
        }
        self.close()
    }

    fn step(&mut self, now: Moment, event: Event) {
        match event {
            Event::Answer(request) => self.answer(now, request),
            Event::Ask => self.ask(now),
            Event::Done(request) => self.done(now, request),
            Event::GiveUp(request) => self.give_up(now, request),
            Event::Reach(request) => self.reach(now, request),
            Event::Tick => self.tick(now),
        }
    }

    fn at(&mut self, at: Moment, event: Event) {
        self.order += 1;
        self.due.push(Due { at, event, order: self.order });
    }

    fn ask(&mut self, now: Moment) {
        let gap = self.exponential(1.0 / self.plan.rate);
        self.at(now + gap, Event::Ask);
        let entry = self.random.random_range(0..self.plan.entries);
        self.requests.push(Request::new(now, entry));
        self.send(now, self.requests.len() - 1);
    }

    /// Sends a request to the upstream that its entry picks.
    fn send(&mut self, now: Moment, request: usize) {
        let at = &mut self.requests[request];
        let Some(choice) = self.agents[at.entry].pick(now, &at.tried) else {
            at.is_over = true;
            self.outcome.refused += 1;
            return;
        };
        at.choice = choice;
        at.sent_at = now;
        at.tried.push(choice.upstream);
        let pair = at.entry * self.plan.upstreams + choice.upstream;
        self.used[pair] += 1;
        let is_new = self.used[pair] > self.opened[pair];
        self.opened[pair] = self.opened[pair].max(self.used[pair]);
        let hop = self.plan.hop_between(at.entry, choice.upstream);
        let connect = if is_new { hop * 2 } else { Duration::ZERO };
        self.at(now + connect + hop, Event::Reach(request));
        self.at(now + self.plan.timeout, Event::GiveUp(request));
    }

    fn reach(&mut self, now: Moment, request: usize) {
        let upstream = self.requests[request].choice.upstream;
        if matches!(self.gray(now, upstream), Some(Gray::NoConnection)) {
            return self.reply(now, request, Kind::ConnectFailed);
        }
        if let Some(Gray::Silent(share)) = self.gray(now, upstream)
            && self.random.random_bool(share)
        {
            return;
        }
        if self.upstreams[upstream].is_full() {
            return self.reply(now, request, Kind::Refused);
        }
        if self.upstreams[upstream].take(request) {
            self.start(now, request);
        }
    }

    fn start(&mut self, now: Moment, request: usize) {
        let upstream = self.requests[request].choice.upstream;
        self.outcome.started[upstream] += 1;
        let work = self.work(now, upstream);
        let resumed = self.paused_until[upstream].max(now);
        self.at(resumed + work, Event::Done(request));
    }

    /// Time of work: lognormal around the mean.
    fn work(&mut self, now: Moment, upstream: usize) -> Duration {
        let spread = self.plan.spread;
        let first = self.random.random_range(f64::EPSILON..1.0).ln() * -2.0;
        let normal = first.sqrt() * (self.random.random_range(0.0..std::f64::consts::TAU)).cos();
        let factor = (spread * normal - spread * spread / 2.0).exp();
        let slow = match self.gray(now, upstream) {
            Some(Gray::Slow(times)) => times,
            _ => 1.0,
        };
        self.plan.service.mul_f64(factor * slow * self.plan.slowness(upstream))
    }

    fn done(&mut self, now: Moment, request: usize) {
        let upstream = self.requests[request].choice.upstream;
        let entry = self.requests[request].entry;
        let kind = self.kind(now, upstream);
        if let Some(next) = self.upstreams[upstream].end() {
            self.start(now, next);
        }
        match self.gray(now, upstream) {
            Some(Gray::OneWay(deaf)) if entry < deaf => {}
            _ => self.reply(now, request, kind),
        }
    }

    fn kind(&mut self, now: Moment, upstream: usize) -> Kind {
        let chance = self.random.random_range(0.0..1.0);
        match self.gray(now, upstream) {
            Some(Gray::Cut(share)) if chance < share => Kind::Cut,
            Some(Gray::Errors(share)) if chance < share => Kind::ServerError,
            Some(Gray::Flapping(_)) => Kind::ServerError,
            _ if chance < self.plan.errors => Kind::ServerError,
            _ => Kind::Success,
        }
    }

    fn reply(&mut self, now: Moment, request: usize, kind: Kind) {
        let upstream = self.requests[request].choice.upstream;
        self.requests[request].kind = kind;
        self.requests[request].load = self.upstreams[upstream].in_flight() as u32;
        let hop = self.plan.hop_between(self.requests[request].entry, upstream);
        self.at(now + hop, Event::Answer(request));
    }

    fn answer(&mut self, now: Moment, request: usize) {
        if self.requests[request].is_over {
            return;
        }
        let kind = self.requests[request].kind;
        self.finish(now, request, kind);
        let is_spent = self.requests[request].tried.len() > self.plan.retries;
        match kind {
            Kind::Success => {
                self.requests[request].is_over = true;
                self.outcome.latencies.push(now - self.requests[request].asked_at);
            }
            Kind::Refused if !is_spent => self.send(now, request),
            Kind::Refused => {
                self.requests[request].is_over = true;
                self.outcome.refused += 1;
            }
            _ => {
                self.requests[request].is_over = true;
                self.outcome.failed += 1;
            }
        }
    }

    fn give_up(&mut self, now: Moment, request: usize) {
        let at = &self.requests[request];
        if at.is_over || now < at.sent_at + self.plan.timeout {
            return;
        }
        self.requests[request].is_over = true;
        self.finish(now, request, Kind::Silent);
        self.outcome.failed += 1;
    }

    fn finish(&mut self, now: Moment, request: usize, kind: Kind) {
        let at = &self.requests[request];
        self.used[at.entry * self.plan.upstreams + at.choice.upstream] -= 1;
        let report = (kind != Kind::Silent).then_some(Report { in_flight: at.load });
        let answer = Answer { kind, latency: now - at.sent_at, report };
        self.agents[at.entry].finish(now, at.choice, &answer);
    }

    fn tick(&mut self, now: Moment) {
        self.at(now + Config::TICK, Event::Tick);
        let ticks = self.agents.iter_mut().flat_map(|agent| agent.tick(now));
        let digests: Vec<_> = ticks.collect();
        for (to, digest) in &digests {
            for (entry, agent) in self.agents.iter_mut().enumerate() {
                if to.is_none_or(|to| to == entry) {
                    agent.hear(now, digest);
                }
            }
        }
        let chance = Config::TICK.as_secs_f64() / self.plan.pause_each.as_secs_f64();
        for paused in &mut self.paused_until {
            if self.random.random_bool(chance.min(1.0)) {
                *paused = now + Plan::PAUSE;
            }
        }
    }

    fn gray(&self, now: Moment, upstream: usize) -> Option<Gray> {
        let faults = self.plan.faults.iter();
        let mut on = faults.filter(|fault| fault.upstream == upstream && fault.is_on(now));
        on.next().map(|fault| fault.gray)
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let chance: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-chance.ln() * mean)
    }

    fn measure(&mut self, now: Moment) {
        let passed = (now - self.seen).as_secs_f64();
        let idle: usize = self.upstreams.iter().map(Upstream::idle).sum();
        let queued: usize = self.upstreams.iter().map(Upstream::queued).sum();
        self.wasted += passed * idle.min(queued) as f64;
        self.seen = now;
    }

    fn close(mut self) -> Outcome {
        self.outcome.latencies.sort_unstable();
        self.outcome.wasted = self.wasted / self.plan.length.as_secs_f64();
        for upstream in 0..self.plan.upstreams {
            let pairs = self.opened.iter().skip(upstream).step_by(self.plan.upstreams);
            self.outcome.connections = self.outcome.connections.max(pairs.sum());
        }
        self.outcome
    }
}
