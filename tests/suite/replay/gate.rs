//! Traces of an admission gate with two slots. Requests take 25 ms on average, so the capacity
//! is 80 requests per second.

use std::time::Duration;

use hemlockfield::admission::Gate;
use hemlockfield::admission::Job;
use hemlockfield::admission::Output;
use hemlockfield::admission::Pattern;
use hemlockfield::admission::Queue;
use hemlockfield::admission::Simulation;
use hemlockfield::clock::Moment;
use hemlockfield::replay::Expect;
use hemlockfield::replay::Input;
use hemlockfield::replay::Line;
use hemlockfield::replay::Machine;
use hemlockfield::replay::Micros;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

const SEED: u64 = 11;
const SLOTS: usize = 2;

/// A gate with its inputs as trace lines and its outputs.
pub(super) struct RecordedGate {
    pub(super) gate: Gate,
    pub(super) lines: Vec<Line>,
    pub(super) outputs: Vec<(Moment, Output)>,
}

impl RecordedGate {
    pub(super) fn new() -> Self {
        let classes = Pattern::classes();
        let gate = Gate::new(&classes, ChaCha8Rng::seed_from_u64(SEED), Moment::ZERO);
        let machine = Some(Machine::Gate { classes, seed: SEED });
        let mut gate =
            Self { gate, lines: vec![Line { machine, ..Line::default() }], outputs: Vec::new() };
        let slots = Some(SLOTS);
        gate.handle(Moment::ZERO, hemlockfield::admission::Input::Capacity { slots });
        gate
    }
}

impl Queue for RecordedGate {
    fn handle(&mut self, now: Moment, input: hemlockfield::admission::Input) -> Vec<Output> {
        let line = Line { at_us: Micros(now), ..Line::default() };
        self.lines.push(Line { input: Some(Input::Gate(input.clone())), ..line });
        let outputs = self.gate.handle(now, input);
        self.outputs.extend(outputs.iter().map(|output| (now, output.clone())));
        outputs
    }

    fn wake(&self) -> Option<Moment> {
        self.gate.wake()
    }
}

/// Names and lines of the traces.
pub(super) fn traces() -> Vec<(&'static str, Vec<Line>)> {
    vec![("burst", burst()), ("hot_caller", hot_caller()), ("overload", overload())]
}

pub(super) fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(super) fn micros(millis: u64) -> Micros {
    Micros(self::millis(millis))
}

pub(super) fn expect(at: u64, expect: Expect, why: &str) -> Line {
    Line { at_us: micros(at), expect: Some(expect), why: why.into(), ..Line::default() }
}

pub(super) fn count(
    since: u64,
    like: serde_json::Value,
    least: Option<usize>,
    most: Option<usize>,
) -> Expect {
    Expect::Count { least, like, most, since_us: micros(since) }
}

/// 100 requests at once on top of a light load. Only 40 can finish before their deadline of
/// 500 ms.
fn burst() -> Vec<Line> {
    let mut simulation = light_load();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    simulation.jobs.extend((0..100).map(|_| lookup(&mut rng, millis(1000))));
    let refuse = json!({"gate": {"Refuse": {}}});
    let run = json!({"gate": {"Run": {}}});
    let expects = [
        expect(1000, count(1000, refuse, Some(50), None), "who can't be served hears at once"),
        expect(1500, count(1000, run, Some(38), None), "95% of what fits is served"),
        expect(1600, decided(0, 500), "nobody waits past the deadline unanswered"),
        expect(2600, started(&[], 1600, 100, 1.0), "the burst leaves no queue behind"),
    ];
    lines(&simulation, expects)
}

/// One caller sends requests at twice the capacity.
fn hot_caller() -> Vec<Line> {
    let mut simulation = light_load();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let hot = |rng: &mut ChaCha8Rng, at| Job { caller: "hot".into(), ..lookup(rng, at) };
    simulation.add_arrivals(&mut rng, 160.0, millis(500), millis(2000), &hot);
    let run = json!({"gate": {"Run": {}}});
    let expects = [
        expect(2000, count(500, run, Some(114), None), "95% of the capacity is used"),
        expect(2200, started(&["hot"], 0, 200, 0.95), "the others don't pay for one caller"),
        expect(2600, Expect::Waiting { most: 2 }, "nothing stands when it is over"),
    ];
    lines(&simulation, expects)
}

/// Load of three times the capacity for one second, of half the capacity before and after.
fn overload() -> Vec<Line> {
    let mut simulation = Simulation { slots: SLOTS, ..Simulation::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    simulation.add_arrivals(&mut rng, 40.0, Moment::ZERO, millis(3500), &lookup);
    simulation.add_arrivals(&mut rng, 200.0, millis(500), millis(1500), &lookup);
    let run = json!({"gate": {"Run": {}}});
    let expects = [
        expect(1500, count(500, run, Some(76), None), "goodput is 95% of the capacity"),
        expect(1500, Expect::Running { most: SLOTS + 1 }, "upstreams get what they have slots for"),
        expect(2100, decided(0, 500), "nobody waits past the deadline unanswered"),
        expect(2500, Expect::Waiting { most: 1 }, "no queue a second after the load"),
        expect(3500, started(&[], 2500, 100, 0.95), "callers are served as before"),
    ];
    lines(&simulation, expects)
}

/// Simulation with a light load of 10 requests per second.
fn light_load() -> Simulation {
    let mut simulation = Simulation { slots: SLOTS, ..Simulation::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(!SEED);
    simulation.add_arrivals(&mut rng, 10.0, Moment::ZERO, millis(2600), &lookup);
    simulation
}

fn lookup(rng: &mut ChaCha8Rng, at: Moment) -> Job {
    Job {
        at: Duration::from_micros(at.as_micros() as u64),
        caller: format!("caller-{}", rng.random_range(0..40)).into(),
        class: "lookup".into(),
        key: None,
        long: false,
        timeout: millis(500),
        service_time: Duration::from_micros(rng.random_range(12_500..37_500)),
    }
}

fn decided(since: u64, within: u64) -> Expect {
    Expect::Decided { since_us: micros(since), within_us: micros(within) }
}

fn started(other_than: &[&str], since: u64, within: u64, least_share: f64) -> Expect {
    Expect::Started {
        callers: Vec::new(),
        least_share,
        other_than: other_than.iter().map(|caller| (*caller).into()).collect(),
        since_us: micros(since),
        within_us: micros(within),
    }
}

/// Trace of a simulation with expectations, each after the inputs of the same time.
fn lines(simulation: &Simulation, expects: impl IntoIterator<Item = Line>) -> Vec<Line> {
    let mut gate = RecordedGate::new();
    simulation.run(&mut gate);
    gate.lines.extend(expects);
    gate.lines.sort_by_key(|line| line.at_us);
    gate.lines
}
