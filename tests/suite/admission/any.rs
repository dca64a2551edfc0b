//! Whatever comes, a gate keeps its promises.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hemlockfield::admission::Arrival;
use hemlockfield::admission::Input;
use hemlockfield::admission::Outcome;
use hemlockfield::admission::Output;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;

use super::gate;
use super::millis;

proptest! {
    // The same cases every run, so that the verdict is the same.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Whatever comes, each request is run once or refused once or cancelled,
    /// never both; no more run than there are slots; a request is decided by
    /// its deadline; and the same inputs give the same outputs.
    #[test]
    fn handle_any(
        steps in proptest::collection::vec((0_u8..6, 0_u64..40, 0_u64..200), 1..200),
        slots in 1_usize..6,
        seed in 0_u64..1000,
    ) {
        let mut gate = gate(seed, Some(slots));
        let mut twin = gate.clone();
        let mut now = Duration::ZERO;
        let mut ends = BTreeMap::new();
        let mut running = BTreeSet::new();
        let mut decided = BTreeSet::new();
        for (ticket, (what, pick, pause)) in steps.into_iter().enumerate() {
            let ticket = ticket as u64;
            let until = now + millis(pause);
            let mut inputs = Vec::new();
            while let Some(wake) = gate.wake().filter(|wake| *wake > now && *wake <= until) {
                now = wake;
                let outputs = gate.handle(now, Input::Tick);
                prop_assert_eq!(&outputs, &twin.handle(now, Input::Tick));
                check(&outputs, now, &mut ends, &mut running, &mut decided);
            }
            now = until;
            match what {
                0..=2 => {
                    let deadline = now + millis(pick * 20);
                    ends.insert(ticket, deadline);
                    inputs.push(Input::Arrive(Arrival {
                        caller: format!("caller-{}", pick % 5).into(),
                        class: if pick % 2 == 0 { "lookup".into() } else { "upload".into() },
                        deadline,
                        key: (pick % 7 == 0).then(|| "hot".into()),
                        long: pick % 3 == 0,
                        ticket,
                    }));
                }
                3 => {
                    let gone = ends.keys().nth(pick as usize % ends.len().max(1)).copied();
                    if let Some(gone) = gone.filter(|gone| !running.contains(gone)) {
                        ends.remove(&gone);
                        inputs.push(Input::Cancel { ticket: gone });
                    }
                }
                _ => {
                    let done = running.iter().nth(pick as usize % running.len().max(1)).copied();
                    if let Some(done) = done {
                        running.remove(&done);
                        let outcome = [Outcome::Served, Outcome::Failed, Outcome::Shed];
                        let outcome = outcome[pick as usize % 3];
                        inputs.push(Input::Finish { outcome, ticket: done });
                    }
                }
            }
            for input in inputs {
                let outputs = gate.handle(now, input.clone());
                prop_assert_eq!(&outputs, &twin.handle(now, input));
                check(&outputs, now, &mut ends, &mut running, &mut decided);
            }
            prop_assert!(running.len() <= slots && gate.running() == running.len());
            prop_assert!(ends.values().all(|end| *end >= now), "undecided at its deadline");
            prop_assert_eq!(gate.waiting(), ends.len());
        }
    }
}

/// Moves what was decided from `ends`, the waiting, to where it belongs.
fn check(
    outputs: &[Output],
    now: Duration,
    ends: &mut BTreeMap<u64, Duration>,
    running: &mut BTreeSet<u64>,
    decided: &mut BTreeSet<u64>,
) {
    for output in outputs {
        let (Output::Run { ticket } | Output::Refuse { ticket, .. }) = output;
        assert!(decided.insert(*ticket), "{ticket} was decided twice");
        let end = ends.remove(ticket).expect("it waits");
        match output {
            Output::Run { .. } => assert!(end > now && running.insert(*ticket)),
            Output::Refuse { retry_after, .. } => {
                assert!(*retry_after >= millis(500) && *retry_after <= millis(45_000));
            }
        }
    }
}
