//! The floor as traffic threads see it.

use std::time::Duration;

use hemlockfield::health::Kind;
use hemlockfield::node::core::Input;
use hemlockfield::registry::State;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::site::SERVICE;
use super::site::Site;
use super::site::id;
use super::site::ms;

/// Steps of 20 ms.
const STEPS: u64 = 1_500;
const UPSTREAMS: usize = 10;
/// Weight of a suspect, the least of those in service.
const SUSPECT: f64 = 0.5;
/// Floor of the site's rules.
const FLOOR: f64 = 0.7;

proptest! {
    // The same cases every run, so that the verdict is the same.
    #![proptest_config(ProptestConfig {
        cases: 8,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// One upstream after the other begins to fail its callers, until most of them do, and
    /// others leave meanwhile. After
    /// every outcome the view that traffic threads pick from holds 70% of the announced
    /// upstreams in service: ejecting more would put the load of all on a few. A suspect is
    /// in service, with half its usual share; one on trial is not.
    #[test]
    fn view_floor_held(seed in any::<u32>()) {
        let mut random = ChaCha8Rng::seed_from_u64(seed.into());
        let mut site = Site::settled(seed.into(), 1, 1);
        for at in 0..UPSTREAMS {
            site.announce(&format!("hull-{at}"), "e1", State::Ready);
        }
        site.run_until("the upstreams", |site| {
            site.view(&id("e1")).services.get(SERVICE).is_some_and(|it| it.members.len() == UPSTREAMS)
        });
        let starts: Vec<u64> =
            (0..UPSTREAMS as u64).map(|at| at * 150 + random.random_range(0..100)).collect();
        let mut ejected = 0;
        for step in 0..STEPS {
            site.run(ms(20));
            for (at, start) in starts.iter().enumerate() {
                let fails = step >= *start;
                let kind = if fails { Kind::ServerError } else { Kind::Success };
                let latency = Duration::from_millis(random.random_range(5..15));
                let upstream = format!("hull-{at}").into();
                site.input(&id("e1"), Input::Outcome(SERVICE.into(), upstream, kind, latency));
                let (serving, all) = weights(&site);
                ejected = ejected.max(all - serving);
                prop_assert!(serving as f64 >= FLOOR * all as f64, "{serving} of {all}, step {step}");
            }
            if step % 500 == 499 {
                let leaving = UPSTREAMS - 1 - step as usize / 500;
                site.drain_upstream(&format!("hull-{leaving}"));
            }
        }
        prop_assert!(ejected > 0, "nothing was ever ejected");
    }
}

/// Upstreams in service, and all of them.
fn weights(site: &Site) -> (usize, usize) {
    let service = &site.view(&id("e1")).services[SERVICE];
    let held = service.weights.values().filter(|weight| **weight < SUSPECT).count();
    (service.members.len() - held, service.members.len())
}
