//! Tests of `hemlockfield::retry`.

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
    #[case] stops: Option<Answer>,
) {
    let decision = policy(1).decide(&attempt(idempotent, sent, outcome));
    match stops {
        Some(answer) => assert_eq!(decision, Decision::Stop { answer }),
        None => assert!(matches!(decision, Decision::Again { .. }), "{decision:?}"),
    }
}

#[test]
fn decide_body_gone() {
    // An upload was refused by an upstream that was full, after part of it had
    // streamed through. It can't be sent again from its start, so the caller is
    // told at once, and truly, that it was not run.
    let gone = Attempt { body_kept: false, ..attempt(false, true, Outcome::RefusedNotRun) };
    assert_eq!(policy(1).decide(&gone), Decision::Stop { answer: Answer::NotRun });
}

#[test]
fn decide_no_time_left() {
    // Answers take 100 ms and 50 ms are left: another try can't end in time.
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
    // The same cases every run, so that the verdict is the same.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Once a byte may have left, a non-idempotent request is neither tried
    /// again nor told as not run, unless the upstream's refusal proves it.
    #[test]
    fn decide_never_doubles(
        outcome in outcome(),
        head_sent in any::<bool>(),
        body_kept in any::<bool>(),
        tries in 1_u32..5,
        seed in any::<u64>(),
    ) {
        let sent = Attempt { body_kept, head_sent, tries, ..attempt(false, true, outcome) };
        let decision = policy(seed).decide(&sent);
        let proven = outcome == Outcome::RefusedNotRun && !head_sent;
        if !proven {
            let whole = matches!(outcome, Outcome::Failed { .. }) && !head_sent;
            let answer = if whole { Answer::Failed } else { Answer::Unknown };
            prop_assert_eq!(decision, Decision::Stop { answer });
        }
        if head_sent {
            let stops = matches!(decision, Decision::Stop { .. });
            prop_assert!(stops);
        }
    }
}

#[rstest]
#[case(Outage::Domain, 1.3)]
#[case(Outage::Everything, 2.9)]
#[case(Outage::Silence, 1.3)]
fn decide_outage(#[case] outage: Outage, #[case] counted: f64) {
    // A failure domain goes, or everything refuses, and for ten seconds nothing
    // turns away from what is lost. Tries stay under 1.1 times the requests in
    // every second, because further tries are paid from a share of the first.
    // Three tries for each request make a third more load, or three times as
    // much when everything refuses.
    for seed in 0..SEEDS {
        let simulation = Simulation { avoids_failed: false, idempotent: true, outage, seed };
        let ours = simulation.run(&|seed| Box::new(policy(seed)));
        assert!(ours.worst_amplification <= 1.1, "{ours:?}");
        assert_eq!(ours.unknown, 0);
        let plain = simulation.run(&|_| Box::new(MaxAttempts(3)));
        assert!(plain.amplification() > counted, "{plain:?}");
    }
}

#[test]
fn decide_outage_avoided() {
    // The same loss while entries avoid an upstream that failed: nearly every
    // caller is answered, and the rest is told that it was not run.
    for seed in 0..SEEDS {
        let simulation =
            Simulation { avoids_failed: true, idempotent: false, outage: Outage::Domain, seed };
        let ours = simulation.run(&|seed| Box::new(policy(seed)));
        assert!(ours.worst_amplification <= 1.1, "{ours:?}");
        assert!(ours.answered * 100 >= ours.requests * 98, "{ours:?}");
        assert_eq!(ours.requests, ours.answered + ours.not_run);
    }
}

