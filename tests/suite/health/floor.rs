use std::collections::BTreeMap;

use hemlockfield::clock::Moment;
use hemlockfield::health::Input;
use hemlockfield::health::Judge;
use hemlockfield::health::Kind;
use hemlockfield::health::Output;
use hemlockfield::health::Reason;
use hemlockfield::health::Setup;
use hemlockfield::health::Verdict;
use hemlockfield::id::UpstreamId;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::scene::Act;
use super::scene::Scene;
use super::scene::name;
use super::scene::seconds;
use super::scene::setup;

/// Members with their slots, as the test keeps them beside the judge.
type Members = BTreeMap<UpstreamId, u32>;

fn holds(judge: &Judge, members: &Members, setup: &Setup) -> bool {
    let is_serving = |upstream: &&UpstreamId| {
        matches!(judge.verdict(upstream), Verdict::Sound | Verdict::Suspect)
    };
    let serving: Vec<&UpstreamId> = members.keys().filter(is_serving).collect();
    let slots: u32 = serving.iter().map(|upstream| members[*upstream]).sum();
    let all: u32 = members.values().sum();
    let is_count = serving.len() >= setup.floor_count.min(members.len());
    is_count && f64::from(slots) >= setup.floor_share * f64::from(all)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Upstreams come, leave and flap at random, with random slots, many failing
    /// at once. After each input, whatever its order, the floor must hold: else
    /// the rest is overrun by callers and fails too.
    #[test]
    fn handle_floor_held(seed in any::<u64>(), share in 0.0..1.0_f64, count in 0..6_usize) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let setup = Setup { floor_count: count, floor_share: share, sensitivity: 1.0 };
        let judge_random = ChaCha8Rng::seed_from_u64(!seed);
        let mut judge = Judge::new("e".into(), setup.clone(), judge_random);
        let mut members = Members::new();
        let mut now = Moment::ZERO;
        for _ in 0..2_000 {
            let upstream = name(random.random_range(0..10));
            let chance = random.random_range(0..100);
            let input = if chance < 2 {
                members.remove(&upstream);
                Input::Gone { upstream }
            } else if chance < 5 {
                let slots = random.random_range(1..8);
                members.insert(upstream.clone(), slots);
                Input::Member { domain: "trnje".into(), slots, upstream }
            } else if chance < 20 {
                now += Setup::TICK;
                Input::Tick
            } else {
                let is_bad = !(now.as_secs() / 5 + seed % 3).is_multiple_of(3) && !upstream.ends_with('0');
                let kind = if is_bad { Kind::ServerError } else { Kind::Success };
                Input::Outcome { kind, latency: seconds(1) / 40, upstream }
            };
            judge.handle(now, input);
            prop_assert!(holds(&judge, &members, &setup), "{members:?}");
        }
    }
}

/// Four of eight fail with a floor of three quarters. Two go; the others are kept
/// and said to be kept, so that the operator sees why callers still meet errors.
#[test]
fn handle_floor_reached() {
    let setup = Setup { floor_share: 0.75, ..setup(1.0) };
    let mut scene = Scene::new(1, 8, &setup, 6);
    scene.run(seconds(30), 5.0, &|_, _, _| Act::SOUND);
    scene.run(seconds(35), 5.0, &|_, upstream, _| {
        if upstream < 4 { Act::failing(Kind::ServerError) } else { Act::SOUND }
    });
    let out = (0..8).filter(|upstream| !scene.ejections(*upstream).is_empty()).count();
    assert_eq!(out, 2);
    let is_kept = |output: &Output| matches!(output, Output::Kept { reason: Reason::Floor, .. });
    assert!(scene.outputs.iter().any(|(.., output)| is_kept(output)));
}

/// At the floor, an upstream that fails in part is out when another begins to
/// fail every request. The least bad must stay: the two change places.
#[test]
fn handle_floor_worse_comes() {
    let setup = Setup { floor_share: 0.85, ..setup(1.0) };
    let mut scene = Scene::new(1, 8, &setup, 6);
    scene.run(seconds(30), 10.0, &|_, _, _| Act::SOUND);
    let partly = |now: Moment| (now.as_millis() / 100).is_multiple_of(3);
    let third = |_, upstream, now| {
        if upstream == 1 && partly(now) { Act::failing(Kind::Cut) } else { Act::SOUND }
    };
    while scene.ejections(1).is_empty() && scene.now < seconds(40) {
        scene.run(scene.now + Setup::TICK, 10.0, &third);
    }
    assert_eq!(scene.judges[0].verdict(&name(1)), Verdict::Ejected);
    scene.run(scene.now + seconds(2), 10.0, &|entry, upstream, now| {
        if upstream == 2 { Act::failing(Kind::Cut) } else { third(entry, upstream, now) }
    });
    assert_eq!(scene.judges[0].verdict(&name(2)), Verdict::Ejected);
    assert_ne!(scene.judges[0].verdict(&name(1)), Verdict::Ejected);
}

/// Two are out by right when sound ones leave for good. The capacity that stays
/// must not fall below the floor: the least bad comes back at once.
#[test]
fn handle_gone_at_floor() {
    let mut scene = Scene::new(1, 4, &setup(1.0), 6);
    scene.run(seconds(30), 5.0, &|_, _, _| Act::SOUND);
    scene.run(seconds(34), 5.0, &|_, upstream, _| {
        if upstream < 2 { Act::failing(Kind::ServerError) } else { Act::SOUND }
    });
    assert_eq!(scene.judges[0].verdict(&name(0)), Verdict::Ejected);
    let outputs = scene.judges[0].handle(scene.now, Input::Gone { upstream: name(3) });
    assert!(matches!(outputs[..], [Output::Readmit { reason: Reason::Floor, .. }]));
}
