use hemlockfield::health::Digest;
use hemlockfield::health::Input;
use hemlockfield::health::Item;
use hemlockfield::health::Output;

use super::simulation::Simulation;
use super::simulation::config;
use super::simulation::seconds;
use super::simulation::upstream_name;

/// A node has a budget of 3 KB a second for all its gossip. A digest on one upstream,
/// with names of usual length, must take a small part of it and survive a round trip.
#[test]
fn digest_encoded() {
    let sums = [[-40, -75, -110, 300, 1_200]; 3];
    let item = Item { asks: true, sums, upstream: "hull-register-17".into() };
    let digest = Digest { from: "entry-0442".into(), items: vec![item] };
    let bytes = postcard::to_stdvec(&digest).expect("encodes");
    assert!(bytes.len() <= 64, "{}", bytes.len());
    assert_eq!(postcard::from_bytes::<Digest>(&bytes).expect("decodes"), digest);
}

/// Two entries each saw one failure of an upstream that gets a request a minute from
/// each, too few to suspect it. The home entry, which never used the upstream, adds
/// up their evidence and must query all entries.
#[test]
fn handle_home_pools_evidence() {
    let mut home = Simulation::new(1, 8, &config(1.0), 1);
    let monitor = &mut home.monitors[0];
    let failure = (3.4 * Item::UNITS) as i16;
    let digest = |from: &str| {
        let item = Item { asks: false, sums: [[failure; 5]; 3], upstream: upstream_name(3) };
        Input::Digest(Digest { from: from.into(), items: vec![item] })
    };
    monitor.handle(seconds(1), digest("e8"));
    assert_eq!(monitor.handle(seconds(1), Input::Tick), []);
    monitor.handle(seconds(1), digest("e9"));
    let outputs = monitor.handle(seconds(1) + seconds(1) / 10, Input::Tick);
    let is_query =
        |output: &Output| matches!(output, Output::Share(digest) if digest.items[0].asks);
    assert!(outputs.iter().any(is_query), "{outputs:?}");
}
