//! Advertised entries and updates of a control.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::balance::Limit;
use hemlockfield::breaker::Counts;
use hemlockfield::catalog::Catalog;
use hemlockfield::feed::Capacity;
use hemlockfield::feed::Entry;
use hemlockfield::feed::Message;
use hemlockfield::feed::Poll;
use hemlockfield::feed::Publisher;
use hemlockfield::feed::Selection;
use hemlockfield::feed::Snapshot;
use hemlockfield::feed::Tallies;
use hemlockfield::feed::Update;
use hemlockfield::fleet::State;
use hemlockfield::health::Kind;
use hemlockfield::poison;
use rstest::rstest;

const NORTH_ENTRIES: usize = 12;

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn entry(at: usize, domain: &str) -> Entry {
    Entry {
        callers: SocketAddr::from(([127, 0, 0, 1], at as u16)),
        domain: domain.into(),
        id: compact_str::format_compact!("{domain}-{at}"),
        peers: None,
        reach: BTreeMap::new(),
        room: Capacity::default(),
        state: State::Serving,
    }
}

fn snapshot(catalog: &Catalog) -> Snapshot<'_> {
    Snapshot { applied: 0, catalog, controls: Vec::new(), fresh: true }
}

/// Poll of an entry that knows nothing yet.
fn first_poll(entry: Entry, tallies: Tallies) -> Poll {
    Poll {
        configuration: None,
        entry,
        is_downloading: false,
        known: 0,
        loading: None,
        named: 0,
        quarantine: poison::Report::default(),
        selection: Selection::default(),
        sequence: 1,
        tallies,
    }
}

fn poll(publisher: &mut Publisher, now: Duration, entry: Entry) -> usize {
    poll_update(publisher, now, entry).entries
}

fn poll_update(publisher: &mut Publisher, now: Duration, entry: Entry) -> Update {
    let catalog = Catalog::default();
    let snapshot = snapshot(&catalog);
    let poll = first_poll(entry, Tallies::default());
    let sends = publisher.poll(now, poll, &snapshot);
    let Some((_, Message::News(update))) = sends.into_iter().next() else { panic!("no answer") };
    *update
}

fn fleet(now: Duration) -> Publisher {
    let mut publisher = Publisher::default();
    poll_all(&mut publisher, now);
    publisher
}

fn poll_all(publisher: &mut Publisher, now: Duration) {
    for at in 0..NORTH_ENTRIES {
        poll(publisher, now, entry(at, "north"));
    }
    poll(publisher, now, entry(0, "south"));
}

fn advertised_ids(publisher: &mut Publisher, now: Duration) -> Vec<String> {
    publisher.roster(now).advertised().iter().map(|entry| entry.id.to_string()).collect()
}

fn load(publisher: &mut Publisher, from: u64, requests: u32) {
    for second in from..from + 3 {
        let tallies = Tallies { arrivals: requests, ..Tallies::default() };
        publisher.add_tallies(secs(second), &tallies, false);
    }
}

// Twelve entries serve in one failure domain and one in another. Under little load, two of the
// twelve and the other one are advertised, and updates give their number.
#[test]
fn advertised_little_load() {
    let mut publisher = fleet(secs(0));
    let names = advertised_ids(&mut publisher, secs(1));
    assert_eq!(names.iter().filter(|name| name.starts_with("north")).count(), 2);
    assert_eq!(names.len(), 3);
    assert_eq!(poll(&mut publisher, secs(1), entry(1, "north")), 3);
}

// The load rises to 200 requests per second. Within seconds more entries are advertised, so that
// neither of the two is overloaded. After a quiet period there are fewer north_after.
#[test]
fn advertised_load_rises() {
    let mut publisher = fleet(secs(0));
    load(&mut publisher, 0, 200);
    let north_after = |publisher: &mut Publisher, now| {
        poll_all(publisher, now);
        advertised_ids(publisher, now).iter().filter(|name| name.starts_with("north")).count()
    };
    assert_eq!(north_after(&mut publisher, secs(3)), 4);
    assert_eq!(north_after(&mut publisher, secs(30)), 2);
}

