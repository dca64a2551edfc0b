//! Tests of `hemlockfield::retry`.

mod fleet;
mod late;
mod shared;

use std::time::Duration;

use hemlockfield::retry::Answer;
use hemlockfield::retry::Attempt;
use hemlockfield::retry::Decision;
use hemlockfield::retry::Limits;
use hemlockfield::retry::MaxAttempts;
use hemlockfield::retry::Outage;
use hemlockfield::retry::Outcome;
use hemlockfield::retry::Policy;
use hemlockfield::retry::Simulation;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SEEDS: u64 = 10;

fn policy(seed: u64) -> Policy {
    Policy::new(ChaCha8Rng::seed_from_u64(seed))
}

fn attempt(idempotent: bool, sent: bool, outcome: Outcome) -> Attempt {
    Attempt {
        body_kept: true,
        head_sent: false,
        idempotent,
        limit: u32::MAX,
        outcome,
        remaining: Duration::from_secs(5),
        sends: 1,
        sent,
        tries: 1,
    }
}

#[rstest]
#[case(false, false, Outcome::ConnectFailed, None)]
#[case(false, true, Outcome::RefusedNotRun, None)]
#[case(false, true, Outcome::ConnectFailed, Some(Answer::Unknown))]
#[case(false, true, Outcome::Cut, Some(Answer::Unknown))]
#[case(false, true, Outcome::Silent, Some(Answer::Unknown))]
#[case(false, true, Outcome::Deadline, Some(Answer::Unknown))]
#[case(false, false, Outcome::Deadline, Some(Answer::NotRun))]
#[case(false, true, Outcome::Failed { status: 503 }, Some(Answer::Failed))]
#[case(true, true, Outcome::Failed { status: 503 }, None)]
#[case(true, true, Outcome::Failed { status: 501 }, Some(Answer::Failed))]
#[case(true, true, Outcome::Cut, None)]
#[case(true, true, Outcome::Silent, None)]
#[case(true, true, Outcome::Deadline, Some(Answer::Failed))]
fn decide_cases(
    #[case] idempotent: bool,
    #[case] sent: bool,
    #[case] outcome: Outcome,
    #[case] stop: Option<Answer>,
) {
    let decision = policy(1).decide(&attempt(idempotent, sent, outcome));
    match stop {
        Some(answer) => assert_eq!(decision, Decision::Stop { answer }),
        None => assert!(matches!(decision, Decision::Again { .. }), "{decision:?}"),
    }
}

// A body that is gone is gone, also if no byte was sent: the next upstream would run the request
// without it.
#[rstest]
#[case::may_run_once(false)]
#[case::idempotent(true)]
fn decide_body_lost_unsent(#[case] idempotent: bool) {
    let lost = Attempt { body_kept: false, ..attempt(idempotent, false, Outcome::ConnectFailed) };
    assert_eq!(policy(1).decide(&lost), Decision::Stop { answer: Answer::NotRun });
}

#[test]
fn decide_body_not_kept() {
    // A full upstream refused an upload after part of it had streamed through. It can't be sent
    // retried from its start, so the caller is told at once that it was not run.
    let not_kept = Attempt { body_kept: false, ..attempt(false, true, Outcome::RefusedNotRun) };
    assert_eq!(policy(1).decide(&not_kept), Decision::Stop { answer: Answer::NotRun });
}

#[test]
fn decide_no_time_left() {
    // Responses take 100 ms and 50 ms are left: a retry can't finish in time.
    let mut policy = policy(1);
    for _ in 0..64 {
        policy.record_latency(Duration::from_millis(100));
    }
    let remaining = Duration::from_millis(50);
    let short = Attempt { remaining, ..attempt(true, true, Outcome::Cut) };
    assert_eq!(policy.decide(&short), Decision::Stop { answer: Answer::Failed });
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::ConnectFailed),
        Just(Outcome::Cut),
        Just(Outcome::Deadline),
        (500_u16..600).prop_map(|status| Outcome::Failed { status }),
        Just(Outcome::RefusedNotRun),
        Just(Outcome::Silent),
    ]
}

