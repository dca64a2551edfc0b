//! An upstream that leaves gets no new work.

use hemlockfield::registry::State;
use rstest::rstest;

use super::site::Site;
use super::site::id;
use super::site::ms;

/// Time after which nobody gives a leaving upstream new work.
const SETTLED: u64 = 3_000;

// An upstream announces through e2 that it drains. No entry may give it new work 3 s later,
// whatever e1's state: in touch with the others; cut off from them in silence while it
// still reaches the upstream, from which it learns by its own probe; or cut off from both,
// when it has no proof that the upstream takes work, and stops by itself.
#[rstest]
#[case::in_touch(false, false)]
#[case::cut_off(true, false)]
#[case::cut_off_from_all(true, true)]
fn drain_settles(
    #[case] is_cut: bool,
    #[case] is_apart: bool,
    #[values(51, 52, 53, 54)] seed: u64,
) {
    let mut site = Site::settled(seed, 3, 6);
    for name in ["hull-1", "hull-2", "hull-3"] {
        site.announce(name, "e2", State::Ready);
    }
    site.run_until("the upstreams everywhere", |site| site.users("hull-1").len() == 6);
    if is_cut {
        site.cut_off(&id("e1"), false, false);
    }
    if is_apart {
        site.apart.insert(id("e1"));
    }
    site.drain_upstream("hull-1");
    site.run(ms(SETTLED));
    for _ in 0..200 {
        site.run(ms(50));
        assert_eq!(site.users("hull-1"), Vec::<String>::new());
    }
    if !is_apart {
        assert_eq!(site.users("hull-2").len(), 6, "the others stay in use");
    }
}