// The load is just what the advertised entries are sized for. Callers must not be told of other
// entries each second: they drop their connections to those that are missing from a new list.
#[rstest]
fn advertised_load_at_threshold(#[values(11, 12, 13)] requests: u32) {
    let mut publisher = fleet(secs(0));
    let mut lists = Vec::new();
    for step in 0..400 {
        let now = Duration::from_millis(100 * step);
        let tallies = Tallies { arrivals: requests, ..Tallies::default() };
        publisher.add_tallies(now, &tallies, false);
        poll_all(&mut publisher, now);
        lists.push(advertised_ids(&mut publisher, now));
    }
    lists.drain(..120);
    lists.dedup();
    assert_eq!(lists.len(), 1, "{lists:?}");
}

// A large fleet has just started, with 1,200 slots of upstreams and no request yet. Twelve
// entries are advertised, because callers that arrive together would overload two within a
// second. Once the load is known to be low, two are advertised.
#[test]
fn advertised_before_any_load() {
    let mut publisher = fleet(secs(0));
    publisher.set_slots(1200);
    let north = |publisher: &mut Publisher, now| {
        advertised_ids(publisher, now).iter().filter(|name| name.starts_with("north")).count()
    };
    assert_eq!(north(&mut publisher, secs(1)), 12);
    load(&mut publisher, 1, 30);
    poll_all(&mut publisher, secs(7));
    assert_eq!(north(&mut publisher, secs(7)), 2);
}

// Two overloaded entries refuse requests and complete almost none. All arrivals count as load,
// so more entries are advertised.
#[test]
fn advertised_overloaded() {
    let mut publisher = fleet(secs(0));
    let refused = Tallies { arrivals: 300, ..Tallies::default() };
    publisher.add_tallies(secs(0), &refused, true);
    assert_eq!(advertised_ids(&mut publisher, secs(1)).len(), 6);
}

// Callers upload 300 requests of 6 KB per second, and the link of an entry takes 2.1 Mbit/s. Two
// entries have enough CPU but not enough bandwidth, and would answer seconds late. Enough entries
// are advertised that each uses a fifth of its link: twelve per failure domain.
#[test]
fn advertised_narrow_links() {
    let mut publisher = Publisher::default();
    let room = Capacity::new(0.2, Some(2.1));
    let north_after = |publisher: &mut Publisher, now| {
        let domains = ["east", "north", "south"];
        for (at, domain) in domains.iter().flat_map(|domain| (0..40).map(move |at| (at, domain))) {
            poll(publisher, now, Entry { room, ..entry(at, domain) });
        }
    };
    for second in 0..8 {
        let tallies = Tallies { arrivals: 300, bytes: 300 * 6_000, ..Tallies::default() };
        publisher.add_tallies(secs(second), &tallies, true);
    }
    let now = Duration::from_millis(7900);
    north_after(&mut publisher, now);
    let named = advertised_ids(&mut publisher, now);
    let north = named.iter().filter(|name| name.starts_with("north")).count();
    assert_eq!((north, named.len()), (12, 36));
}

// One of the advertised entries leaves and another replaces it. The others stay advertised, so
// that their callers keep their connections.
#[test]
fn advertised_one_leaves() {
    let mut publisher = fleet(secs(0));
    let before = advertised_ids(&mut publisher, secs(1));
    let gone = before.iter().find(|name| name.starts_with("north")).expect("some").clone();
    let at = gone.rsplit('-').next().and_then(|text| text.parse().ok()).expect("a number");
    let leaving = Entry { state: State::Leaving, ..entry(at, "north") };
    poll(&mut publisher, secs(1), leaving);
    let after = advertised_ids(&mut publisher, secs(1));
    assert_eq!(after.len(), before.len());
    assert!(!after.contains(&gone));
    assert_eq!(after.iter().filter(|name| before.contains(name)).count(), before.len() - 1);
}

