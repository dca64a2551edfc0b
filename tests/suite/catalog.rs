//! The replicated table of upstreams.

use std::time::Duration;

use hemlockfield::catalog::Action;
use hemlockfield::catalog::Catalog;
use hemlockfield::catalog::Change;
use hemlockfield::registry::Announcement;
use hemlockfield::registry::State;

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
    catalog.upstreams().map(|said| said.upstream.as_str()).collect()
}

// An upstream crashes and can't say that it is gone; its address goes to one of another
// service. Callers of the first service must not be sent there: each would be turned away.
// A late word of the crashed one does not bring it back, nor push the new one out.
#[test]
fn apply_address_used_again() {
    let mut catalog = Catalog::default();
    catalog.apply(1, &ready("i-1", "hull", "10.0.0.1:80", 1));
    assert!(catalog.apply(2, &ready("i-2", "cert", "10.0.0.1:80", 1)));
    assert_eq!(ids(&catalog), ["i-2"]);
    assert_eq!(catalog.since(1).gone, ["i-1"]);
    assert!(!catalog.apply(3, &ready("i-1", "hull", "10.0.0.1:80", 9)));
    assert_eq!(ids(&catalog), ["i-2"]);
}

// Announcements come out of order. An older one changes nothing, and an upstream that drains
// does not take work again by a late word from before.
#[test]
fn apply_late_announcement() {
    let mut catalog = Catalog::default();
    catalog.apply(1, &ready("i-1", "hull", "10.0.0.1:80", 5));
    let drain = change("i-1", "hull", "10.0.0.1:80", 7, State::Draining);
    assert!(catalog.apply(2, &Action::Announce(drain)));
    assert!(!catalog.apply(3, &ready("i-1", "hull", "10.0.0.1:80", 6)));
    assert!(!catalog.apply(4, &ready("i-1", "hull", "10.0.0.1:80", 8)));
    assert_eq!(catalog.get(&"i-1".into()).unwrap().state, State::Draining);
}

// An upstream says that it is gone; a late announcement from before does not bring it back.
#[test]
fn apply_late_after_leave() {
    let mut catalog = Catalog::default();
    catalog.apply(1, &ready("i-1", "hull", "10.0.0.1:80", 5));
    assert!(catalog.apply(2, &Action::Leave("i-1".into())));
    assert!(!catalog.apply(3, &ready("i-1", "hull", "10.0.0.1:80", 6)));
    assert!(ids(&catalog).is_empty());
}

// An entry asks what changed since an index, and gets that alone.
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

/// The same announcement by another start of the upstream.
fn started(incarnation: u64, change: Change) -> Action {
    let announcement = Announcement { incarnation, ..change.announcement };
    Action::Announce(Change { announcement, ..change })
}

// An upstream crashes and starts again under the id that it had, at another address, and counts
// its announcements from one. Callers must be sent to the new address: told from the numbers
// alone it is late, and each request goes to where nobody is. A late word of the first start
// changes nothing.
#[test]
fn apply_started_again() {
    let mut catalog = Catalog::default();
    let first = change("i-1", "hull", "10.0.0.1:80", 40, State::Ready);
    catalog.apply(1, &started(1_000, first.clone()));
    let second = change("i-1", "hull", "10.0.0.2:80", 1, State::Ready);
    assert!(catalog.apply(2, &started(2_000, second)));
    assert_eq!(catalog.get(&"i-1".into()).unwrap().address, "10.0.0.2:80".parse().unwrap());
    let late = Change { sequence: 41, ..first };
    assert!(!catalog.apply(3, &started(1_000, late)));
    assert_eq!(catalog.get(&"i-1".into()).unwrap().address, "10.0.0.2:80".parse().unwrap());
}

// An upstream leaves, or drains, and starts again under its id. It takes work again; what the
// one before said last does not end it.
#[test]
fn apply_started_again_after_leaving() {
    let mut catalog = Catalog::default();
    let first = change("i-1", "hull", "10.0.0.1:80", 9, State::Draining);
    catalog.apply(1, &started(1_000, first.clone()));
    let second = change("i-1", "hull", "10.0.0.1:80", 1, State::Ready);
    assert!(catalog.apply(2, &started(2_000, second)));
    assert_eq!(catalog.get(&"i-1".into()).unwrap().state, State::Ready);
    catalog.apply(3, &Action::Leave("i-1".into()));
    assert!(
        !catalog.apply(4, &started(2_000, change("i-1", "hull", "10.0.0.1:80", 5, State::Ready)))
    );
    assert!(
        catalog.apply(5, &started(3_000, change("i-1", "hull", "10.0.0.1:80", 1, State::Ready)))
    );
    assert_eq!(ids(&catalog), ["i-1"]);
    assert_eq!(catalog.since(3).gone, Vec::<&str>::new());
}
