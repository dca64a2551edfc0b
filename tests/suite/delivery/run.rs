//! Seeded runs, and many of them by hand.

use std::time::Duration;

use rstest::rstest;

use super::check::violations;
use super::server::Manners;
use super::stage::Faults;
use super::world::Plan;

const NO_FAULTS: Faults =
    Faults { cuts: false, kills: false, refusals: false, stops: false, terms: false };
const PLAIN: Manners = Manners { early: 0.0, faulty: 0.0, slow: 0.0 };
const MIXED: Manners = Manners { early: 0.1, faulty: 0.1, slow: 0.2 };
const SPAN: Duration = Duration::from_secs(4);
/// Contradictions that are printed; the rest is counted.
const MAX_PRINTED: usize = 20;

fn plan(name: &str) -> Plan {
    let faults = NO_FAULTS;
    match name {
        "calm" => Plan { faults, leaves: 0.0, manners: PLAIN },
        "early" => Plan { faults, leaves: 0.0, manners: MIXED },
        "refused" => {
            Plan { faults: Faults { refusals: true, ..faults }, leaves: 0.0, manners: PLAIN }
        }
        "leaving" => Plan { faults, leaves: 0.3, manners: PLAIN },
        "stopped" => Plan { faults: Faults { stops: true, ..faults }, leaves: 0.1, manners: PLAIN },
        "cut" => Plan { faults: Faults { cuts: true, ..faults }, leaves: 0.1, manners: MIXED },
        "killed" => Plan { faults: Faults { kills: true, ..faults }, leaves: 0.0, manners: PLAIN },
        _ => {
            let faults =
                Faults { cuts: false, kills: true, refusals: true, stops: true, terms: true };
            Plan { faults, leaves: 0.2, manners: MIXED }
        }
    }
}

/// Plays a plan and returns its contradictions.
fn play(name: &str, seed: u64, span: Duration) -> Vec<String> {
    let record = plan(name).play(seed, span);
    let found = violations(&record);
    let served = |sent: &&super::caller::Sent| {
        sent.answer.as_ref().is_some_and(|answer| answer.status == 200)
    };
    assert!(record.passed_on > 0 || !record.plan.faults.cuts, "no request was passed on");
    println!(
        "{name} seed {seed}: {} sent, {} passed on, {} served, {} runs, {} of them whole, {} contradictions",
        record.sent.len(),
        record.passed_on,
        record.sent.iter().filter(served).count(),
        record.runs.len(),
        record.runs.iter().filter(|run| run.is_whole).count(),
        found.len()
    );
    found.iter().take(MAX_PRINTED).for_each(|text| println!("  {text}"));
    found
}

// What an upstream runs is what a caller sent, or it is visibly not whole.
#[rstest]
#[case::calm("calm", 1)]
#[case::refused("refused", 1)]
#[case::early("early", 1)]
#[case::leaving("leaving", 1)]
#[case::stopped("stopped", 1)]
#[case::killed("killed", 1)]
#[case::all("all", 1)]
#[case::cut("cut", 1)]
fn play_sent_and_run(#[case] name: &str, #[case] seed: u64) {
    assert_eq!(play(name, seed, SPAN), Vec::<String>::new());
}

#[test]
#[ignore = "long; by hand: DELIVERY_SEEDS=FIRST..LAST, DELIVERY_PLAN=NAME, DELIVERY_SECONDS=N"]
fn play_many_seeds() {
    let variable = |name: &str, default: &str| std::env::var(name).unwrap_or(default.to_owned());
    let seeds = variable("DELIVERY_SEEDS", "1..50");
    let (first, last) = seeds.split_once("..").unwrap();
    let span = Duration::from_secs(variable("DELIVERY_SECONDS", "5").parse().unwrap());
    let name = variable("DELIVERY_PLAN", "all");
    let seeds = first.parse::<u64>().unwrap()..=last.parse().unwrap();
    let red: Vec<u64> = seeds.filter(|seed| !play(&name, *seed, span).is_empty()).collect();
    assert_eq!(red, Vec::<u64>::new());
}