proptest! {
    // A fixed seed, so that every run checks the same cases.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Once a byte may have been sent, a non-idempotent request is neither retried nor reported as
    /// not run, unless the upstream's refusal proves it.
    #[test]
    fn decide_sent_not_repeated(
        outcome in outcome(),
        head_sent in any::<bool>(),
        body_kept in any::<bool>(),
        tries in 1_u32..5,
        seed in any::<u64>(),
    ) {
        let sent = Attempt { body_kept, head_sent, tries, ..attempt(false, true, outcome) };
        let decision = policy(seed).decide(&sent);
        let is_proven = outcome == Outcome::RefusedNotRun && !head_sent;
        if !is_proven {
            let is_complete = matches!(outcome, Outcome::Failed { .. }) && !head_sent;
            let answer = if is_complete { Answer::Failed } else { Answer::Unknown };
            prop_assert_eq!(decision, Decision::Stop { answer });
        }
        if head_sent {
            let stop = matches!(decision, Decision::Stop { .. });
            prop_assert!(stop);
        }
    }
}

#[rstest]
#[case(Outage::Domain, 1.3)]
#[case(Outage::Everything, 2.9)]
#[case(Outage::Silence, 1.3)]
fn decide_outage(#[case] outage: Outage, #[case] fixed_amplification: f64) {
    // A failure domain is lost, or every upstream refuses, and for ten seconds the failed upstreams
    // keep being picked. There are at most 1.1 attempts per request in every second, because
    // retries are paid from a share of the first attempts. Three attempts per request add a third
    // more load, or triple it when every upstream refuses.
    for seed in 0..SEEDS {
        let simulation = Simulation { avoids_failed: false, idempotent: true, outage, seed };
        let budgeted = simulation.run(&|seed| Box::new(policy(seed)));
        assert!(budgeted.worst_amplification <= 1.1, "{budgeted:?}");
        assert_eq!(budgeted.unknown, 0);
        let fixed = simulation.run(&|_| Box::new(MaxAttempts(3)));
        assert!(fixed.amplification() > fixed_amplification, "{fixed:?}");
    }
}

#[test]
fn decide_outage_avoided() {
    // A failure domain is lost while entries avoid upstreams that failed: nearly every caller is
    // answered, and the rest is told that the request was not run.
    for seed in 0..SEEDS {
        let simulation =
            Simulation { avoids_failed: true, idempotent: false, outage: Outage::Domain, seed };
        let budgeted = simulation.run(&|seed| Box::new(policy(seed)));
        assert!(budgeted.worst_amplification <= 1.1, "{budgeted:?}");
        assert!(budgeted.answered * 100 >= budgeted.requests * 98, "{budgeted:?}");
        assert_eq!(budgeted.requests, budgeted.answered + budgeted.not_run);
    }
}

#[test]
fn try_hedge_budget() {
    // Every lookup is late and every hedge wins. Hedges stay within a twentieth of the first
    // attempts plus the two saved tokens, and what they spend is no longer there for a retry after
    // a failure: one budget bounds the load.
    let mut policy = policy(1);
    assert_eq!(policy.hedge_after(), None);
    (0..64).for_each(|_| policy.record_latency(Duration::from_millis(20)));
    assert_eq!(policy.hedge_after(), Some(Duration::from_millis(20)));
    let mut hedges = 0;
    for _ in 0..1000 {
        policy.record_first(Duration::ZERO);
        if policy.try_hedge(Duration::from_secs(5)) {
            policy.record_hedge(true);
            hedges += 1;
        }
    }
    assert!((45..=52).contains(&hedges), "{hedges}");
    while policy.try_hedge(Duration::from_secs(5)) {}
    let failed = attempt(true, true, Outcome::Cut);
    assert_eq!(policy.decide(&failed), Decision::Stop { answer: Answer::Failed });
}

// An entry that has just started gets one lookup per second, and one upstream in three doesn't
// respond. Lookups there time out unless they are hedged, which must not take 32 samples to begin;
// eight are enough.
#[test]
fn hedge_after_few_answers() {
    let mut policy = policy(1);
    (0..7).for_each(|_| policy.record_latency(Duration::from_millis(20)));
    assert_eq!(policy.hedge_after(), None);
    policy.record_latency(Duration::from_millis(20));
    assert_eq!(policy.hedge_after(), Some(Duration::from_millis(20)));
    // Slower responses show soon too, not only after the next 32 samples.
    (0..16).for_each(|_| policy.record_latency(Duration::from_millis(40)));
    assert_eq!(policy.hedge_after(), Some(Duration::from_millis(40)));
}

