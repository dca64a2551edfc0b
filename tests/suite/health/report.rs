use hemlockfield::health::Input;
use hemlockfield::health::Kind;
use hemlockfield::health::Verdict;

use super::scene::Act;
use super::scene::Scene;
use super::scene::name;
use super::scene::seconds;
use super::scene::setup;

/// The upstream's health endpoint says "well" while callers get errors from it.
/// Its word must not slow the conviction down.
#[test]
fn handle_false_health() {
    let detect = |is_lying: bool| {
        let mut scene = Scene::new(4, 8, &setup(0.5), 9);
        scene.run(seconds(30), 3.0, &|_, _, _| Act::SOUND);
        while scene.ejections(3).is_empty() && scene.now < seconds(60) {
            for judge in scene.judges.iter_mut().filter(|_| is_lying) {
                judge.handle(scene.now, Input::Report { healthy: true, upstream: name(3) });
            }
            let next = scene.now + seconds(1) / 10;
            scene.run(next, 3.0, &|_, upstream, _| {
                if upstream == 3 { Act::failing(Kind::ServerError) } else { Act::SOUND }
            });
        }
        scene.ejections(3).first().copied()
    };
    assert!(detect(false).is_some());
    assert_eq!(detect(true), detect(false));
}

/// A sound upstream's health endpoint says "ill" for a minute, because it lags or
/// is wrong. Callers get their answers, so it stays, at the fast end of the knob.
#[test]
fn handle_false_illness() {
    let mut scene = Scene::new(4, 8, &setup(1.0), 9);
    for second in 1..=60 {
        for judge in &mut scene.judges {
            judge.handle(scene.now, Input::Report { healthy: false, upstream: name(3) });
        }
        scene.run(seconds(second), 3.0, &|_, _, _| Act::SOUND);
    }
    assert_eq!(scene.ejections(3), []);
    assert_eq!(scene.judges[0].verdict(&name(3)), Verdict::Sound);
}
