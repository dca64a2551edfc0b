//! Tests of the preference for upstreams in the entry's own failure domain.

use std::time::Duration;

use hemlockfield::balance::Health;
use hemlockfield::balance::Picker;
use hemlockfield::balance::Request;
use hemlockfield::balance::Setup;
use hemlockfield::clock::Moment;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

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
    picker.refresh(&Suspect(&["u00", "u04"]));
    let mut served = Vec::new();
    while let Some(pick) = picker.pick(Duration::ZERO, &Request::default()) {
        served.push(is_near(&pick.upstream));
    }
    let first = served.iter().position(|near| *near).expect("the last resort");
    assert!(first >= 24, "{served:?}");
}

/// One upstream that no entry has sent a request to for some time.
struct Neglected(&'static str);

impl Health for Neglected {
    fn is_neglected(&self, upstream: &str) -> bool {
        upstream == self.0
    }

    fn weight(&self, _: &str) -> f64 {
        1.0
    }
}

// A far upstream has had no request for a second, as near ones come first everywhere. The next
// request must go there, and only that one until its outcome can be known.
#[test]
fn pick_neglected() {
    let mut picker = local(4, 8);
    picker.refresh(&Neglected("u03"));
    let mut pick = |now| picker.pick(now, &Request::default()).expect("room").upstream;
    assert_eq!(pick(Duration::ZERO), "u03");
    picker.refresh(&Neglected("u03"));
    assert!(
        (0..6)
            .all(|_| picker.pick(Duration::ZERO, &Request::default()).expect("room").upstream
                != "u03")
    );
    picker.refresh(&Neglected("u03"));
    let later = picker.pick(Duration::from_secs(1), &Request::default()).expect("room");
    assert_eq!(later.upstream, "u03");
}
