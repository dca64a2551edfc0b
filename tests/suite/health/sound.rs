use hemlockfield::health::Digest;
use hemlockfield::health::Input;
use hemlockfield::health::Item;
use hemlockfield::health::Kind;
use hemlockfield::health::Verdict;
use rstest::rstest;

use super::scene::Act;
use super::scene::Scene;
use super::scene::name;
use super::scene::seconds;
use super::scene::setup;

/// The old register answers three times slower than its peers, always has, and is
/// sound. Ejected, its capacity can't be replaced. It is judged by its own past,
/// so it stays at both ends of the knob, over seeds.
#[rstest]
fn handle_slow_but_sound(#[values(0.0, 1.0)] sensitivity: f64) {
    for seed in 0..20 {
        let mut scene = Scene::new(8, 8, &setup(sensitivity), seed);
        scene.run(seconds(60), 3.0, &|_, upstream, _| {
            if upstream < 2 { Act::slow(3) } else { Act::SOUND }
        });
        assert_eq!(scene.ejections(0), []);
        assert_eq!(scene.ejections(1), []);
    }
}

/// Everything fails or slows down at once, as when a network or a store behind
/// all upstreams does. Ejecting would only crowd callers on the rest.
#[rstest]
#[case::errors(Act::failing(Kind::ServerError))]
#[case::slow(Act::slow(8))]
fn handle_shared_cause(#[case] gray: Act) {
    let mut scene = Scene::new(8, 8, &setup(1.0), 2);
    scene.run(seconds(30), 3.0, &|_, _, _| Act::SOUND);
    scene.run(seconds(50), 3.0, &|_, _, _| gray);
    let all: Vec<_> = (0..8).flat_map(|upstream| scene.ejections(upstream)).collect();
    assert_eq!(all, []);
}

/// An upstream that sheds load says that it is full, not that it is ill. Were
/// refusals failures, a burst would eject the upstreams that take the most.
#[test]
fn handle_refusals() {
    let mut scene = Scene::new(4, 8, &setup(1.0), 2);
    scene.run(seconds(30), 3.0, &|_, _, _| Act::SOUND);
    scene.run(seconds(40), 3.0, &|_, upstream, _| {
        if upstream == 3 { Act::failing(Kind::Refused) } else { Act::SOUND }
    });
    assert_eq!(scene.ejections(3), []);
}

/// One entry with a fault of its own blames an upstream that the others see
/// answer. However much it claims, its word alone must convict nowhere else.
#[test]
fn handle_one_accuser() {
    let mut scene = Scene::new(2, 8, &setup(1.0), 2);
    scene.run(seconds(30), 3.0, &|_, _, _| Act::SOUND);
    let item = Item { asks: true, sums: [[i16::MAX; 5]; 3], upstream: name(3) };
    for _ in 0..100 {
        let digest = Digest { from: "e9".into(), items: vec![item.clone()] };
        scene.judges[0].handle(scene.now, Input::Digest(digest));
        scene.run(scene.now + seconds(1), 3.0, &|_, _, _| Act::SOUND);
    }
    assert_eq!(scene.ejections(3), []);
    assert_eq!(scene.judges[0].verdict(&name(3)), Verdict::Sound);
}
