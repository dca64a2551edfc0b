//! Draining of an upstream.

use hemlockfield::registry::State;
use rstest::rstest;

use super::cluster::Cluster;
use super::cluster::id;
use super::cluster::ms;

/// Time within which all entries stop using a draining upstream.
const DRAIN_MILLIS: u64 = 3_000;

// An upstream announces to e2 that it is draining. 3 s later no entry may send it requests.
// This includes e1 when it is cut off from the fleet, where its own probe of the upstream
// tells it, and when it is cut off from the upstreams too, where it must stop by itself.
#[rstest]
#[case::connected(false, false)]
#[case::isolated(true, false)]
#[case::isolated_from_upstreams(true, true)]
fn drain_upstream_no_new_requests(
    #[case] is_isolated: bool,
    #[case] is_cut_from_upstreams: bool,
    #[values(51, 52, 53, 54)] seed: u64,
) {
    let mut cluster = Cluster::with_configuration(seed, 3, 6);
    for name in ["hull-1", "hull-2", "hull-3"] {
        cluster.announce(name, "e2", State::Ready);
    }
    cluster.run_until("all entries to use the upstreams", |cluster| {
        cluster.entries_using("hull-1").len() == 6
    });
    if is_isolated {
        cluster.isolate(&id("e1"), false, false);
    }
    if is_cut_from_upstreams {
        cluster.cut_from_upstreams.insert(id("e1"));
    }
    cluster.drain_upstream("hull-1");
    cluster.run(ms(DRAIN_MILLIS));
    for _ in 0..200 {
        cluster.run(ms(50));
        assert_eq!(cluster.entries_using("hull-1"), Vec::<String>::new());
    }
    if !is_cut_from_upstreams {
        assert_eq!(cluster.entries_using("hull-2").len(), 6, "the others stay in use");
    }
}
