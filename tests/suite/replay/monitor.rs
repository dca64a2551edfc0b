//! Traces of a health monitor with eight upstreams that each get ten requests per second. Some
//! of them fail after 30 s; they get requests in proportion to the weight that the monitor gives
//! them.

use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::health::Config;
use hemlockfield::health::Input;
use hemlockfield::health::Kind;
use hemlockfield::health::Monitor;
use hemlockfield::health::Status;
use hemlockfield::id::UpstreamId;
use hemlockfield::replay;
use hemlockfield::replay::Expect;
use hemlockfield::replay::Line;
use hemlockfield::replay::Machine;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use super::gate::count;
use super::gate::expect;
use super::gate::micros;
use super::gate::millis;

const SEED: u64 = 23;
const UPSTREAMS: usize = 8;
/// Time at which upstreams start to fail, in milliseconds.
const FAILURE_START_MS: u64 = 30_000;
/// Maximum time until ejection at the highest sensitivity.
const SENSITIVE_DETECTION_MS: u64 = 1_500;
/// Maximum time until ejection at the lowest sensitivity.
const CAREFUL_DETECTION_MS: u64 = 5_000;

/// Builds a trace and feeds a monitor with the same inputs.
struct Scenario {
    monitor: Monitor,
    lines: Vec<Line>,
    random: ChaCha8Rng,
    /// First time, interval and last time in milliseconds, and the input.
    repeats: Vec<(u64, u64, u64, Input)>,
    now_ms: u64,
}

impl Scenario {
    fn new(sensitivity: f64, floor_share: f64) -> Self {
        let setup = Config { floor_count: 2, floor_share, sensitivity };
        let random = ChaCha8Rng::seed_from_u64(SEED);
        let monitor = Monitor::new("e00".into(), setup.clone(), random.clone());
        let machine = Some(Machine::Judge { name: "e00".into(), seed: SEED, setup });
        let lines = vec![Line { machine, ..Line::default() }];
        let mut scenario = Self { monitor, lines, random, repeats: Vec::new(), now_ms: 0 };
        for upstream in 0..UPSTREAMS {
            let upstream = name(upstream);
            scenario.send(0, Input::Member { domain: "dubrava".into(), slots: 6, upstream });
        }
        scenario
    }

    /// Adds ticks until `end` and, for each upstream in `of`, successes from one time until
    /// another, with latencies multiplied by a factor.
    fn add_successes(mut self, end: u64, of: &[(usize, u64, u64, u64)]) -> Self {
        for (upstream, from, until, factor) in of {
            for (latency, every) in [(18, 290), (25, 310), (34, 330)] {
                let first = from + 17 * *upstream as u64 + latency;
                let input = outcome(*upstream, Kind::Success, millis(latency * factor));
                self.repeat(first, every, *until, input);
            }
        }
        self.repeat(100, 100, end, Input::Tick);
        self.lines.sort_by_key(|line| line.at_us);
        self
    }

    fn repeat(&mut self, at: u64, every: u64, until: u64, input: Input) {
        let input_line = Some(replay::Input::Judge(input.clone()));
        let line = Line { at_us: micros(at), input: input_line, ..Line::default() };
        let (every_us, until_us) = (Some(micros(every)), Some(micros(until)));
        self.lines.push(Line { every_us, until_us, ..line });
        self.repeats.push((at, every, until, input));
    }

    fn advance(&mut self, to: u64) {
        while self.now_ms <= to {
            for (at, every, until, input) in &self.repeats {
                let passed = self.now_ms.checked_sub(*at);
                if passed.is_some_and(|passed| passed % every == 0) && self.now_ms <= *until {
                    self.monitor.handle(millis(self.now_ms), input.clone());
                }
            }
            self.now_ms += 1;
        }
    }

    fn send(&mut self, at: u64, input: Input) {
        self.monitor.handle(millis(at), input.clone());
        let input = Some(replay::Input::Judge(input));
        self.lines.push(Line { at_us: micros(at), input, ..Line::default() });
    }

    /// Adds outcomes of one upstream: ten requests per second, each sent with the probability of
    /// its weight.
    fn add_outcomes(&mut self, upstream: usize, from: u64, until: u64, kind: Kind, latency: u64) {
        for at in (from..until).step_by(100) {
            let at = at + 50;
            self.advance(at);
            let weight = self.monitor.weight(&name(upstream));
            if self.random.random_bool(weight) {
                self.send(at, outcome(upstream, kind, millis(latency)));
            }
        }
    }