// An entry stops polling. It is advertised for at most two polls and a lost one.
#[test]
fn advertised_silent_entry() {
    let mut publisher = fleet(secs(0));
    assert!(advertised_ids(&mut publisher, secs(2)).is_empty());
}

// A control that has just started knows only the first entries. It sends no list yet, because
// all callers would connect to those. Later it sends the list to entries with a different one.
#[test]
fn poll_advertised_entries() {
    let mut publisher = fleet(secs(0));
    assert_eq!(poll_update(&mut publisher, secs(1), entry(1, "north")).named, None);
    poll_all(&mut publisher, secs(2));
    let told = poll_update(&mut publisher, secs(2), entry(1, "north")).named.expect("a list");
    assert_eq!(told.len(), 3);
}

/// Returns the entries that get a push when an answer was cut.
fn pushed_to(publisher: &mut Publisher, now: Duration) -> Vec<String> {
    let mut cut = Tallies::default();
    cut.add(&"hull-01".into(), &Counts::from_outcome(Kind::Cut, Duration::ZERO));
    publisher.add_tallies(now, &cut, false);
    let catalog = Catalog::default();
    let snapshot = snapshot(&catalog);
    let sends = publisher.tick(publisher.wake(), &snapshot);
    sends.into_iter().map(|(id, _)| id.to_string()).collect()
}

// Callers use two of twelve entries in a failure domain, and an upstream cuts an answer. The two
// get a push; the idle ones learn of it with their next poll. Otherwise ten of twelve entries
// would spend CPU on pushes that they do not need.
#[test]
fn push_idle_entries() {
    let mut publisher = fleet(secs(0));
    let named = advertised_ids(&mut publisher, secs(1));
    let mut told = pushed_to(&mut publisher, secs(1));
    told.sort();
    let mut wanted = named;
    wanted.sort();
    assert_eq!(told, wanted);
}

// Callers with an old list still use an entry that is no longer advertised. It gets pushes of
// broken answers like the advertised ones, for as long as it gets requests.
#[test]
fn push_old_list() {
    let mut publisher = fleet(secs(0));
    let named = advertised_ids(&mut publisher, secs(0));
    let old = (0..NORTH_ENTRIES).map(|at| entry(at, "north"));
    let old = old.into_iter().find(|entry| !named.contains(&entry.id.to_string())).expect("one");
    let catalog = Catalog::default();
    let snapshot = snapshot(&catalog);
    let tallies = Tallies { arrivals: 3, ..Tallies::default() };
    publisher.poll(secs(1), first_poll(old.clone(), tallies), &snapshot);
    assert!(pushed_to(&mut publisher, secs(1)).contains(&old.id.to_string()));
    poll_all(&mut publisher, secs(5));
    assert!(!pushed_to(&mut publisher, secs(5)).contains(&old.id.to_string()));
}

// Upstreams cut an answer every ten milliseconds. The first is pushed at once and the others in
// batches, at most twenty per second for a hundred cut answers.
#[test]
fn push_many_cuts() {
    let mut publisher = fleet(secs(0));
    let catalog = Catalog::default();
    let snapshot = snapshot(&catalog);
    let mut cut = Tallies::default();
    cut.add(&"hull-01".into(), &Counts::from_outcome(Kind::Cut, Duration::ZERO));
    let mut first = None;
    let mut rounds = 0;
    for at in (0..1_000).step_by(5) {
        let now = Duration::from_millis(200 + at);
        if at % 10 == 0 {
            publisher.add_tallies(now, &cut, false);
        }
        if now >= publisher.wake() && !publisher.tick(now, &snapshot).is_empty() {
            rounds += 1;
            first.get_or_insert(at);
        }
    }
    assert!(first.is_some_and(|first| first <= 20), "{first:?}");
    assert!((10..=20).contains(&rounds), "{rounds}");
}

