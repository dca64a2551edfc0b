//! What every process holds, over faults.

use std::time::Duration;

use hemlockfield::config::Input;
use hemlockfield::config::Message;
use hemlockfield::config::Standing;
use hemlockfield::fake::Weather;
use rstest::rstest;

use super::site::Site;
use super::site::ms;
use super::site::version;

fn rough() -> Weather {
    Weather { loss: 0.05, duplication: 0.05, delay_min: ms(1), delay_max: ms(40) }
}

#[rstest]
#[case::fair(Weather::fair())]
#[case::rough(rough())]
fn spread_versions(#[case] weather: Weather) {
    let mut site = Site::new(1, 12, weather);
    for number in 2..40 {
        site.commit(number);
        site.run(ms(500));
    }
    site.run(ms(20_000));
    assert!(site.all_hold(39));
}

/// Control is unreachable for eight hours, then comes back with a change.
/// Callers are served all the time by the version in force: nothing can have been
/// accepted meanwhile, and peers still hear each other. An entry that restarts
/// without a disk in that time takes the version from peers, and then serves.
#[test]
fn handle_control_away() {
    let mut site = Site::new(2, 8, rough());
    site.isolate(0);
    site.run(ms(600_000));
    site.start(3, None);
    assert_eq!(site.standing(3), Standing::Starting);
    site.run(ms(8_000));
    assert_eq!((site.number(3), site.standing(3)), (Some(1), Standing::Serving));
    site.now += Duration::from_secs(8 * 3600);
    site.run(ms(30_000));
    assert!((1..8).all(|index| site.standing(index) == Standing::Serving));
    site.net.heal_all();
    site.commit(2);
    site.run(ms(40_000));
    assert!(site.all_hold(2));
}

/// An entry held version 2 and restarts without its disk. The first peers that it
/// hears are cut off from the rest and still hold version 1.
/// It takes no callers by version 1 while control or others can be asked, since
/// the leader's answer names version 2 and a higher number has to be fetched first.
#[test]
fn restart_beside_stale_peer() {
    let mut site = Site::new(3, 8, Weather::fair());
    site.isolate(1);
    site.commit(2);
    site.run(ms(5_000));
    assert_eq!((site.number(1), site.number(4)), (Some(1), Some(2)));
    site.start(4, None);
    site.net.heal(&Site::id(1), &Site::id(4));
    site.net.heal(&Site::id(4), &Site::id(1));
    site.run(ms(10_000));
    assert_eq!((site.number(4), site.standing(4)), (Some(2), Standing::Serving));
}

/// A replica that lost contact believes in version 1 and is asked by a restarted
/// entry that held version 2. It does not prove that it leads, so its answer
/// counts as one peer's only, and the entry starts by the peers' version 2.
#[test]
fn restart_beside_stale_control() {
    let mut site = Site::new(4, 8, Weather::fair());
    site.input(0, Input::Leads(false));
    site.isolate(0);
    let message = Message::Whole(version(2));
    site.input(1, Input::Receive { from: Site::id(0), message });
    site.run(ms(10_000));
    assert_eq!(site.number(5), Some(2));
    site.net.heal(&Site::id(0), &Site::id(5));
    site.net.heal(&Site::id(5), &Site::id(0));
    site.start(5, None);
    site.run(ms(1_000));
    assert_eq!(site.standing(5), Standing::Starting);
    site.run(ms(10_000));
    assert_eq!((site.number(5), site.standing(5)), (Some(2), Standing::Serving));
}

/// An entry restarts, cut off from all others. With or without a disk it takes no
/// callers for as long as that lasts: a version newer than that on its disk may
/// have been in force here. Callers are at the other entries.
#[rstest]
#[case::with_disk(true)]
#[case::without_disk(false)]
fn restart_alone(#[case] disk: bool) {
    let mut site = Site::new(5, 4, Weather::fair());
    site.isolate(3);
    site.start(3, disk.then(|| version(1)));
    site.run(ms(600_000));
    assert_eq!(site.standing(3), Standing::Starting);
    site.net.heal_all();
    site.run(ms(5_000));
    assert_eq!((site.number(3), site.standing(3)), (Some(1), Standing::Serving));
}

