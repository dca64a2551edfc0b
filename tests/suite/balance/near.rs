//! Tests of the preference for upstreams in the entry's own failure domain.

use std::time::Duration;

use hemlockfield::balance::Completion;
use hemlockfield::balance::Duty;
use hemlockfield::balance::Health;
use hemlockfield::balance::Picker;
use hemlockfield::balance::Request;
use hemlockfield::balance::Setup;
use hemlockfield::clock::Moment;
use hemlockfield::health::Kind;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::DOMAINS;
use super::ready;

/// Picker of an entry in the first of four failure domains.
fn local(entries: usize, upstreams: usize) -> Picker {
    let setup = Setup::new("entry".into(), DOMAINS[0].into(), entries);
    let setup = Setup { local: true, ..setup };
    let mut picker = Picker::new(setup, ChaCha8Rng::seed_from_u64(1));
    picker.set_members(&ready(upstreams));
    picker
}

fn is_near(upstream: &str) -> bool {
    upstream[1..].parse::<usize>().is_ok_and(|number| number.is_multiple_of(4))
}

/// Picks `count` requests at once; returns for each whether it went to a near upstream.
fn pick_at_once(picker: &mut Picker, count: usize) -> Vec<bool> {
    let pick = |_| picker.pick(Moment::ZERO, &Request::default()).expect("room");
    (0..count).map(pick).map(|pick| is_near(&pick.upstream)).collect()
}

struct Suspect(&'static [&'static str]);

impl Health for Suspect {
    fn is_suspect(&self, upstream: &str) -> bool {
        self.0.contains(&upstream)
    }

    fn weight(&self, _: &str) -> f64 {
        1.0
    }
}

// With 32 entries and eight upstreams of four slots, the entry's share of near slots is one. Two
// concurrent requests are chance and must stay near; more are load and may leave the failure
// domain.
#[test]
fn pick_small_near_share() {
    let mut picker = local(32, 8);
    assert_eq!(pick_at_once(&mut picker, 4), [true, true, false, false]);
}

// With four entries the entry's share of near slots is eight. A burst of requests must stay near
// at first, and later requests go to other failure domains too.
#[test]
fn pick_large_near_share() {
    let mut picker = local(4, 8);
    let served = pick_at_once(&mut picker, 20);
    assert!(served[..8].iter().all(|near| *near), "{served:?}");
    assert!(served[12..].iter().any(|near| !near), "{served:?}");
}

// All near upstreams are suspect and break most requests. Requests must go to sound upstreams in
// other failure domains, and to suspect ones only when no other has room.
#[test]
fn pick_near_suspects() {
    let mut picker = local(1, 8);
    picker.refresh(Duration::ZERO, &Suspect(&["u00", "u04"]));
    let mut served = Vec::new();
    while let Some(pick) = picker.pick(Duration::ZERO, &Request::default()) {
        served.push(is_near(&pick.upstream));
    }
    let first = served.iter().position(|near| *near).expect("the last resort");
    assert!(first >= 24, "{served:?}");
}

/// Duty of an entry to one upstream.
struct Owed(&'static str, Duty);

impl Health for Owed {
    fn duty(&self, upstream: &str) -> Option<Duty> {
        (upstream == self.0).then_some(self.1)
    }

    fn weight(&self, _: &str) -> f64 {
        1.0
    }
}

/// Requests to far upstream `u03` in `span` of a picker that gets one each 50 ms, most of which end
/// at once.
fn owed_requests(duty: Duty, span: Duration) -> Vec<Duration> {
    let mut picker = local(4, 8);
    picker.refresh(Duration::ZERO, &Owed("u03", duty));
    let mut times = Vec::new();
    let mut now = Duration::ZERO;
    while now < span {
        let pick = picker.pick(now, &Request::default()).expect("room");
        if pick.upstream == "u03" {
            times.push(now);
        }
        let latency = Duration::from_millis(650);
        picker.finish(now, pick.ticket, Completion { kind: Kind::Success, latency, report: None });
        now += Duration::from_millis(50);
    }
    times
}

// A far upstream had no request for seconds, as near ones come first everywhere; then each entry sent it
// all of its requests, as what others had sent was known too late.
#[rstest]
#[case::first(Duty::First, 1_400)]
#[case::second(Duty::Second, 1_700)]
fn pick_owed(#[case] duty: Duty, #[case] gap_max: u64) {
    let times = owed_requests(duty, Duration::from_secs(20));
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(times[0] <= Duration::from_millis(gap_max), "{times:?}");
    assert!(gaps.clone().max() <= Some(Duration::from_millis(gap_max)), "{times:?}");
    assert!(gaps.min() >= Some(Duration::from_secs(1)), "{times:?}");
}

// An entry with fewer requests than its duties need sends them to upstreams that it knows to serve.
#[test]
fn pick_owed_few_requests() {
    let mut picker = local(4, 8);
    picker.refresh(Duration::ZERO, &Owed("u03", Duty::First));
    for second in 0..20 {
        let now = Duration::from_secs(3 * second);
        let pick = picker.pick(now, &Request::default()).expect("room");
        assert!(!pick.is_directed, "{pick:?}");
        let latency = Duration::from_millis(25);
        picker.finish(now, pick.ticket, Completion { kind: Kind::Success, latency, report: None });
    }
}
