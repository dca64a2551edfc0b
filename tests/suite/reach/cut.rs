//! What callers of an entry that is cut off receive, and what they are told.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use super::fleet::Fleet;
use super::network::Form;
use crate::process::fleet::wait_for;

/// Time after which an entry that lost its way to the upstreams serves callers all the same, and
/// callers are told of others.
const BOUND: Duration = Duration::from_secs(3);
const REQUESTS: usize = 30;

fn count_served(fleet: &Fleet, entry: usize, service: &str) -> usize {
    (0..REQUESTS).filter(|_| fleet.look(entry, service) == 200).count()
}

// Callers of an entry that has lost its way to the upstreams must not be refused for as long as
// that lasts, while all other entries serve.
#[rstest]
#[case::hang(&[0], Form::Hang, None)]
#[case::reset(&[0], Form::Reset, None)]
#[case::keep_open(&[0], Form::KeepOpen, None)]
#[case::one_way(&[0], Form::OneWay, None)]
#[case::one_service(&[0], Form::Hang, Some("hull"))]
#[case::domain(&[0, 1], Form::Hang, None)]
#[case::most(&[0, 1, 2], Form::Reset, None)]
fn serve_cut_entry(
    #[case] entries: &[usize],
    #[case] form: Form,
    #[case] service: Option<&'static str>,
) {
    let fleet = Fleet::start();
    let callers = fleet.callers();
    fleet.cut(entries, form, service);
    thread::sleep(BOUND);
    let listed: Vec<usize> = (0..4).filter(|entry| fleet.is_listed(*entry)).collect();
    let services = if service.is_some() { &["hull"][..] } else { &["hull", "cert"] };
    let count = |entry: &usize, service: &&str| count_served(&fleet, *entry, service);
    let served = entries.iter().flat_map(|entry| services.iter().map(move |it| count(entry, it)));
    let served: Vec<usize> = served.collect();
    let sound: Vec<usize> = (0..4).filter(|entry| !entries.contains(entry)).collect();
    let all = vec![REQUESTS; served.len()];
    assert_eq!((listed, served), (sound, all), "entries that callers are told of, and answers");
    drop(callers);
}

// Once an entry reaches the upstreams again, it serves by itself and callers are told of it.
#[rstest]
fn return_after_cut(#[values(Form::Hang, Form::Reset)] form: Form) {
    let fleet = Fleet::start();
    let _callers = fleet.callers();
    fleet.cut(&[0], form, None);
    wait_for("another list", || !fleet.is_listed(0));
    fleet.heal();
    let healed = Instant::now();
    wait_for("its own answers", || {
        let before = fleet.metric(0, "forward.sent");
        count_served(&fleet, 0, "hull") == REQUESTS && fleet.metric(0, "forward.sent") == before
    });
    assert!(healed.elapsed() < BOUND, "{:?}", healed.elapsed());
    wait_for("the old list", || fleet.is_listed(0));
    assert!(healed.elapsed() < 2 * BOUND, "{:?}", healed.elapsed());
}

// What an entry that is cut off fails to reach must not take sound upstreams from the other
// entries, nor from itself once it is back.
#[rstest]
fn learn_nothing_false(#[values(Form::Hang, Form::Reset)] form: Form) {
    let fleet = Fleet::start();
    let callers = fleet.callers();
    fleet.cut(&[0, 1], form, None);
    thread::sleep(BOUND);
    let out = |entry| fleet.metric(entry, "upstream.out") + fleet.metric(entry, "upstream.last");
    // Connections that were open are reset with a request on them, which other entries can't tell
    // from an upstream that breaks answers.
    let allowed = if form == Form::Reset { 2 } else { 0 };
    assert!(out(2) <= allowed && out(3) <= allowed, "{} and {} out elsewhere", out(2), out(3));
    fleet.heal();
    thread::sleep(BOUND);
    drop(callers);
    assert_eq!([out(0), out(1), out(2), out(3)], [0; 4]);
}

/// A fleet whose first entry passes its callers' requests on to another one.
fn fleet_with_forwarding() -> Fleet {
    let fleet = Fleet::start();
    fleet.cut(&[0], Form::Hang, None);
    wait_for("another entry's answer", || {
        fleet.look(0, "hull") == 200 && fleet.metric(0, "forward.answered") > 0
    });
    fleet
}

