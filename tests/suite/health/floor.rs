use std::collections::BTreeMap;

use hemlockfield::clock::Moment;
use hemlockfield::health::Config;
use hemlockfield::health::Input;
use hemlockfield::health::Kind;
use hemlockfield::health::Monitor;
use hemlockfield::health::Output;
use hemlockfield::health::Reason;
use hemlockfield::health::Status;
use hemlockfield::id::UpstreamId;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::simulation::Outcome;
use super::simulation::Simulation;
use super::simulation::config;
use super::simulation::seconds;
use super::simulation::upstream_name;

/// Slots of the members, tracked by the test independently of the monitor.
type Members = BTreeMap<UpstreamId, u32>;

fn is_floor_held(monitor: &Monitor, members: &Members, config: &Config) -> bool {
    let is_serving = |upstream: &&UpstreamId| {
        matches!(monitor.status(upstream), Status::Sound | Status::Suspect)
    };
    let serving: Vec<&UpstreamId> = members.keys().filter(is_serving).collect();
    let slots: u32 = serving.iter().map(|upstream| members[*upstream]).sum();
    let all: u32 = members.values().sum();
    let has_count = serving.len() >= config.floor_count.min(members.len());
    has_count && f64::from(slots) >= config.floor_share * f64::from(all)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Upstreams join, leave and flap at random, with random slots, many failing at
    /// once. The floor must hold after each input, in any order: otherwise the
    /// remaining upstreams would be overloaded and fail too.
    #[test]
    fn handle_floor_held(seed in any::<u64>(), share in 0.0..1.0_f64, count in 0..6_usize) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let config = Config { floor_count: count, floor_share: share, sensitivity: 1.0 };
        let monitor_random = ChaCha8Rng::seed_from_u64(!seed);
        let mut monitor = Monitor::new("e".into(), config.clone(), monitor_random);
        let mut members = Members::new();
        let mut now = Moment::ZERO;
        for _ in 0..2_000 {
            let upstream = upstream_name(random.random_range(0..10));
            let chance = random.random_range(0..100);
            let input = if chance < 2 {
                members.remove(&upstream);
                Input::Gone { upstream }
            } else if chance < 5 {
                let slots = random.random_range(1..8);
                members.insert(upstream.clone(), slots);
                Input::Member { domain: "trnje".into(), slots, upstream }
            } else if chance < 20 {
                now += Config::TICK;
                Input::Tick
            } else {
                let is_bad = !(now.as_secs() / 5 + seed % 3).is_multiple_of(3) && !upstream.ends_with('0');
                let kind = if is_bad { Kind::ServerError } else { Kind::Success };
                Input::Outcome { kind, latency: seconds(1) / 40, upstream }
            };
            monitor.handle(now, input);
            prop_assert!(is_floor_held(&monitor, &members, &config), "{members:?}");
        }
    }
}

/// Four of eight upstreams fail with a floor of three quarters. Two are ejected; the
/// others are kept and reported as kept, so that the operator sees why callers still
/// get errors.
#[test]
fn handle_floor_reached() {
    let config = Config { floor_share: 0.75, ..config(1.0) };
    let mut simulation = Simulation::new(1, 8, &config, 6);
    simulation.run(seconds(30), 5.0, &|_, _, _| Outcome::SOUND);
    simulation.run(seconds(35), 5.0, &|_, upstream, _| {
        if upstream < 4 { Outcome::failing(Kind::ServerError) } else { Outcome::SOUND }
    });
    let ejected = (0..8).filter(|upstream| !simulation.ejections(*upstream).is_empty()).count();
    assert_eq!(ejected, 2);
    let is_kept = |output: &Output| matches!(output, Output::Kept { reason: Reason::Floor, .. });
    assert!(simulation.outputs.iter().any(|(.., output)| is_kept(output)));
}

/// At the floor, an upstream with partial failures is ejected when another begins to
/// fail every request. The less severe one must serve: the two are swapped.
#[test]
fn handle_worse_fault_at_floor() {
    let config = Config { floor_share: 0.85, ..config(1.0) };
    let mut simulation = Simulation::new(1, 8, &config, 6);
    simulation.run(seconds(30), 10.0, &|_, _, _| Outcome::SOUND);
    let is_failing = |now: Moment| (now.as_millis() / 100).is_multiple_of(3);
    let partial = |_, upstream, now| {
        if upstream == 1 && is_failing(now) { Outcome::failing(Kind::Cut) } else { Outcome::SOUND }
    };
    while simulation.ejections(1).is_empty() && simulation.now < seconds(40) {
        simulation.run(simulation.now + Config::TICK, 10.0, &partial);
    }
    assert_eq!(simulation.monitors[0].status(&upstream_name(1)), Status::Ejected);
    simulation.run(simulation.now + seconds(2), 10.0, &|entry, upstream, now| {
        if upstream == 2 { Outcome::failing(Kind::Cut) } else { partial(entry, upstream, now) }
    });
    assert_eq!(simulation.monitors[0].status(&upstream_name(2)), Status::Ejected);
    assert_ne!(simulation.monitors[0].status(&upstream_name(1)), Status::Ejected);
}

/// Two faulty upstreams are ejected when a sound one leaves for good. The capacity in
/// service must not fall below the floor: the least severe is readmitted at once.
#[test]
fn handle_gone_at_floor() {
    let mut simulation = Simulation::new(1, 4, &config(1.0), 6);
    simulation.run(seconds(30), 5.0, &|_, _, _| Outcome::SOUND);
    simulation.run(seconds(34), 5.0, &|_, upstream, _| {
        if upstream < 2 { Outcome::failing(Kind::ServerError) } else { Outcome::SOUND }
    });
    assert_eq!(simulation.monitors[0].status(&upstream_name(0)), Status::Ejected);
    let outputs =
        simulation.monitors[0].handle(simulation.now, Input::Gone { upstream: upstream_name(3) });
    assert!(matches!(outputs[..], [Output::Readmit { reason: Reason::Floor, .. }]));
}
