//! Tests of `hemlockfield::catalog`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use hemlockfield::catalog::Action;
use hemlockfield::catalog::Batcher;
use hemlockfield::catalog::Catalog;
use hemlockfield::catalog::Change;
use hemlockfield::registry::Announcement;
use hemlockfield::registry::State;
use rstest::rstest;

fn change(id: &str, service: &str, address: &str, sequence: u64, state: State) -> Change {
    let announcement = Announcement {
        address: address.parse().unwrap(),
        connections: 300,
        domain: "north".into(),
        incarnation: 1,
        lease: Duration::ZERO,
        service: service.into(),
        slots: 4,
        state,
        upstream: id.into(),
        warm_up: Duration::ZERO,
    };
    Change { announcement, sequence }
}

fn ready(id: &str, service: &str, address: &str, sequence: u64) -> Action {
    Action::Announce(change(id, service, address, sequence, State::Ready))
}

fn ids(catalog: &Catalog) -> Vec<&str> {
    catalog.upstreams().map(|announcement| announcement.upstream.as_str()).collect()
}

// An upstream crashes without reporting it, and an upstream of another service gets its
// address. The first must be removed, since requests for its service would be refused there.
// A late announcement of the first must neither add it again nor remove the second.
#[test]
fn apply_reused_address() {
    let mut catalog = Catalog::default();
    catalog.apply(1, &ready("i-1", "hull", "10.0.0.1:80", 1));
    assert!(catalog.apply(2, &ready("i-2", "cert", "10.0.0.1:80", 1)).is_changed());
    assert_eq!(ids(&catalog), ["i-2"]);
    assert_eq!(catalog.since(1).gone, ["i-1"]);
    assert!(!catalog.apply(3, &ready("i-1", "hull", "10.0.0.1:80", 9)).is_changed());
    assert_eq!(ids(&catalog), ["i-2"]);
}

// Announcements arrive out of order. An older one must change nothing, and a draining
// upstream must not become ready again.
#[test]
fn apply_late_announcement() {
    let mut catalog = Catalog::default();
    catalog.apply(1, &ready("i-1", "hull", "10.0.0.1:80", 5));
    let drain = change("i-1", "hull", "10.0.0.1:80", 7, State::Draining);
    assert!(catalog.apply(2, &Action::Announce(drain)).is_changed());
    assert!(!catalog.apply(3, &ready("i-1", "hull", "10.0.0.1:80", 6)).is_changed());
    assert!(!catalog.apply(4, &ready("i-1", "hull", "10.0.0.1:80", 8)).is_changed());
    assert_eq!(catalog.get(&"i-1".into()).unwrap().state, State::Draining);
}

// A late announcement must not add an upstream again that has left.
#[test]
fn apply_late_after_leave() {
    let mut catalog = Catalog::default();
    catalog.apply(1, &ready("i-1", "hull", "10.0.0.1:80", 5));
    assert!(catalog.apply(2, &Action::Leave("i-1".into())).is_changed());
    assert!(!catalog.apply(3, &ready("i-1", "hull", "10.0.0.1:80", 6)).is_changed());
    assert!(ids(&catalog).is_empty());
}

// An entry that asks for the changes since an index must get no others.
#[test]
fn since_changed() {
    let mut catalog = Catalog::default();
    catalog.apply(1, &ready("i-1", "hull", "10.0.0.1:80", 1));
    catalog.apply(2, &ready("i-2", "hull", "10.0.0.2:80", 1));
    catalog.apply(3, &Action::Leave("i-1".into()));
    let delta = catalog.since(1);
    assert_eq!(delta.upstreams.len(), 1);
    assert_eq!(delta.gone, ["i-1"]);
    assert!(!delta.whole);
    assert!(catalog.since(3).is_empty());
}

/// The same announcement from the given incarnation of the upstream.
fn announce_from(incarnation: u64, change: Change) -> Action {
    let announcement = Announcement { incarnation, ..change.announcement };
    Action::Announce(Change { announcement, ..change })
}

// An upstream crashes, restarts with the same id at another address and numbers its
// announcements from one. The new address must replace the old one: by sequence numbers alone
// the announcement would be late, and requests would go to an unused address. A late
// announcement of the first incarnation must change nothing.
#[test]
fn apply_restart() {
    let mut catalog = Catalog::default();
    let first = change("i-1", "hull", "10.0.0.1:80", 40, State::Ready);
    catalog.apply(1, &announce_from(1_000, first.clone()));
    let second = change("i-1", "hull", "10.0.0.2:80", 1, State::Ready);
    assert!(catalog.apply(2, &announce_from(2_000, second)).is_changed());
    assert_eq!(catalog.get(&"i-1".into()).unwrap().address, "10.0.0.2:80".parse().unwrap());
    let late = Change { sequence: 41, ..first };
    assert!(!catalog.apply(3, &announce_from(1_000, late)).is_changed());
    assert_eq!(catalog.get(&"i-1".into()).unwrap().address, "10.0.0.2:80".parse().unwrap());
}