    /// Adds `expects`, and that all upstreams but those in `failing` are never ejected.
    fn finish(mut self, end: u64, failing: &[usize], expects: Vec<Line>) -> Vec<Line> {
        self.lines.extend(expects);
        for upstream in (0..UPSTREAMS).filter(|upstream| !failing.contains(upstream)) {
            let like = json!({"judge": {"Eject": {"upstream": name(upstream)}}});
            self.lines.push(expect(end, count(0, like, None, Some(0)), "a sound one stays"));
        }
        self.lines.sort_by_key(|line| line.at_us);
        self.lines
    }
}

/// Names and lines of the traces.
pub(super) fn traces() -> Vec<(&'static str, Vec<Line>)> {
    vec![
        ("cut", failing(1.0, SENSITIVE_DETECTION_MS, Kind::Cut, 25, false)),
        ("errors", failing(1.0, SENSITIVE_DETECTION_MS, Kind::ServerError, 25, false)),
        ("flapping", flapping()),
        ("floor", floor()),
        ("own_report", failing(0.0, CAREFUL_DETECTION_MS, Kind::ServerError, 25, true)),
        ("recovered", recovered()),
        ("silent", silent()),
        ("slow", failing(1.0, SENSITIVE_DETECTION_MS, Kind::Success, 250, false)),
        ("slow_but_sound", slow_but_sound()),
    ]
}

/// One upstream fails; `report` adds reports of its own that claim it is healthy.
fn failing(sensitivity: f64, within: u64, kind: Kind, latency: u64, report: bool) -> Vec<Line> {
    let end = FAILURE_START_MS + within + 500;
    let mut scenario = Scenario::new(sensitivity, 0.5);
    if report {
        let input = Input::Report { healthy: true, upstream: name(3) };
        scenario.repeat(500, 1000, end, input);
    }
    let mut scenario = scenario.add_successes(end, &until_failure(end, &[3]));
    scenario.add_outcomes(3, FAILURE_START_MS, end, kind, latency);
    let why = "callers are moved off it in the time aimed at";
    scenario.finish(
        end,
        &[3],
        vec![expect(FAILURE_START_MS + within, has_status(3, &[Status::Ejected]), why)],
    )
}

/// An upstream stops responding. Requests time out after 1 s; the age of pending requests must
/// count as evidence before that.
fn silent() -> Vec<Line> {
    let end = FAILURE_START_MS + SENSITIVE_DETECTION_MS + 500;
    let mut scenario = Scenario::new(1.0, 0.5).add_successes(end, &until_failure(end, &[3]));
    for step in 1..=(SENSITIVE_DETECTION_MS / 100) {
        let at = FAILURE_START_MS + step * 100;
        scenario.advance(at - 1);
        let ages = (1..=step.min(10)).map(|age| millis(age * 100)).collect();
        scenario.send(at - 1, Input::Pending { ages, upstream: name(3) });
        if step >= 10 {
            scenario.send(at - 1, outcome(3, Kind::Silent, millis(1000)));
        }
    }
    let why = "callers are moved off it in the time aimed at";
    scenario.finish(
        end,
        &[3],
        vec![expect(
            FAILURE_START_MS + SENSITIVE_DETECTION_MS,
            has_status(3, &[Status::Ejected]),
            why,
        )],
    )
}

/// An upstream alternates between 3 s of errors and 3 s of successes.
fn flapping() -> Vec<Line> {
    let end = FAILURE_START_MS + 18_000;
    let mut scenario = Scenario::new(1.0, 0.5).add_successes(end, &until_failure(end, &[3]));
    let mut expects = Vec::new();
    for cycle in 0..3 {
        let from = FAILURE_START_MS + cycle * 6_000;
        scenario.add_outcomes(3, from, from + 3_000, Kind::ServerError, 25);
        scenario.add_outcomes(3, from + 3_000, from + 6_000, Kind::Success, 25);
        let allowed = has_status(3, &[Status::Ejected, Status::Trial]);
        expects.push(expect(
            from + SENSITIVE_DETECTION_MS,
            allowed,
            "each bad turn finds callers moved off",
        ));
    }
    scenario.finish(end, &[3], expects)
}

