use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::health::Kind;
use hemlockfield::health::Output;
use hemlockfield::health::Verdict;

use super::scene::Act;
use super::scene::Scene;
use super::scene::name;
use super::scene::seconds;
use super::scene::setup;

/// An upstream fails for ten seconds and is repaired. It must come back by itself,
/// first with a small share of real load, and then in full.
#[test]
fn handle_return() {
    let mut scene = Scene::new(4, 8, &setup(0.5), 1);
    scene.run(seconds(30), 5.0, &|_, _, _| Act::SOUND);
    scene.run(seconds(40), 5.0, &|_, upstream, _| {
        if upstream == 3 { Act::failing(Kind::ServerError) } else { Act::SOUND }
    });
    scene.run(seconds(90), 5.0, &|_, _, _| Act::SOUND);
    let is_trial = |output: &Output| matches!(output, Output::Trial { .. });
    assert!(scene.outputs.iter().any(|(.., output)| is_trial(output)));
    let judges = scene.judges.iter();
    assert!(judges.into_iter().all(|judge| judge.verdict(&name(3)) == Verdict::Sound));
}

/// A trial meets the old failure. The upstream must go out again after a few
/// requests, or callers pay the whole detection each time.
#[test]
fn handle_failed_trial() {
    let mut scene = Scene::new(1, 8, &setup(0.0), 1);
    scene.run(seconds(30), 5.0, &|_, _, _| Act::SOUND);
    let failing = |_, upstream, _| if upstream == 3 { Act::failing(Kind::Cut) } else { Act::SOUND };
    scene.run(seconds(120), 5.0, &failing);
    let is_readmission = |output: &Output| matches!(output, Output::Readmit { .. });
    assert!(!scene.outputs.iter().any(|(.., output)| is_readmission(output)));
    assert!(scene.ejections(3).len() > 1);
}

/// An upstream is bad for four seconds and good for four, for ten minutes. Each
/// return costs callers the same errors again, so holds must grow.
#[test]
fn handle_flapping() {
    let mut scene = Scene::new(1, 8, &setup(1.0), 4);
    scene.run(seconds(30), 5.0, &|_, _, _| Act::SOUND);
    scene.run(seconds(630), 5.0, &|_, upstream, now: Moment| {
        let is_bad = upstream == 3 && (now.as_secs() / 4).is_multiple_of(2);
        if is_bad { Act::failing(Kind::ServerError) } else { Act::SOUND }
    });
    let times: Vec<Moment> = scene.ejections(3).into_iter().map(|(at, _)| at).collect();
    let gaps: Vec<Duration> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let (early, late) = gaps.split_at(gaps.len() / 2);
    assert!(late.iter().sum::<Duration>() > early.iter().sum::<Duration>() * 3, "{gaps:?}");
    assert!(times.len() <= 8, "{times:?}");
}
