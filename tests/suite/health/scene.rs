//! A few judges in virtual time, told outcomes at a steady rate.

use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::health::Input;
use hemlockfield::health::Judge;
use hemlockfield::health::Kind;
use hemlockfield::health::Output;
use hemlockfield::health::Setup;
use hemlockfield::id::UpstreamId;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Usual latency of a new upstream.
pub(crate) const USUAL: Duration = Duration::from_millis(25);

/// What an upstream does to a request: of which entry, which upstream, when.
pub(crate) type Acting<'a> = &'a dyn Fn(usize, usize, Moment) -> Act;

pub(crate) struct Scene {
    pub(crate) judges: Vec<Judge>,
    pub(crate) now: Moment,
    pub(crate) outputs: Vec<(Moment, usize, Output)>,
    random: ChaCha8Rng,
    upstreams: usize,
}

impl Scene {
    pub(crate) fn new(entries: usize, upstreams: usize, setup: &Setup, seed: u64) -> Self {
        let judge = |entry: usize| {
            let random = ChaCha8Rng::seed_from_u64(seed + entry as u64);
            let mut judge = Judge::new(format!("e{entry}").into(), setup.clone(), random);
            for upstream in 0..upstreams {
                judge.handle(Moment::ZERO, member(upstream));
            }
            judge
        };
        Self {
            judges: (0..entries).map(judge).collect(),
            now: Moment::ZERO,
            outputs: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(!seed),
            upstreams,
        }
    }

    /// Runs on until `until`: each tick, each upstream that an entry gives work
    /// gets a request with a chance of `rate` a second.
    pub(crate) fn run(&mut self, until: Moment, rate: f64, acting: Acting<'_>) {
        while self.now < until {
            self.now += Setup::TICK;
            for entry in 0..self.judges.len() {
                self.step(entry, rate, acting);
            }
            self.share();
        }
    }

    /// Ejections of an upstream, by any entry.
    pub(crate) fn ejections(&self, upstream: usize) -> Vec<(Moment, usize)> {
        let name = name(upstream);
        let is_it =
            |output: &Output| matches!(output, Output::Eject { upstream, .. } if *upstream == name);
        let ejections = self.outputs.iter().filter(|(_, _, output)| is_it(output));
        ejections.map(|(at, entry, _)| (*at, *entry)).collect()
    }

    fn step(&mut self, entry: usize, rate: f64, acting: Acting<'_>) {
        for position in 0..self.upstreams {
            let upstream = name(position);
            let weight = self.judges[entry].weight(&upstream);
            let chance = (rate * weight * Setup::TICK.as_secs_f64()).min(1.0);
            if !self.random.random_bool(chance) {
                continue;
            }
            let spread = self.random.random_range(0.7..1.4);
            let act = acting(entry, position, self.now);
            let outcome =
                Input::Outcome { kind: act.kind, latency: act.latency.mul_f64(spread), upstream };
            self.judges[entry].handle(self.now, outcome);
        }
        let outputs = self.judges[entry].handle(self.now, Input::Tick);
        self.outputs.extend(outputs.into_iter().map(|output| (self.now, entry, output)));
    }

    fn share(&mut self) {
        let fresh = self.outputs.iter().rev().take_while(|(at, ..)| *at == self.now);
        let digests: Vec<_> = fresh
            .filter_map(|(.., output)| match output {
                Output::Share(digest) => Some(digest.clone()),
                _ => None,
            })
            .collect();
        for digest in digests {
            for judge in &mut self.judges {
                judge.handle(self.now, Input::Digest(digest.clone()));
            }
        }
    }
}

/// How a request ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Act {
    pub(crate) kind: Kind,
    pub(crate) latency: Duration,
}

impl Act {
    pub(crate) const SOUND: Self = Self { kind: Kind::Success, latency: USUAL };

    pub(crate) fn failing(kind: Kind) -> Self {
        Self { kind, latency: USUAL }
    }

    pub(crate) fn slow(times: u32) -> Self {
        Self { kind: Kind::Success, latency: USUAL * times }
    }
}

pub(crate) fn member(upstream: usize) -> Input {
    Input::Member { domain: "dubrava".into(), slots: 4, upstream: name(upstream) }
}

pub(crate) fn name(upstream: usize) -> UpstreamId {
    format!("u{upstream:02}").into()
}

pub(crate) fn setup(sensitivity: f64) -> Setup {
    Setup { floor_count: 2, floor_share: 0.5, sensitivity }
}

pub(crate) fn seconds(count: u64) -> Moment {
    Duration::from_secs(count)
}
