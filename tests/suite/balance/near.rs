//! Upstreams in the entry's own failure domain first.

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

/// Entry in the first of four failure domains, among as many as say.
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

/// Requests that come at once; how many go to near upstreams, in order of arrival.
fn near(picker: &mut Picker, count: usize) -> Vec<bool> {
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

// Eight upstreams of four slots, 32 entries: an entry's part of the near slots is one. Two
// requests at once are chance, not load, and stay near; more mean that the near ones fill up.
#[test]
fn pick_small_part() {
    let mut picker = local(32, 8);
    assert_eq!(near(&mut picker, 4), [true, true, false, false]);
}

// With four entries the part is eight slots; a burst of twelve is served near, and what comes
// on top also goes to the other failure domains.
#[test]
fn pick_large_part() {
    let mut picker = local(4, 8);
    let served = near(&mut picker, 20);
    assert!(served[..8].iter().all(|near| *near), "{served:?}");
    assert!(served[12..].iter().any(|near| !near), "{served:?}");
}

// All near upstreams are suspect: they break most of what they get. Requests cross the border
// to sound ones, and come back when nobody else has room.
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
