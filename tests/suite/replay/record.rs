//! Recordings of machines that the tests drive.

use std::path::Path;
use std::time::Duration;

use hemlockfield::admission::Pattern;
use hemlockfield::clock::Moment;
use hemlockfield::health;
use hemlockfield::health::Monitor;
use hemlockfield::replay::Input;
use hemlockfield::replay::Line;
use hemlockfield::replay::Machine;
use hemlockfield::replay::MachineRecorder;
use hemlockfield::replay::Output;
use hemlockfield::replay::Policy;
use hemlockfield::replay::Recorder;
use hemlockfield::replay::Report;
use hemlockfield::replay::Retry;
use hemlockfield::replay::Trace;
use hemlockfield::settings::Record;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::gate::RecordedGate;
use super::monitor;
use super::policy::attempt;

const LIMIT_BYTES: u64 = 1 << 26;

fn recorder(path: &Path, limit: u64) -> Recorder {
    Recorder::open(Some(&Record { file: path.into(), limit })).expect("recorder")
}

fn outputs_of(report: &Report, name: &str) -> Vec<(Moment, Output)> {
    let outputs = report.outputs.iter().filter(|placed| placed.of == name);
    outputs.map(|placed| (placed.at, placed.output.clone())).collect()
}

// Two threads use a policy, and the one that read the clock first gets there last. Its input must not
// lie before the other's, or the recording can't be replayed.
#[test]
fn record_policy_overtaken() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("entry.jsonl");
    let recorder = recorder(&path, LIMIT_BYTES);
    let mut policy = Policy::new(1, MachineRecorder::new(&recorder, "policy/shop".into()));
    for millis in [2, 1] {
        policy.advance(Duration::from_millis(millis));
        policy.record_first(Duration::ZERO);
    }
    drop((policy, recorder));
    assert_eq!(Trace::read(&path).expect("trace").run().lost, 0);
}

#[test]
fn record_all() {
    // A replayed recording must give the same outputs of gate, monitor and policy, including
    // jitter and times in nanoseconds, although the file holds several machines.
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("entry.jsonl");
    let recorder = recorder(&path, LIMIT_BYTES);
    let mut recorded = RecordedGate::new();
    let mut simulation = Pattern::Burst.simulation(3);
    simulation.jobs.truncate(120);
    simulation.run(&mut recorded);
    let gate = MachineRecorder::new(&recorder, "gate/shop".into());
    for line in &recorded.lines {
        line.machine
            .iter()
            .for_each(|machine| gate.record_machine(line.at_us.0, || machine.clone()));
        line.input.iter().for_each(|input| gate.record_input(line.at_us.0, || input.clone()));
    }
    let monitor_outputs = run_monitor(&MachineRecorder::new(&recorder, "judge/shop".into()));
    let policy_outputs = run_policy(MachineRecorder::new(&recorder, "policy/shop".into()));
    drop((gate, recorder));
    let report = Trace::read(&path).expect("trace").run();
    let gate_outputs = recorded.outputs.into_iter().map(|(at, output)| (at, Output::Gate(output)));
    assert_eq!(outputs_of(&report, "gate/shop"), gate_outputs.collect::<Vec<_>>());
    assert_eq!(outputs_of(&report, "judge/shop"), monitor_outputs);
    assert_eq!(outputs_of(&report, "policy/shop"), policy_outputs);
    assert!(!monitor_outputs.is_empty() && report.lost == 0);
}

fn run_monitor(machine_recorder: &MachineRecorder) -> Vec<(Moment, Output)> {
    let (seed, setup) = (9, health::Config::default());
    let mut monitor = Monitor::new("e00".into(), setup.clone(), ChaCha8Rng::seed_from_u64(seed));
    machine_recorder.record_machine(Moment::ZERO, || Machine::Judge {
        name: "e00".into(),
        seed,
        setup,
    });
    let mut outputs = Vec::new();
    for (at, input) in monitor::ejection_inputs() {
        let at = at + Duration::from_nanos(7);
        for input in [input, health::Input::Tick] {
            machine_recorder.record_input(at, || Input::Judge(input.clone()));
            let handled = monitor.handle(at, input).into_iter();
            outputs.extend(handled.map(|output| (at, Output::Judge(output))));
        }
    }
    outputs
}

fn run_policy(machine_recorder: MachineRecorder) -> Vec<(Moment, Output)> {
    let mut policy = Policy::new(4, machine_recorder);
    let mut outputs = Vec::new();
    for tries in (1..=3).cycle().take(90) {
        policy.record_first(Duration::ZERO);
        policy.record_latency(Duration::from_nanos(25_000_001));
        let decision = policy.decide(&hemlockfield::retry::Attempt { tries, ..attempt() });
        outputs.push((Moment::ZERO, Output::Policy(decision)));
        let hedge = policy.try_hedge(Duration::from_secs(1));
        outputs.push((Moment::ZERO, Output::Hedge(hedge)));
        if hedge {
            policy.record_hedge(tries == 1);
        }
    }
    outputs
}

#[test]
fn record_full_queue() {
    // Requests must not wait for a slow disk. Lines that don't fit the queue are dropped and
    // counted in the file, so that a replay can report that it may differ.
    const RECORDED: u64 = 40_000;
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("entry.jsonl");
    let recorder = recorder(&path, LIMIT_BYTES);
    let machine_recorder = MachineRecorder::new(&recorder, "policy/shop".into());
    machine_recorder.record_machine(Moment::ZERO, || Machine::Policy { seed: 1 });
    (1..RECORDED)
        .for_each(|_| machine_recorder.record_input(Moment::ZERO, || Input::Policy(Retry::First)));
    drop((machine_recorder, recorder));
    let text = std::fs::read_to_string(&path).expect("file");
    let written: Vec<Line> =
        text.lines().map(|line| serde_json::from_str(line).expect("line")).collect();
    let lost: u64 = written.iter().filter_map(|line| line.lost).sum();
    let complete = written.iter().filter(|line| line.lost.is_none()).count() as u64;
    assert_eq!(complete + lost, RECORDED);
}

#[test]
fn record_limit() {
    // A recording must not fill the disk that also holds the fleet's state: it stops at its
    // limit with a complete line. A crash while writing a line must lose only that line.
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("entry.jsonl");
    for _ in 0..2 {
        let recorder = recorder(&path, 1024);
        let mut policy = Policy::new(4, MachineRecorder::new(&recorder, "policy/shop".into()));
        (0..100).for_each(|_| policy.record_first(Duration::ZERO));
        drop((policy, recorder));
        let length = std::fs::metadata(&path).expect("file").len();
        assert!(length <= 1024 && length > 900, "{length}");
        Trace::read(&path).expect("trace");
        let text = std::fs::read_to_string(&path).expect("file");
        std::fs::write(&path, &text[..text.len() - 5]).expect("file");
    }
}

#[test]
fn record_off() {
    let machine_recorder =
        MachineRecorder::new(&Recorder::open(None).expect("recorder"), "policy/shop".into());
    machine_recorder.record_input(Moment::ZERO, || panic!("recording is off"));
}