// An entry passed on an answer of an upstream that leaves, and would have sent it requests of its own once
// it reached it again.
#[test]
fn learn_leaving_of_others() {
    let fleet = fleet_with_forwarding();
    assert_eq!(fleet.metric(0, "upstream.leaving"), 0);
    fleet.set_lines("hull", "Server-Leaving: 1\r\n");
    assert_eq!(fleet.look(0, "hull"), 200);
    wait_for("word of it", || fleet.metric(0, "upstream.leaving") > 0);
}

// An upstream's answer has the headers by which entries tell each other that nothing was sent, or who leaves.
// A request that may run once ran twice, and another upstream was left alone.
#[test]
fn sign_once_by_upstream_with_headers_of_entries() {
    let fleet = fleet_with_forwarding();
    fleet.set_lines("hull", "x-hemlockfield-unreached: true\r\nx-hemlockfield-leaving: i-0\r\n");
    let arrivals = || fleet.count_arrivals("hull", Duration::from_secs(60));
    let before = arrivals();
    assert_eq!(fleet.sign(0, "hull"), 200);
    assert_eq!(arrivals() - before, 1);
    assert_eq!(fleet.metric(0, "upstream.leaving"), 0);
}

// No entry reaches the upstreams: callers are still told of entries, as there are no better ones,
// are refused at once, and are served as soon as the upstreams are back.
#[rstest]
fn serve_all_cut(#[values(Form::Hang, Form::Reset)] form: Form) {
    let fleet = Fleet::start();
    let callers = fleet.callers();
    fleet.cut(&[0, 1, 2, 3], form, None);
    thread::sleep(BOUND);
    assert!((0..4).all(|entry| fleet.is_listed(entry)));
    let asked = Instant::now();
    assert_eq!(fleet.look(0, "hull"), 503);
    assert!(asked.elapsed() < Duration::from_millis(600), "{:?}", asked.elapsed());
    fleet.heal();
    let healed = Instant::now();
    wait_for("answers", || (0..4).all(|entry| fleet.look(entry, "hull") == 200));
    assert!(healed.elapsed() < BOUND, "{:?}", healed.elapsed());
    drop(callers);
}

// Requests that may run once are served by other entries too, and each runs once.
#[test]
fn sign_once() {
    let fleet = Fleet::start();
    let callers = fleet.callers();
    fleet.cut(&[0], Form::Hang, Some("cert"));
    wait_for("the lost path", || !fleet.is_listed(0));
    drop(callers);
    thread::sleep(Duration::from_millis(500));
    let started = Instant::now();
    for _ in 0..REQUESTS {
        assert_eq!(fleet.sign(0, "cert"), 200);
    }
    assert_eq!(fleet.count_arrivals("cert", started.elapsed()), REQUESTS);
    assert!(fleet.metric(0, "forward.answered") >= REQUESTS);
}

// The entry that is cut off opens connections until it is back, but few: a rush of checks would
// reach the upstreams of a whole failure domain at its return.
#[test]
fn check_few() {
    let fleet = Fleet::start();
    let callers = fleet.callers();
    fleet.cut(&[0], Form::Hang, None);
    wait_for("the lost path", || !fleet.is_listed(0));
    drop(callers);
    thread::sleep(Duration::from_secs(1));
    let opened = fleet.opened(0);
    fleet.heal();
    thread::sleep(BOUND);
    let checks = fleet.opened(0) - opened;
    assert!((2..=6).contains(&checks), "{checks} connections");
}

// All paths break at once, as if all upstreams had ended under what was in flight. After that the callers'
// requests were refused for a minute.
#[rstest]
fn quarantine_none(#[values(Form::Hang, Form::Reset)] form: Form) {
    let fleet = Fleet::start();
    let callers = fleet.callers();
    for _ in 0..3 {
        fleet.cut(&[0, 1, 2, 3], form, None);
        thread::sleep(BOUND / 2);
        fleet.heal();
        wait_for("answers", || (0..4).all(|entry| fleet.look(entry, "hull") == 200));
    }
    drop(callers);
    let count = |kind| (0..4).map(|entry| fleet.metric(entry, kind)).sum::<usize>();
    assert_eq!([count("upstream.ended"), count("request.quarantined")], [0, 0]);
}
