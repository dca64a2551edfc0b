//! Choice of another entry.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::reach::Peer;
use hemlockfield::reach::Peers;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn peer(at: u16) -> Peer {
    let id = compact_str::format_compact!("entry-{at}");
    Peer { address: SocketAddr::from(([127, 0, 0, 1], at)), id }
}

// Requests of an entry that is cut off spread evenly over the others, so that none takes twice its
// load.
#[test]
fn choose_evenly() {
    let mut peers = Peers::new(ChaCha8Rng::seed_from_u64(7));
    let mut counts = [0; 4];
    for _ in 0..4000 {
        let chosen = peers.choose(Duration::ZERO, &"hull".into(), (0..4).map(peer)).unwrap();
        counts[usize::from(chosen.address.port())] += 1;
    }
    assert!(counts.iter().all(|count| (900..1100).contains(count)), "{counts:?}");
}

// An entry that is cut off like this one gets no more requests for a while, but for other services
// it does.
#[test]
fn choose_avoided() {
    let mut peers = Peers::new(ChaCha8Rng::seed_from_u64(7));
    peers.avoid(Duration::ZERO, &peer(0), &"hull".into());
    let mut choose =
        |now, service: &str| peers.choose(now, &service.into(), [peer(0)].into_iter()).is_some();
    assert!(!choose(Duration::from_millis(900), "hull"));
    assert!(choose(Duration::from_millis(900), "cert"));
    assert!(choose(Duration::from_millis(1100), "hull"));
}