#[test]
fn try_hedge_budget() {
    // Every lookup is late and every hedge wins: hedges stay within a twentieth
    // of the first tries and the two tokens saved up, and what they took is gone
    // for a try after a failure, too. One budget is what bounds the load.
    let mut policy = policy(1);
    assert_eq!(policy.hedge_after(), None);
    (0..64).for_each(|_| policy.record_latency(Duration::from_millis(20)));
    assert_eq!(policy.hedge_after(), Some(Duration::from_millis(20)));
    let mut hedges = 0;
    for _ in 0..1000 {
        policy.record_first();
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

// An entry has just started and gets a lookup each second, and one upstream in three holds what
// it gets. Lookups there wait for their whole time unless a second copy goes out, and none did
// before the entry had seen 32 answers. After eight it knows enough.
#[test]
fn hedge_after_few_answers() {
    let mut policy = policy(1);
    (0..7).for_each(|_| policy.record_latency(Duration::from_millis(20)));
    assert_eq!(policy.hedge_after(), None);
    policy.record_latency(Duration::from_millis(20));
    assert_eq!(policy.hedge_after(), Some(Duration::from_millis(20)));
    // A slower time shows soon as well, and not only with the next 32.
    (0..16).for_each(|_| policy.record_latency(Duration::from_millis(40)));
    assert_eq!(policy.hedge_after(), Some(Duration::from_millis(40)));
}

#[test]
fn hedge_after_suspended() {
    // The whole service is slow, so that no hedge answers first. After sixteen
    // the policy stops sending them, and looks again 500 requests later.
    let mut policy = policy(1);
    (0..64).for_each(|_| policy.record_latency(Duration::from_millis(20)));
    let mut hedges = 0;
    while policy.hedge_after().is_some() {
        policy.record_first();
        if policy.try_hedge(Duration::from_secs(5)) {
            policy.record_hedge(false);
            hedges += 1;
        }
    }
    assert_eq!(hedges, 16);
    assert!(!policy.try_hedge(Duration::from_secs(5)));
    (0..500).for_each(|_| policy.record_first());
    assert!(policy.hedge_after().is_some());
}

/// One entry's budget: a fifth of its requests and two more, within ten seconds.
fn pooled() -> Policy {
    let mut policy = policy(3);
    let limits = Limits::per_entry(0.2, 20.0, Duration::from_secs(10), Some(10));
    policy.advance(Duration::ZERO);
    policy.set_limits(limits);
    policy
}

// Load rises and callers are told of eight other entries, while those who hold the list before
// still use its eight. All upstreams refuse for ten seconds. Each entry takes its part of the
// further tries; together all sixteen stay within what eight were told to share.
#[test]
fn decide_pooled_two_lists() {
    let (share, burst, window) = (0.2, 62.0, Duration::from_secs(10));
    let limits = Limits::per_entry(share, burst, window, Some(16));
    let mut firsts = 0;
    let mut again = 0;
    for _ in 0..16 {
        let mut policy = policy(3);
        policy.advance(Duration::ZERO);
        policy.set_limits(limits);
        lookups(&mut policy, 0, 100, 0..0);
        firsts += 90;
        again += lookups(&mut policy, 100, 90, 100..190);
    }
    assert!(again as f64 <= share * f64::from(firsts) + burst, "{again} of {firsts}");
}

/// Has `count` requests come, one each 100 ms from `from` on; how many of those that fail in
/// `broken` are tried again.
fn lookups(policy: &mut Policy, from: u64, count: u64, broken: std::ops::Range<u64>) -> usize {
    let cut = attempt(true, true, Outcome::Cut);
    let mut again = 0;
    for at in from..from + count {
        policy.advance(Duration::from_millis(100 * at));
        policy.record_first();
        if broken.contains(&at) {
            again += usize::from(matches!(policy.decide(&cut), Decision::Again { .. }));
        }
    }
    again
}

// For twelve seconds all is well; then ten lookups in a row meet upstreams that cut their
// answers. What the calm seconds have earned has all of them tried again.
#[test]
fn decide_pooled_after_calm() {
    let mut policy = pooled();
    assert_eq!(lookups(&mut policy, 0, 130, 120..130), 10);
}

// Every lookup fails for a minute. In no ten seconds are more tried again than the share of
// the requests and the burst, however the windows lie.
#[test]
fn decide_pooled_all_fail() {
    let mut policy = pooled();
    let cut = attempt(true, true, Outcome::Cut);
    let mut again = Vec::new();
    for at in 0..600 {
        policy.advance(Duration::from_millis(100 * at));
        policy.record_first();
        if matches!(policy.decide(&cut), Decision::Again { .. }) {
            again.push(at);
        }
    }
    let within = |from: u64| again.iter().filter(|at| (from..from + 100).contains(*at)).count();
    let most = (0..500).map(within).max().unwrap();
    assert!((18..=20).contains(&most), "{most}");
}

// A process starts anew. Nobody knows what the one before has just spent, so it begins without
// a burst: ten failures at once right after the start are not tried again.
#[test]
fn decide_pooled_just_started() {
    let mut policy = pooled();
    assert!(lookups(&mut policy, 0, 10, 0..10) <= 1);
}

// The whole fleet starts for the first time, and a third of the upstreams cut the first answers.
// No process before this one has spent anything: the whole part is there from the first second.
#[test]
fn decide_pooled_first_start() {
    let limits = Limits::per_entry(0.2, 20.0, Duration::from_secs(10), Some(10));
    let mut policy = policy(3);
    policy.advance(Duration::ZERO);
    policy.set_limits(Limits { is_first: true, ..limits });
    assert_eq!(lookups(&mut policy, 0, 10, 0..10), 3);
}

// Upstreams are at fault, and lookups are sent there to see whether one is well again. Once
// only one further try is left no lookup is risked: the caller would lose what nobody sends
// again, where another upstream would have served it.
#[test]
fn has_spare_retries_exhausted() {
    let mut policy = pooled();
    assert!(!policy.has_spare_retries());
    lookups(&mut policy, 0, 120, 0..0);
    assert!(policy.has_spare_retries());
    lookups(&mut policy, 120, 18, 120..138);
    assert!(!policy.has_spare_retries());
}
