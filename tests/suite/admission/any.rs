//! Invariants of a gate under arbitrary inputs.

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
    // A fixed seed, so that every run checks the same cases.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Each request is run once, refused once or cancelled; no more run than there are slots; each
    /// request is decided by its deadline; and the same inputs give the same outputs.
    #[test]
    fn handle_any(
        steps in proptest::collection::vec((0_u8..6, 0_u64..40, 0_u64..200), 1..200),
        slots in 1_usize..6,
        seed in 0_u64..1000,
    ) {
        let mut gate = gate(seed, Some(slots));
        let mut copy = gate.clone();
        let mut now = Duration::ZERO;
        let mut waiting = BTreeMap::new();
        let mut running = BTreeSet::new();
        let mut decided = BTreeSet::new();
        for (ticket, (action, pick, pause)) in steps.into_iter().enumerate() {
            let ticket = ticket as u64;
            let until = now + millis(pause);
            let mut inputs = Vec::new();
            while let Some(wake) = gate.wake().filter(|wake| *wake > now && *wake <= until) {
                now = wake;
                let outputs = gate.handle(now, Input::Tick);
                prop_assert_eq!(&outputs, &copy.handle(now, Input::Tick));
                check(&outputs, now, &mut waiting, &mut running, &mut decided);
            }
            now = until;
            match action {
                0..=2 => {
                    let deadline = now + millis(pick * 20);
                    waiting.insert(ticket, deadline);
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
                    let cancel = waiting.keys().nth(pick as usize % waiting.len().max(1)).copied();
                    if let Some(cancel) = cancel.filter(|cancel| !running.contains(cancel)) {
                        waiting.remove(&cancel);
                        inputs.push(Input::Cancel { ticket: cancel });
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
                prop_assert_eq!(&outputs, &copy.handle(now, input));
                check(&outputs, now, &mut waiting, &mut running, &mut decided);
            }
            prop_assert!(running.len() <= slots && gate.running() == running.len());
            prop_assert!(waiting.values().all(|end| *end >= now), "undecided at its deadline");
            prop_assert_eq!(gate.waiting(), waiting.len());
        }
    }
}

/// Checks `outputs` and moves the decided requests out of `waiting`.
fn check(
    outputs: &[Output],
    now: Duration,
    waiting: &mut BTreeMap<u64, Duration>,
    running: &mut BTreeSet<u64>,
    decided: &mut BTreeSet<u64>,
) {
    for output in outputs {
        let (Output::Run { ticket } | Output::Refuse { ticket, .. }) = output;
        assert!(decided.insert(*ticket), "{ticket} was decided twice");
        let end = waiting.remove(ticket).expect("a decided request was waiting");
        match output {
            Output::Run { .. } => assert!(end > now && running.insert(*ticket)),
            Output::Refuse { retry_after, .. } => {
                assert!(*retry_after >= millis(500) && *retry_after <= millis(45_000));
            }
        }
    }
}
