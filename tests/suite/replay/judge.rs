//! Traces of a judge: eight upstreams at ten requests a second each, one of them gray
//! after a sound half minute. What the gray one gets depends on the judge's weight.

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
/// When the gray one goes gray, in milliseconds.
const START: u64 = 30_000;
/// Most time to detection, in milliseconds: the shop's aim, and the register's.
const FAST: u64 = 1_500;
const CAREFUL: u64 = 5_000;

/// A trace in the making, and a judge that sees it.
struct Scene {
    judge: Monitor,
    lines: Vec<Line>,
    random: ChaCha8Rng,
    repeats: Vec<(u64, u64, u64, Input)>,
    now: u64,
}

impl Scene {
    fn new(sensitivity: f64, floor_share: f64) -> Self {
        let setup = Config { floor_count: 2, floor_share, sensitivity };
        let random = ChaCha8Rng::seed_from_u64(SEED);
        let judge = Monitor::new("e00".into(), setup.clone(), random.clone());
        let machine = Some(Machine::Judge { name: "e00".into(), seed: SEED, setup });
        let lines = vec![Line { machine, ..Line::default() }];
        let mut scene = Self { judge, lines, random, repeats: Vec::new(), now: 0 };
        for upstream in 0..UPSTREAMS {
            let upstream = name(upstream);
            scene.tell(0, Input::Member { domain: "dubrava".into(), slots: 6, upstream });
        }
        scene
    }