/// An entry is cut off while it serves. It goes on by what it holds and says so
/// after a minute; back in contact it catches up, without a restart.
#[test]
fn handle_cut_off() {
    let mut site = Site::new(6, 8, Weather::fair());
    site.isolate(7);
    site.commit(2);
    site.run(ms(90_000));
    assert_eq!((site.number(7), site.standing(7)), (Some(1), Standing::ServingAlone));
    site.net.heal_all();
    site.run(ms(30_000));
    assert_eq!((site.number(7), site.standing(7)), (Some(2), Standing::Serving));
}

/// Every process restarts at once while control is away; one has a disk. The
/// others have nothing to go by, and take what that one kept, after 30 s in which
/// any process that still serves would have answered.
#[test]
fn restart_all_without_control() {
    let mut site = Site::new(7, 6, Weather::fair());
    site.isolate(0);
    for index in 1..6 {
        site.start(index, (index == 2).then(|| version(1)));
    }
    site.run(ms(29_000));
    assert!((1..6).all(|index| site.standing(index) == Standing::Starting));
    site.run(ms(10_000));
    assert!((1..6).all(|index| (site.number(index), site.standing(index)) == (Some(1), Standing::Serving)));
}

/// The leader's answer to a question of the process before the restart arrives
/// late. It does not count: this process may have served a newer version since.
#[test]
fn handle_answer_to_earlier_life() {
    let mut site = Site::new(8, 4, Weather::fair());
    site.isolate(3);
    site.start(3, Some(version(1)));
    let (head, standing) = (Some(version(1).head()), Standing::Serving);
    let message = Message::Answer { ask: 7, head, leads: true, standing };
    site.input(3, Input::Receive { from: Site::id(0), message });
    assert_eq!(site.standing(3), Standing::Starting);
}

#[test]
fn handle_damaged_patch() {
    let mut site = Site::new(9, 4, Weather::fair());
    let mut patch = hemlockfield::config::Patch::between(&version(1), &version(2));
    patch.steps.clear();
    let message = Message::Patches(vec![patch]);
    site.input(2, Input::Receive { from: Site::id(1), message });
    assert_eq!(site.number(2), Some(1));
    site.commit(2);
    site.run(ms(10_000));
    assert!(site.all_hold(2));
}

#[test]
fn handle_split_number() {
    let mut site = Site::new(10, 2, Weather::fair());
    let other = hemlockfield::config::Version::new(1, "x".into(), "other");
    site.input(1, Input::Receive { from: Site::id(0), message: Message::Whole(other) });
    assert_eq!(site.replicators[&Site::id(1)].current().unwrap().document, version(1).document);
    assert_eq!(site.replicators[&Site::id(1)].hash_conflicts(), 1);
}

/// Twenty seeds of restarts, cuts and changes: no process goes back, which the
/// site checks at every step, and all agree when the faults end.
#[test]
fn handle_any_faults() {
    for seed in 100..120 {
        let mut site = Site::new(seed, 9, rough());
        for number in 2..30 {
            let one = 1 + (seed * 7 + number * 5) as usize % 8;
            let two = 1 + (seed * 3 + number * 11) as usize % 8;
            match number % 4 {
                0 => site.start(one, None),
                1 => site.isolate(one),
                2 => site.net.cut(&Site::id(one), &Site::id(two)),
                _ => site.net.heal_all(),
            }
            site.commit(number);
            site.run(ms(2_000 + number * 100));
        }
        site.net.heal_all();
        site.run(ms(60_000));
        assert!(site.all_hold(29), "seed {seed}");
    }
}