// Three failure domains have four entries each. Under little load, one in each is advertised and
// sees a third of all answers. Once the load exceeds what three can carry, a second one in each is
// advertised.
#[test]
fn advertised_three_domains() {
    let mut publisher = Publisher::default();
    for at in 0..12 {
        poll(&mut publisher, secs(0), entry(at, ["east", "north", "south"][at % 3]));
    }
    assert_eq!(advertised_ids(&mut publisher, secs(1)).len(), 3);
    let busy = Tallies { arrivals: 113, ..Tallies::default() };
    publisher.add_tallies(secs(0), &busy, true);
    let later = Duration::from_millis(1_100);
    assert_eq!(advertised_ids(&mut publisher, later).len(), 6);
}

// Hundreds of upstreams answer each second and one cuts an answer. With its next poll, an idle
// entry learns only of that one, which it must avoid if callers come. Tallies of 600 upstreams
// would exceed the 3 KB per second of a link.
#[test]
fn poll_idle_entry() {
    let mut publisher = fleet(secs(0));
    let named = advertised_ids(&mut publisher, secs(0));
    let idle = (0..NORTH_ENTRIES).map(|at| entry(at, "north"));
    let idle = idle.into_iter().find(|entry| !named.contains(&entry.id.to_string())).expect("one");
    pushed_to(&mut publisher, secs(0));
    let mut tallies = Tallies { arrivals: 600, ..Tallies::default() };
    for at in 0..600 {
        let kind = if at == 7 { Kind::Cut } else { Kind::Success };
        let id = compact_str::format_compact!("i-{at:03}");
        tallies.add(&id, &Counts::from_outcome(kind, Duration::from_millis(500)));
    }
    publisher.add_tallies(Duration::from_millis(100), &tallies, false);
    let heard = poll_update(&mut publisher, Duration::from_millis(200), idle).tallies.by_upstream;
    let ids: Vec<&str> = heard.keys().map(AsRef::as_ref).collect();
    assert_eq!(ids, ["hull-01", "i-007"]);
}

// Entries that did not meet a limit themselves must learn of it, or it does not bind them.
#[test]
fn push_upstream_limit() {
    let mut publisher = fleet(secs(0));
    let named = advertised_ids(&mut publisher, secs(1));
    let mut tallies = Tallies::default();
    tallies.limits.insert("hull-01".into(), Limit::new(2.0));
    publisher.add_tallies(secs(1), &tallies, true);
    let catalog = Catalog::default();
    let snapshot = snapshot(&catalog);
    let sends = publisher.tick(publisher.wake(), &snapshot);
    let told: Vec<String> = sends.into_iter().map(|(id, _)| id.to_string()).collect();
    assert!(named.iter().all(|id| told.contains(id)), "{told:?}");
    let idle = (0..NORTH_ENTRIES).map(|at| entry(at, "north"));
    let idle = idle.into_iter().find(|entry| !named.contains(&entry.id.to_string())).expect("one");
    let heard = poll_update(&mut publisher, Duration::from_millis(1_200), idle).tallies;
    assert_eq!(heard.limits.get("hull-01"), Some(&Limit::new(2.0)));
}

// A control started anew, and entries that it answered knew of no quarantine.
#[test]
fn quarantine_for_started() {
    let mut known = Publisher::default();
    for number in 0..3 {
        let scope = poison::Scope::Upstream(compact_str::format_compact!("i-{number}"));
        let crash = poison::Evidence::of_crash(scope, vec![poison::Identity::new([7, 8, 9])]);
        known.add_tallies(secs(1), &Tallies { poison: crash, ..Tallies::default() }, true);
    }
    known.merge_quarantine(secs(3), &poison::Report::default());
    let mut started = Publisher::default();
    let report = known.quarantine_for(secs(3), started.quarantine_digest()).expect("a quarantine");
    started.merge_quarantine(secs(3), &report);
    assert_eq!(started.quarantine_digest(), known.quarantine_digest());
    assert_eq!(known.quarantine_for(secs(3), started.quarantine_digest()), None);
}
