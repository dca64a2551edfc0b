//! Upstreams and entries that leave while callers are served.

use std::process::Output;
use std::thread;
use std::thread::JoinHandle;

use rstest::rstest;

use super::fleet::Fleet;
use super::fleet::Process;
use super::fleet::ask;
use super::fleet::hemlockfield;
use super::fleet::load;
use super::fleet::runs;
use super::fleet::text;
use super::fleet::wait_for;
use super::path::RULES;

const KEY: &str = "idempotency-key: sign-off-7\r\ncontent-length: 0\r\n";

fn served(entries: usize) -> Fleet {
    let mut fleet = Fleet::start(3, entries);
    fleet.submit(1, RULES);
    for at in 1..=3 {
        fleet.add_upstream(&format!("hull-{at}"), "hull-register", &["--work", "5"]);
    }
    fleet
}

fn begin_load(fleet: &Fleet, seconds: &str) -> JoinHandle<Output> {
    let arguments = load(fleet, seconds);
    thread::spawn(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        hemlockfield(&arguments)
    })
}

fn begun(fleet: &Fleet, upstream: usize) -> u64 {
    runs(&fleet.upstreams[upstream])["begun"].as_u64().unwrap()
}

/// Waits until more than `count` requests of a running load have begun at the first upstream, and
/// returns the load.
fn wait_for_work(fleet: &Fleet, running: JoinHandle<Output>, count: u64) -> JoinHandle<Output> {
    wait_for("work", || begun(fleet, 0) > count || running.is_finished());
    if begun(fleet, 0) > count {
        return running;
    }
    let each: Vec<u64> = (0..fleet.upstreams.len()).map(|at| begun(fleet, at)).collect();
    let services = |entry: &Process| entry.status().map(|status| status["services"].to_string());
    let services: Vec<_> = fleet.entries.iter().map(services).collect();
    let report = text(&running.join().unwrap());
    panic!("the load is over, begun at each upstream: {each:?}\n{report}\n{services:#?}");
}

/// Sums of a column of the load's report, over all kinds.
fn column(report: &str, name: &str) -> u64 {
    let lines: Vec<&str> = report.lines().filter(|line| !line.is_empty()).collect();
    let head = lines.iter().position(|line| line.starts_with("kind")).unwrap();
    let at = lines[head].split_whitespace().position(|word| word == name).unwrap();
    let rows = lines[head + 1..].iter().take_while(|line| !line.starts_with("doubled"));
    rows.map(|row| row.split_whitespace().nth(at).unwrap().parse::<u64>().unwrap()).sum()
}

// An upstream says that it drains, under load. Callers notice nothing. Once no entry uses
// it any more, it begins no new request, though the load goes on and others serve it.
#[test]
fn drain_upstream() {
    let fleet = served(3);
    let running = wait_for_work(&fleet, begin_load(&fleet, "6"), 0);
    ask(fleet.upstreams[0].callers, "POST /_drain", "content-length: 0\r\n");
    wait_for("the drain to settle", || {
        !fleet.entries.iter().any(|entry| entry.uses("hull-register", "hull-1"))
    });
    let (settled, others) = (begun(&fleet, 0), begun(&fleet, 1));
    wait_for("work elsewhere", || begun(&fleet, 1) > others + 20);
    let done = running.join().unwrap();
    assert_eq!(begun(&fleet, 0), settled);
    assert!(done.status.success(), "{}", text(&done));
}

// An entry is told to leave, by SIGTERM or by an operator's `drain`, while callers are
// served. It leaves the callers' lists, serves those who still come, and ends by itself
// with 0. No answer was cut, lost or wrong: new callers were sent elsewhere, and each
// connection ended after a whole answer.
#[rstest]
#[case::signal(true)]
#[case::operator(false)]
fn drain_entry(#[case] by_signal: bool) {
    let mut fleet = served(3);
    let running = wait_for_work(&fleet, begin_load(&fleet, "6"), 20);
    if by_signal {
        fleet.entries[0].signal("TERM");
    } else {
        let node = fleet.entries[0].operators.to_string();
        let done = hemlockfield(&["drain", "--node", &node]);
        assert!(done.status.success(), "{}", text(&done));
    }
    assert_eq!(fleet.entries[0].wait(), Some(0));
    let done = running.join().unwrap();
    let report = text(&done);
    assert!(done.status.success(), "{report}");
    for name in ["cut", "nothing", "wrong", "unknown", "failed"] {
        assert_eq!(column(&report, name), 0, "{name}\n{report}");
    }
}

// A sign-off takes longer than the lists that name its entry live, and the entry gets
// SIGTERM in the midst of it. The entry waits: the caller gets its whole answer, control
// learns the outcome, and the process ends with 0. The same key sent through another entry
// gets the answer that was kept; the upstream ran it once.
#[test]
fn signal_during_sign_off() {
    let mut fleet = Fleet::start(3, 3);
    fleet.submit(1, &RULES.replace("deadline: 5s", "deadline: 30s"));
    fleet.add_upstream("hull-1", "hull-register", &["--work", "9500"]);
    let sign_off = |entry| ask(entry, "POST /findings/1", KEY);
    let first = fleet.entries[0].callers;
    let running = thread::spawn(move || sign_off(first));
    wait_for("the request to run", || begun(&fleet, 0) > 0);
    fleet.entries[0].signal("TERM");
    assert_eq!(fleet.entries[0].wait(), Some(0));
    let answer = running.join().unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let again = sign_off(fleet.entries[1].callers).to_lowercase();
    assert!(again.starts_with("http/1.1 200"), "{again}");
    assert!(again.contains("x-hemlockfield-replayed: true"), "{again}");
    assert_eq!(runs(&fleet.upstreams[0])["runs"]["sign-off-7"], 1);
}

// The same with a lookup, for which control waits for nothing: the entry waits all the same.
#[test]
fn signal_during_lookup() {
    let mut fleet = Fleet::start(1, 3);
    fleet.submit(1, &RULES.replace("deadline: 5s", "deadline: 30s"));
    fleet.add_upstream("hull-1", "hull-register", &["--work", "9500"]);
    let first = fleet.entries[0].callers;
    let running = thread::spawn(move || ask(first, "GET /hulls/1", ""));
    wait_for("the request to run", || begun(&fleet, 0) > 0);
    fleet.entries[0].signal("TERM");
    assert_eq!(fleet.entries[0].wait(), Some(0));
    let answer = running.join().unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

// A request takes seconds when its entry is told to leave. The entry waits for it. The
// operator can't wait and sends a second SIGTERM: the process ends at once, and says by
// its exit code 1 that it cut something.
#[test]
fn signal_twice() {
    let mut fleet = Fleet::start(1, 3);
    fleet.submit(1, RULES);
    fleet.add_upstream("hull-1", "hull-register", &["--work", "4500"]);
    let first = fleet.entries[0].callers;
    let cut = thread::spawn(move || ask(first, "GET /hulls/1", ""));
    wait_for("the request to run", || begun(&fleet, 0) > 0);
    fleet.entries[0].signal("TERM");
    wait_for("the entry to leave", || {
        let left =
            |member: &serde_json::Value| member["id"] == "entry-1" && member["state"] == "Leaving";
        let status = fleet.entries[1].status();
        status.is_some_and(|status| status["members"].as_array().unwrap().iter().any(left))
    });
    fleet.entries[0].signal("TERM");
    assert_eq!(fleet.entries[0].wait(), Some(1));
    let answer = cut.join().unwrap();
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
}