#[test]
fn hedge_after_suspended() {
    // The whole service is slow, so no hedge responds first. After sixteen hedges the policy
    // suspends them for 500 requests.
    let mut policy = policy(1);
    (0..64).for_each(|_| policy.record_latency(Duration::from_millis(20)));
    let mut hedges = 0;
    while policy.hedge_after().is_some() {
        policy.record_first(Duration::ZERO);
        if policy.try_hedge(Duration::from_secs(5)) {
            policy.record_hedge(false);
            hedges += 1;
        }
    }
    assert_eq!(hedges, 16);
    assert!(!policy.try_hedge(Duration::from_secs(5)));
    (0..500).for_each(|_| policy.record_first(Duration::ZERO));
    assert!(policy.hedge_after().is_some());
}

/// Budget of one entry: a fifth of its requests and two more, within ten seconds.
fn pooled() -> Policy {
    let mut policy = policy(3);
    let limits = Limits::per_entry(0.2, 20.0, Duration::from_secs(10), 0.1);
    policy.advance(Duration::ZERO);
    policy.set_limits(limits);
    policy
}

// Load rises and callers are told of eight more entries, while callers with the earlier list still
// use its eight. All upstreams refuse for ten seconds. Each entry spends its share of the retries,
// and all sixteen together stay within what the fleet may spend.
#[test]
fn decide_pooled_stale_caller_lists() {
    let (share, burst, window) = (0.2, 62.0, Duration::from_secs(10));
    let limits = Limits::per_entry(share, burst, window, 1.0 / 16.0);
    let mut firsts = 0;
    let mut retried = 0;
    for _ in 0..16 {
        let mut policy = policy(3);
        policy.advance(Duration::ZERO);
        policy.set_limits(limits);
        lookups(&mut policy, 0, 100, 0..0);
        firsts += 90;
        retried += lookups(&mut policy, 100, 90, 100..190);
    }
    assert!(retried as f64 <= share * f64::from(firsts) + burst, "{retried} of {firsts}");
}

/// Sends `count` requests from tick `from` on, one every 100 ms. Those in `failing` fail; returns
/// how many of them are retried.
fn lookups(policy: &mut Policy, from: u64, count: u64, failing: std::ops::Range<u64>) -> usize {
    let cut = attempt(true, true, Outcome::Cut);
    let mut retried = 0;
    for at in from..from + count {
        policy.advance(Duration::from_millis(100 * at));
        policy.record_first(Duration::ZERO);
        if failing.contains(&at) {
            retried += usize::from(matches!(policy.decide(&cut), Decision::Again { .. }));
        }
    }
    retried
}

// After twelve healthy seconds ten lookups in a row meet upstreams that cut off their responses.
// The healthy seconds have earned a retry for each of them.
#[test]
fn decide_pooled_unspent() {
    let mut policy = pooled();
    assert_eq!(lookups(&mut policy, 0, 130, 120..130), 10);
}

// Every lookup fails for a minute, after twenty calm seconds. Within any ten seconds no more are retried
// than the share of the requests plus the burst, and all that was earned is spent.
#[test]
fn decide_pooled_all_fail() {
    let mut policy = pooled();
    let cut = attempt(true, true, Outcome::Cut);
    let mut retried = Vec::new();
    for at in 0..800 {
        policy.advance(Duration::from_millis(100 * at));
        policy.record_first(Duration::ZERO);
        if at >= 200 && matches!(policy.decide(&cut), Decision::Again { .. }) {
            retried.push(at);
            let payment = policy.take_payment().unwrap();
            policy.settle(payment);
        }
    }
    let count_from =
        |from: u64| retried.iter().filter(|at| (from..from + 100).contains(*at)).count();
    let most = (0..700).map(count_from).max().unwrap();
    assert!((18..=20).contains(&most), "{most}");
    let least = (200..700).map(count_from).min().unwrap();
    assert!(least >= 10, "{least}");
}

// A process restarts. The previous one may just have spent its budget, so this one starts without a
// burst: ten failures right after the start are hardly retried.
#[test]
fn decide_pooled_restart() {
    let mut policy = pooled();
    assert!(lookups(&mut policy, 0, 10, 0..10) <= 1);
}

// Lookups probe failing upstreams. Once only one retry is left no lookup is risked: it would be
// lost, where another upstream would have served it.
#[test]
fn has_spare_retries_exhausted() {
    let mut policy = pooled();
    assert!(!policy.has_spare_retries());
    lookups(&mut policy, 0, 120, 0..0);
    assert!(policy.has_spare_retries());
    lookups(&mut policy, 120, 18, 120..138);
    assert!(!policy.has_spare_retries());
}
