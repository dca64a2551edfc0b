//! Simulation of a few monitors in virtual time, which get outcomes at a steady rate.

use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::health::Config;
use hemlockfield::health::Input;
use hemlockfield::health::Kind;
use hemlockfield::health::Monitor;
use hemlockfield::health::Output;
use hemlockfield::id::UpstreamId;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Usual latency of an upstream.
pub(crate) const USUAL_LATENCY: Duration = Duration::from_millis(25);

/// Determines the outcome of a request by its entry, its upstream and the time.
pub(crate) type Model<'a> = &'a dyn Fn(usize, usize, Moment) -> Outcome;

pub(crate) struct Simulation {
    pub(crate) monitors: Vec<Monitor>,
    pub(crate) now: Moment,
    pub(crate) outputs: Vec<(Moment, usize, Output)>,
    random: ChaCha8Rng,
    upstreams: usize,
}

impl Simulation {
    pub(crate) fn new(entries: usize, upstreams: usize, config: &Config, seed: u64) -> Self {
        let monitor = |entry: usize| {
            let random = ChaCha8Rng::seed_from_u64(seed + entry as u64);
            let mut monitor = Monitor::new(format!("e{entry}").into(), config.clone(), random);
            for upstream in 0..upstreams {
                monitor.handle(Moment::ZERO, member(upstream));
            }
            monitor
        };
        Self {
            monitors: (0..entries).map(monitor).collect(),
            now: Moment::ZERO,
            outputs: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(!seed),
            upstreams,
        }
    }

    /// Runs until `until`. Each entry sends each upstream `rate` requests a second on
    /// average, times the upstream's weight.
    pub(crate) fn run(&mut self, until: Moment, rate: f64, model: Model<'_>) {
        while self.now < until {
            self.now += Config::TICK;
            for entry in 0..self.monitors.len() {
                self.tick(entry, rate, model);
            }
            self.exchange_digests();
        }
    }

    /// Time and entry of each ejection of an upstream.
    pub(crate) fn ejections(&self, upstream: usize) -> Vec<(Moment, usize)> {
        let name = upstream_name(upstream);
        let is_ejection =
            |output: &Output| matches!(output, Output::Eject { upstream, .. } if *upstream == name);
        let ejections = self.outputs.iter().filter(|(_, _, output)| is_ejection(output));
        ejections.map(|(at, entry, _)| (*at, *entry)).collect()
    }

    fn tick(&mut self, entry: usize, rate: f64, model: Model<'_>) {
        for position in 0..self.upstreams {
            let upstream = upstream_name(position);
            let weight = self.monitors[entry].weight(&upstream);
            let chance = (rate * weight * Config::TICK.as_secs_f64()).min(1.0);
            if !self.random.random_bool(chance) {
                continue;
            }
            let spread = self.random.random_range(0.7..1.4);
            let outcome = model(entry, position, self.now);
            let input = Input::Outcome {
                kind: outcome.kind,
                latency: outcome.latency.mul_f64(spread),
                upstream,
            };
            self.monitors[entry].handle(self.now, input);
        }
        let outputs = self.monitors[entry].handle(self.now, Input::Tick);
        self.outputs.extend(outputs.into_iter().map(|output| (self.now, entry, output)));
    }

    fn exchange_digests(&mut self) {
        let recent = self.outputs.iter().rev().take_while(|(at, ..)| *at == self.now);
        let digests: Vec<_> = recent
            .filter_map(|(.., output)| match output {
                Output::Share(digest) => Some(digest.clone()),
                _ => None,
            })
            .collect();
        for digest in digests {
            for monitor in &mut self.monitors {
                monitor.handle(self.now, Input::Digest(digest.clone()));
            }
        }
    }
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) kind: Kind,
    pub(crate) latency: Duration,
}

impl Outcome {
    pub(crate) const SOUND: Self = Self { kind: Kind::Success, latency: USUAL_LATENCY };

    pub(crate) fn failing(kind: Kind) -> Self {
        Self { kind, latency: USUAL_LATENCY }
    }

    pub(crate) fn slow(factor: u32) -> Self {
        Self { kind: Kind::Success, latency: USUAL_LATENCY * factor }
    }
}

pub(crate) fn member(upstream: usize) -> Input {
    Input::Member { domain: "dubrava".into(), slots: 4, upstream: upstream_name(upstream) }
}

pub(crate) fn upstream_name(upstream: usize) -> UpstreamId {
    format!("u{upstream:02}").into()
}

pub(crate) fn config(sensitivity: f64) -> Config {
    Config { floor_count: 2, floor_share: 0.5, sensitivity }
}

pub(crate) fn seconds(count: u64) -> Moment {
    Duration::from_secs(count)
}
