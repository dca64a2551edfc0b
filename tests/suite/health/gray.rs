use std::time::Duration;

use hemlockfield::health::Input;
use hemlockfield::health::Kind;
use hemlockfield::health::Verdict;
use rstest::rstest;

use super::scene::Act;
use super::scene::Scene;
use super::scene::USUAL;
use super::scene::name;
use super::scene::seconds;
use super::scene::setup;

/// One upstream of eight goes gray after a sound half minute, at three requests a
/// second from each of eight entries. Callers see errors or waits until the
/// entries move off it; one entry alone would need several times as long, so they
/// must convict together. Nobody else may be ejected.
#[rstest]
#[case::errors(Act::failing(Kind::ServerError))]
#[case::cut(Act::failing(Kind::Cut))]
#[case::silent(Act { kind: Kind::Silent, latency: Duration::from_secs(1) })]
#[case::no_connection(Act::failing(Kind::ConnectFailed))]
#[case::late_end(Act::failing(Kind::Timeout))]
#[case::slow(Act::slow(6))]
fn handle_gray_kind(#[case] gray: Act, #[values(0.0, 1.0)] sensitivity: f64) {
    let mut scene = Scene::new(8, 8, &setup(sensitivity), 7);
    scene.run(seconds(30), 3.0, &|_, _, _| Act::SOUND);
    let limit = if sensitivity > 0.0 { seconds(2) } else { seconds(5) };
    scene.run(seconds(30) + limit, 3.0, &|_, upstream, _| {
        if upstream == 3 { gray } else { Act::SOUND }
    });
    for judge in &scene.judges {
        assert_eq!(judge.verdict(&name(3)), Verdict::Ejected);
    }
    for sound in (0..8).filter(|upstream| *upstream != 3) {
        assert_eq!(scene.ejections(sound), []);
    }
}

/// Three answers in ten are errors, so that hardly any entry sees two in a row;
/// callers see a third of their requests to it fail for as long as it stays.
#[test]
fn handle_partial_errors() {
    let mut scene = Scene::new(16, 8, &setup(1.0), 11);
    scene.run(seconds(30), 3.0, &|_, _, _| Act::SOUND);
    scene.run(seconds(34), 3.0, &|entry, upstream, now| {
        let turn = (now.as_millis() / 100) as usize + entry * 7;
        if upstream == 3 && turn % 10 < 3 { Act::failing(Kind::ServerError) } else { Act::SOUND }
    });
    let judges = scene.judges.iter();
    assert!(judges.clone().all(|judge| judge.verdict(&name(3)) == Verdict::Ejected));
    assert!(judges.clone().all(|judge| judge.verdict(&name(4)) == Verdict::Sound));
}

/// Answers of one upstream no longer reach a quarter of the entries. Those must
/// leave it; the others, whose callers get answers, must keep it, whatever the
/// unlucky entries tell them.
#[test]
fn handle_one_way() {
    let mut scene = Scene::new(16, 8, &setup(1.0), 5);
    scene.run(seconds(30), 3.0, &|_, _, _| Act::SOUND);
    scene.run(seconds(40), 3.0, &|entry, upstream, _| {
        let is_lost = upstream == 3 && entry < 4;
        if is_lost { Act { kind: Kind::Silent, latency: seconds(1) } } else { Act::SOUND }
    });
    for (entry, judge) in scene.judges.iter().enumerate() {
        let is_out = judge.verdict(&name(3)) != Verdict::Sound;
        assert_eq!(is_out, entry < 4, "entry {entry}");
    }
}

/// Requests to a silent upstream wait for seconds before they fail. Their waiting
/// is evidence by itself: the upstream must be out before the first gives up.
#[test]
fn handle_waiting() {
    let mut scene = Scene::new(1, 8, &setup(1.0), 3);
    scene.run(seconds(30), 10.0, &|_, _, _| Act::SOUND);
    let judge = &mut scene.judges[0];
    let mut now = scene.now;
    for tick in 1..=10_u32 {
        now += USUAL * 4;
        let ages = (1..=tick).map(|age| USUAL * 4 * age).collect();
        judge.handle(now, Input::Pending { ages, upstream: name(3) });
        judge.handle(now, Input::Tick);
    }
    assert_eq!(judge.verdict(&name(3)), Verdict::Ejected);
}
