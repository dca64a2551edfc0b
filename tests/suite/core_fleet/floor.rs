//! The floor of a service in the views for traffic threads.

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

use super::cluster::Cluster;
use super::cluster::SERVICE;
use super::cluster::id;
use super::cluster::ms;

/// Number of steps of 20 ms.
const STEPS: u64 = 1_500;
const UPSTREAMS: usize = 10;
/// Weight of a suspected upstream, the lowest of an upstream in service.
const SUSPECT_WEIGHT: f64 = 0.5;
/// Floor in the rules of the cluster.
const FLOOR: f64 = 0.7;

proptest! {
    // A fixed seed generates the same cases in every run, which makes the result reproducible.
    #![proptest_config(ProptestConfig {
        cases: 8,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against ejections below the floor, which would put all load on few upstreams.
    /// Upstreams begin to fail one after the other while some drain. After every outcome the
    /// view has 70% of the announced upstreams in service. A suspected upstream counts as in
    /// service, with half its share; one on trial does not.
    #[test]
    fn view_floor_held(seed in any::<u32>()) {
        let mut random = ChaCha8Rng::seed_from_u64(seed.into());
        let mut cluster = Cluster::with_configuration(seed.into(), 1, 1);
        for at in 0..UPSTREAMS {
            cluster.announce(&format!("hull-{at}"), "e1", State::Ready);
        }
        cluster.run_until("the upstreams", |cluster| {
            cluster
                .view(&id("e1"))
                .services
                .get(SERVICE)
                .is_some_and(|it| it.members.len() == UPSTREAMS)
        });
        let starts: Vec<u64> =
            (0..UPSTREAMS as u64).map(|at| at * 150 + random.random_range(0..100)).collect();
        let mut ejected = 0;
        for step in 0..STEPS {
            cluster.run(ms(20));
            for (at, start) in starts.iter().enumerate() {
                let fails = step >= *start;
                let kind = if fails { Kind::ServerError } else { Kind::Success };
                let latency = Duration::from_millis(random.random_range(5..15));
                let upstream = format!("hull-{at}").into();
                cluster.input(&id("e1"), Input::Outcome(SERVICE.into(), upstream, kind, latency));
                let (serving, all) = count_in_service(&cluster);
                ejected = ejected.max(all - serving);
                prop_assert!(
                    serving as f64 >= FLOOR * all as f64,
                    "{serving} of {all}, step {step}"
                );
            }
            if step % 500 == 499 {
                let leaving = UPSTREAMS - 1 - step as usize / 500;
                cluster.drain_upstream(&format!("hull-{leaving}"));
            }
        }
        prop_assert!(ejected > 0, "no upstream was ejected");
    }
}

/// Counts the upstreams in service and all upstreams.
fn count_in_service(cluster: &Cluster) -> (usize, usize) {
    let service = &cluster.view(&id("e1")).services[SERVICE];
    let held = service.weights.values().filter(|weight| **weight < SUSPECT_WEIGHT).count();
    (service.members.len() - held, service.members.len())
}