// An upstream restarts with the same id after it drained or left. It must become ready again,
// whatever the previous incarnation announced last.
#[test]
fn apply_restart_after_leave() {
    let mut catalog = Catalog::default();
    let first = change("i-1", "hull", "10.0.0.1:80", 9, State::Draining);
    catalog.apply(1, &announce_from(1_000, first.clone()));
    let second = change("i-1", "hull", "10.0.0.1:80", 1, State::Ready);
    assert!(catalog.apply(2, &announce_from(2_000, second)).is_changed());
    assert_eq!(catalog.get(&"i-1".into()).unwrap().state, State::Ready);
    catalog.apply(3, &Action::Leave("i-1".into()));
    let late = announce_from(2_000, change("i-1", "hull", "10.0.0.1:80", 5, State::Ready));
    assert!(!catalog.apply(4, &late).is_changed());
    let third = announce_from(3_000, change("i-1", "hull", "10.0.0.1:80", 1, State::Ready));
    assert!(catalog.apply(5, &third).is_changed());
    assert_eq!(ids(&catalog), ["i-1"]);
    assert_eq!(catalog.since(3).gone, Vec::<&str>::new());
}

// A table received in pages must not keep upstreams that are gone.
#[rstest]
fn page_all_changes(#[values(1, 7, 40, 1_000)] limit: usize) {
    let mut catalog = Catalog::default();
    let mut index = 0;
    for at in 0..100 {
        index += 1;
        let address = format!("10.0.0.{}:80", at % 60);
        catalog.apply(index, &ready(&format!("i-{at}"), "hull", &address, 1));
        if at % 9 == 0 {
            index += 1;
            catalog.apply(index, &Action::Leave(format!("i-{}", at / 2).into()));
        }
    }
    let mut known = BTreeSet::new();
    let mut base = 0;
    loop {
        let (delta, end) = catalog.page(base, 0, limit, |_| true);
        assert!(delta.upstreams.len() + delta.gone.len() <= limit + 2);
        delta.gone.iter().for_each(|id| {
            known.remove(id);
        });
        known.extend(delta.upstreams.into_iter().map(|announcement| announcement.upstream));
        let Some(end) = end else { break };
        assert!(end > base);
        base = end;
    }
    let all: BTreeSet<_> = catalog.upstreams().map(|it| it.upstream.clone()).collect();
    assert_eq!(known, all);
}

/// Controls that take announcements.
const CONTROLS: usize = 19;
const UPSTREAMS: usize = 10_001;
/// Time in milliseconds within which all upstreams announce themselves, and after which one that
/// is not answered turns to the next control.
const SPREAD: usize = 5_000;
const REPEAT: usize = 1_000;
/// Orders that the leader handles in a millisecond, and the time until it answers, in milliseconds.
const ORDERS_PER_MS: usize = 1;
const ROUND_TRIP: usize = 20;

// Ten thousand upstreams announce themselves in five seconds, and repeat what is not answered
// within a second. With an order for each, the leader was repeated the same announcements faster
// than it could commit them, and answered none.
#[test]
fn batcher_all_start() {
    let mut batchers: Vec<Batcher> = (0..CONTROLS).map(|_| Batcher::default()).collect();
    let mut leader: VecDeque<(usize, usize)> = VecDeque::new();
    let mut ends: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    let mut answered = BTreeSet::new();
    let mut orders = 0;
    for now in 0..SPREAD + 2 * REPEAT {
        for at in 0..UPSTREAMS {
            let first = at * SPREAD / UPSTREAMS;
            let is_due = now >= first && (now - first).is_multiple_of(REPEAT);
            if is_due && !answered.contains(&(at as u64)) {
                let control = (at + (now - first) / REPEAT) % CONTROLS;
                let id = format!("i-{at}");
                let action = ready(&id, "hull", &format!("10.0.{}.{}:80", at >> 8, at & 0xff), 1);
                batchers[control].add(at as u64, action);
            }
        }
        for control in ends.remove(&now).unwrap_or_default() {
            answered.extend(batchers[control].finish().into_iter().flatten());
        }
        for (control, batcher) in batchers.iter_mut().enumerate() {
            if let Some(actions) = batcher.next_batch() {
                orders += 1;
                leader.push_back((control, actions.len()));
            }
        }
        for (control, _) in leader.drain(..ORDERS_PER_MS.min(leader.len())) {
            ends.entry(now + ROUND_TRIP).or_default().push(control);
        }
    }
    assert_eq!(answered.len(), UPSTREAMS);
    assert!(orders < UPSTREAMS / 2, "{orders}");
}

// An upstream repeats an announcement while it waits, and then reports that it leaves. Both answers
// are given, and the log gets each announcement once.
#[test]
fn batcher_repeated() {
    let mut batcher = Batcher::default();
    let first = ready("i-1", "hull", "10.0.0.1:80", 1);
    batcher.add(1, first.clone());
    assert_eq!(batcher.next_batch().map(|batch| batch.len()), Some(1));
    let drain = Action::Announce(change("i-1", "hull", "10.0.0.1:80", 2, State::Draining));
    batcher.add(2, drain.clone());
    batcher.add(3, drain.clone());
    assert_eq!(batcher.next_batch(), None);
    assert_eq!(batcher.finish(), [vec![1]]);
    assert_eq!(batcher.next_batch(), Some(vec![drain]));
    assert_eq!(batcher.finish(), [vec![2, 3]]);
}