    /// Ticks until `end`, and sound answers `times` as long as a new upstream's.
    fn sound(mut self, end: u64, of: &[(usize, u64, u64, u64)]) -> Self {
        for (upstream, from, until, times) in of {
            for (latency, every) in [(18, 290), (25, 310), (34, 330)] {
                let first = from + 17 * *upstream as u64 + latency;
                let input = outcome(*upstream, Kind::Success, millis(latency * times));
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
        while self.now <= to {
            for (at, every, until, input) in &self.repeats {
                let passed = self.now.checked_sub(*at);
                if passed.is_some_and(|passed| passed % every == 0) && self.now <= *until {
                    self.judge.handle(millis(self.now), input.clone());
                }
            }
            self.now += 1;
        }
    }

    fn tell(&mut self, at: u64, input: Input) {
        self.judge.handle(millis(at), input.clone());
        let input = Some(replay::Input::Judge(input));
        self.lines.push(Line { at_us: micros(at), input, ..Line::default() });
    }

    /// Ten requests a second, by its weight, to `upstream` from `from` until `until`.
    fn gray(&mut self, upstream: usize, from: u64, until: u64, kind: Kind, latency: u64) {
        for at in (from..until).step_by(100) {
            let at = at + 50;
            self.advance(at);
            let weight = self.judge.weight(&name(upstream));
            if self.random.random_bool(weight) {
                self.tell(at, outcome(upstream, kind, millis(latency)));
            }
        }
    }

    /// All expectations that hold for everyone but the `gray` ones.
    fn end(mut self, end: u64, gray: &[usize], expects: Vec<Line>) -> Vec<Line> {
        self.lines.extend(expects);
        for upstream in (0..UPSTREAMS).filter(|upstream| !gray.contains(upstream)) {
            let like = json!({"judge": {"Eject": {"upstream": name(upstream)}}});
            self.lines.push(expect(end, count(0, like, None, Some(0)), "a sound one stays"));
        }
        self.lines.sort_by_key(|line| line.at_us);
        self.lines
    }
}

pub(super) fn traces() -> Vec<(&'static str, Vec<Line>)> {
    vec![
        ("cut", gray(1.0, FAST, Kind::Cut, 25, false)),
        ("errors", gray(1.0, FAST, Kind::ServerError, 25, false)),
        ("flapping", flapping()),
        ("floor", floor()),
        ("own_report", gray(0.0, CAREFUL, Kind::ServerError, 25, true)),
        ("recovered", recovered()),
        ("silent", silent()),
        ("slow", gray(1.0, FAST, Kind::Success, 250, false)),
        ("slow_but_sound", slow_but_sound()),
    ]
}

fn gray(sensitivity: f64, within: u64, kind: Kind, latency: u64, report: bool) -> Vec<Line> {
    let end = START + within + 500;
    let mut scene = Scene::new(sensitivity, 0.5);
    if report {
        let input = Input::Report { healthy: true, upstream: name(3) };
        scene.repeat(500, 1000, end, input);
    }
    let mut scene = scene.sound(end, &all(end, &[3]));
    scene.gray(3, START, end, kind, latency);
    let why = "callers are moved off it in the time aimed at";
    scene.end(end, &[3], vec![expect(START + within, is(3, &[Status::Ejected]), why)])
}

/// Nothing comes back: what waits is evidence before the first one gives up after 1 s.
fn silent() -> Vec<Line> {
    let end = START + FAST + 500;
    let mut scene = Scene::new(1.0, 0.5).sound(end, &all(end, &[3]));
    for step in 1..=(FAST / 100) {
        let at = START + step * 100;
        scene.advance(at - 1);
        let ages = (1..=step.min(10)).map(|age| millis(age * 100)).collect();
        scene.tell(at - 1, Input::Pending { ages, upstream: name(3) });
        if step >= 10 {
            scene.tell(at - 1, outcome(3, Kind::Silent, millis(1000)));
        }
    }
    let why = "callers are moved off it in the time aimed at";
    scene.end(end, &[3], vec![expect(START + FAST, is(3, &[Status::Ejected]), why)])
}

/// Three seconds bad and three good by turns.
fn flapping() -> Vec<Line> {
    let end = START + 18_000;
    let mut scene = Scene::new(1.0, 0.5).sound(end, &all(end, &[3]));
    let mut expects = Vec::new();
    for turn in 0..3 {
        let from = START + turn * 6_000;
        scene.gray(3, from, from + 3_000, Kind::ServerError, 25);
        scene.gray(3, from + 3_000, from + 6_000, Kind::Success, 25);
        let off = is(3, &[Status::Ejected, Status::Trial]);
        expects.push(expect(from + FAST, off, "each bad turn finds callers moved off"));
    }
    scene.end(end, &[3], expects)
}

/// Three of eight fail, one after the other, with a floor of three quarters; then a
/// sound one leaves, and six of seven must serve.
fn floor() -> Vec<Line> {
    let end = START + 8_000;
    let bad = [1, 2, 3];
    let leaves = START + 6_000;
    let mut scene = Scene::new(1.0, 0.75).sound(end, &all(end, &bad));
    for at in (START..end).step_by(200) {
        scene.advance(at + 50);
        for upstream in bad {
            let begins = START + upstream as u64 * 500;
            let kind = if at < begins { Kind::Success } else { Kind::ServerError };
            if scene.judge.weight(&name(upstream)) > 0.3 {
                scene.tell(at + 50, outcome(upstream, kind, millis(25)));
            }
        }
        if at == leaves {
            scene.tell(at + 50, Input::Gone { upstream: name(7) });
        }
    }
    let at = (START..end).step_by(500).skip(1).chain([leaves + 50]);
    let why = "healthy capacity never falls below the floor";
    let mut expects: Vec<Line> =
        at.map(|at| expect(at, Expect::InService { least: 6 }, why)).collect();
    let like = json!({"judge": {"Eject": {}}});
    let why = "as many are left as the floor allows";
    expects.push(expect(leaves - 1, count(0, like, Some(2), None), why));
    scene.end(end, &bad, expects)
}

/// Bad for three seconds, then good: its capacity is needed again.
fn recovered() -> Vec<Line> {
    let end = START + 30_000;
    let mut scene = Scene::new(1.0, 0.5).sound(end, &all(end, &[3]));
    scene.gray(3, START, START + 3_000, Kind::ServerError, 25);
    scene.gray(3, START + 3_000, end, Kind::Success, 25);
    let expects = vec![
        expect(START + FAST, is(3, &[Status::Ejected]), "callers are moved off it"),
        expect(end, is(3, &[Status::Sound]), "it serves again in half a minute"),
    ];
    scene.end(end, &[3], expects)
}

/// The old register is four times slower, pauses, and gets slower when all do.
fn slow_but_sound() -> Vec<Line> {
    let end = 90_000;
    let mut of = vec![(0, 0, 45_000, 4), (0, 45_000, end, 8)];
    for upstream in 1..UPSTREAMS {
        of.extend([(upstream, 0, 45_000, 1), (upstream, 45_000, end, 2)]);
    }
    let mut scene = Scene::new(0.0, 0.5).sound(end, &of);
    for pause in [20_000, 40_000, 60_000, 80_000] {
        let ages = vec![millis(350), millis(250), millis(150)];
        scene.tell(pause, Input::Pending { ages, upstream: name(0) });
        scene.tell(pause + 99, Input::Pending { ages: Vec::new(), upstream: name(0) });
        scene.tell(pause + 99, outcome(0, Kind::Success, millis(420)));
    }
    let why = "its capacity can't be replaced";
    let expects = (20..=90).step_by(10);
    let all_in = Expect::InService { least: UPSTREAMS };
    let expects = expects.map(|at| expect(at * 1000, all_in.clone(), why)).collect();
    scene.end(end, &[], expects)
}

/// Sound from the start until the end, the `gray` ones until they start.
fn all(end: u64, gray: &[usize]) -> Vec<(usize, u64, u64, u64)> {
    let until = |upstream: &usize| if gray.contains(upstream) { START } else { end };
    (0..UPSTREAMS).map(|upstream| (upstream, 0, until(&upstream), 1)).collect()
}

fn is(upstream: usize, is: &[Status]) -> Expect {
    Expect::Verdict { is: is.to_vec(), upstream: name(upstream) }
}

fn name(upstream: usize) -> UpstreamId {
    format!("u{upstream:02}").into()
}

pub(super) fn outcome(upstream: usize, kind: Kind, latency: Duration) -> Input {
    Input::Outcome { kind, latency, upstream: name(upstream) }
}

/// Inputs that put an upstream in question, with moments.
pub(super) fn some() -> Vec<(Moment, Input)> {
    let lines = gray(1.0, FAST, Kind::Cut, 25, false);
    let inputs = lines.into_iter().filter_map(|line| match line.input {
        Some(replay::Input::Judge(input)) => Some((line.at_us.0, input)),
        _ => None,
    });
    inputs.collect()
}