/// Three of eight upstreams fail one after the other with a floor of 75%. Then a sound one
/// leaves, and six of the remaining seven must stay in service.
fn floor() -> Vec<Line> {
    let end = FAILURE_START_MS + 8_000;
    let failing = [1, 2, 3];
    let leaves = FAILURE_START_MS + 6_000;
    let mut scenario = Scenario::new(1.0, 0.75).add_successes(end, &until_failure(end, &failing));
    for at in (FAILURE_START_MS..end).step_by(200) {
        scenario.advance(at + 50);
        for upstream in failing {
            let failure_start = FAILURE_START_MS + upstream as u64 * 500;
            let kind = if at < failure_start { Kind::Success } else { Kind::ServerError };
            if scenario.monitor.weight(&name(upstream)) > 0.3 {
                scenario.send(at + 50, outcome(upstream, kind, millis(25)));
            }
        }
        if at == leaves {
            scenario.send(at + 50, Input::Gone { upstream: name(7) });
        }
    }
    let at = (FAILURE_START_MS..end).step_by(500).skip(1).chain([leaves + 50]);
    let why = "healthy capacity never falls below the floor";
    let mut expects: Vec<Line> =
        at.map(|at| expect(at, Expect::InService { least: 6 }, why)).collect();
    let like = json!({"judge": {"Eject": {}}});
    let why = "as many are left as the floor allows";
    expects.push(expect(leaves - 1, count(0, like, Some(2), None), why));
    scenario.finish(end, &failing, expects)
}

/// An upstream fails for 3 s and recovers; it must be readmitted.
fn recovered() -> Vec<Line> {
    let end = FAILURE_START_MS + 30_000;
    let mut scenario = Scenario::new(1.0, 0.5).add_successes(end, &until_failure(end, &[3]));
    scenario.add_outcomes(3, FAILURE_START_MS, FAILURE_START_MS + 3_000, Kind::ServerError, 25);
    scenario.add_outcomes(3, FAILURE_START_MS + 3_000, end, Kind::Success, 25);
    let expects = vec![
        expect(
            FAILURE_START_MS + SENSITIVE_DETECTION_MS,
            has_status(3, &[Status::Ejected]),
            "callers are moved off it",
        ),
        expect(end, has_status(3, &[Status::Sound]), "it serves again in half a minute"),
    ];
    scenario.finish(end, &[3], expects)
}

/// One upstream is always four times slower than the others, pauses at times, and slows down
/// together with all others. It must not be ejected.
fn slow_but_sound() -> Vec<Line> {
    let end = 90_000;
    let mut of = vec![(0, 0, 45_000, 4), (0, 45_000, end, 8)];
    for upstream in 1..UPSTREAMS {
        of.extend([(upstream, 0, 45_000, 1), (upstream, 45_000, end, 2)]);
    }
    let mut scenario = Scenario::new(0.0, 0.5).add_successes(end, &of);
    for pause in [20_000, 40_000, 60_000, 80_000] {
        let ages = vec![millis(350), millis(250), millis(150)];
        scenario.send(pause, Input::Pending { ages, upstream: name(0) });
        scenario.send(pause + 99, Input::Pending { ages: Vec::new(), upstream: name(0) });
        scenario.send(pause + 99, outcome(0, Kind::Success, millis(420)));
    }
    let why = "its capacity can't be replaced";
    let expects = (20..=90).step_by(10);
    let all_in = Expect::InService { least: UPSTREAMS };
    let expects = expects.map(|at| expect(at * 1000, all_in.clone(), why)).collect();
    scenario.finish(end, &[], expects)
}

/// All upstreams as sound from 0 until `end`, those in `failing` until they start to fail.
fn until_failure(end: u64, failing: &[usize]) -> Vec<(usize, u64, u64, u64)> {
    let until = |upstream: &usize| if failing.contains(upstream) { FAILURE_START_MS } else { end };
    (0..UPSTREAMS).map(|upstream| (upstream, 0, until(&upstream), 1)).collect()
}

fn has_status(upstream: usize, is: &[Status]) -> Expect {
    Expect::Verdict { is: is.to_vec(), upstream: name(upstream) }
}

fn name(upstream: usize) -> UpstreamId {
    format!("u{upstream:02}").into()
}

pub(super) fn outcome(upstream: usize, kind: Kind, latency: Duration) -> Input {
    Input::Outcome { kind, latency, upstream: name(upstream) }
}

/// Inputs that lead to the ejection of an upstream, with their times.
pub(super) fn ejection_inputs() -> Vec<(Moment, Input)> {
    let lines = failing(1.0, SENSITIVE_DETECTION_MS, Kind::Cut, 25, false);
    let inputs = lines.into_iter().filter_map(|line| match line.input {
        Some(replay::Input::Judge(input)) => Some((line.at_us.0, input)),
        _ => None,
    });
    inputs.collect()
}
