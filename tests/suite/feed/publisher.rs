//! Which entries callers are told of.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::breaker::Counts;
use hemlockfield::catalog::Catalog;
use hemlockfield::feed::Entry;
use hemlockfield::feed::Ledger;
use hemlockfield::feed::Message;
use hemlockfield::feed::News;
use hemlockfield::feed::Poll;
use hemlockfield::feed::Publisher;
use hemlockfield::feed::Room;
use hemlockfield::feed::Tallies;
use hemlockfield::fleet::State;
use hemlockfield::health::Kind;

const NORTH: usize = 12;

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn entry(at: usize, domain: &str) -> Entry {
    Entry {
        callers: SocketAddr::from(([127, 0, 0, 1], at as u16)),
        domain: domain.into(),
        id: compact_str::format_compact!("{domain}-{at}"),
        room: Room::default(),
        state: State::Serving,
    }
}

fn ledger(catalog: &Catalog) -> Ledger<'_> {
    Ledger { applied: 0, catalog, configuration: None, controls: Vec::new(), fresh: true }
}

fn poll(publisher: &mut Publisher, now: Duration, entry: Entry) -> usize {
    ask(publisher, now, entry).entries
}

fn ask(publisher: &mut Publisher, now: Duration, entry: Entry) -> News {
    let catalog = Catalog::default();
    let ledger = ledger(&catalog);
    let poll = Poll { entry, known: 0, named: 0, sequence: 1, tallies: Tallies::default() };
    let sends = publisher.poll(now, poll, &ledger);
    let Some((_, Message::News(news))) = sends.into_iter().next() else { panic!("no answer") };
    *news
}

fn fleet(now: Duration) -> Publisher {
    let mut publisher = Publisher::default();
    fleet_again(&mut publisher, now);
    publisher
}

fn fleet_again(publisher: &mut Publisher, now: Duration) {
    for at in 0..NORTH {
        poll(publisher, now, entry(at, "north"));
    }
    poll(publisher, now, entry(0, "south"));
}

fn names(publisher: &Publisher, now: Duration) -> Vec<String> {
    publisher.named(now).into_iter().map(|entry| entry.id.to_string()).collect()
}

fn load(publisher: &mut Publisher, from: u64, requests: u32) {
    for second in from..from + 3 {
        let tallies = Tallies { arrivals: requests, ..Tallies::default() };
        publisher.gather(secs(second), &tallies, false);
    }
}

// Twelve entries serve in one failure domain and one in another, under little load. Callers
// are told of four and of the one; entries are told of five that share limits among them.
#[test]
fn named_little_load() {
    let mut publisher = fleet(secs(0));
    let names = names(&publisher, secs(1));
    assert_eq!(names.iter().filter(|name| name.starts_with("north")).count(), 2);
    assert_eq!(names.len(), 3);
    assert_eq!(poll(&mut publisher, secs(1), entry(1, "north")), 3);
}

// Load rises to 200 requests a second. Within seconds callers are told of more entries, so
// that none of the two is overrun, and of fewer again when it has been quiet for a while.
#[test]
fn named_load_rises() {
    let mut publisher = fleet(secs(0));
    load(&mut publisher, 0, 200);
    let again = |publisher: &mut Publisher, now| {
        fleet_again(publisher, now);
        names(publisher, now).iter().filter(|name| name.starts_with("north")).count()
    };
    assert_eq!(again(&mut publisher, secs(3)), 4);
    assert_eq!(again(&mut publisher, secs(30)), 2);
}

// A large fleet has just started: 1,200 slots of upstreams, and no request yet. Callers that
// come together find twelve entries instead of two, which they would overrun within a second;
// once it has shown how few requests there are, they are told of two.
#[test]
fn named_before_any_load() {
    let mut publisher = fleet(secs(0));
    publisher.set_slots(1200);
    let north = |publisher: &Publisher, now| {
        names(publisher, now).iter().filter(|name| name.starts_with("north")).count()
    };
    assert_eq!(north(&publisher, secs(1)), 12);
    load(&mut publisher, 1, 30);
    fleet_again(&mut publisher, secs(7));
    assert_eq!(north(&publisher, secs(7)), 2);
}

// Two entries are overrun: they refuse what they can't connect, and end next to nothing. What
// callers send counts all the same, and more entries are named.
#[test]
fn named_overrun() {
    let mut publisher = fleet(secs(0));
    let refused = Tallies { arrivals: 300, ..Tallies::default() };
    publisher.gather(secs(0), &refused, true);
    assert_eq!(names(&publisher, secs(1)).len(), 6);
}

// Callers upload: 300 requests a second carry 6 KB each, over entries whose links take 2.1
// Mbit/s. Two entries have processors for them all, but no link: their answers would come
// seconds late. As many are named as use a fifth of their links, twelve for a third of it.
#[test]
fn named_narrow_links() {
    let mut publisher = Publisher::default();
    let room = Room::new(0.2, Some(2.1));
    let again = |publisher: &mut Publisher, now| {
        let domains = ["east", "north", "south"];
        for (at, domain) in domains.iter().flat_map(|domain| (0..40).map(move |at| (at, domain))) {
            poll(publisher, now, Entry { room, ..entry(at, domain) });
        }
    };
    for second in 0..8 {
        let tallies = Tallies { arrivals: 300, bytes: 300 * 6_000, ..Tallies::default() };
        publisher.gather(secs(second), &tallies, true);
    }
    let now = Duration::from_millis(7900);
    again(&mut publisher, now);
    let named = names(&publisher, now);
    let north = named.iter().filter(|name| name.starts_with("north")).count();
    assert_eq!((north, named.len()), (12, 36));
}

// One of the named entries leaves. Another takes its place, and the other one stays: callers
// of it keep their connections.
#[test]
fn named_one_leaves() {
    let mut publisher = fleet(secs(0));
    let before = names(&publisher, secs(1));
    let gone = before.iter().find(|name| name.starts_with("north")).expect("some").clone();
    let at = gone.rsplit('-').next().and_then(|text| text.parse().ok()).expect("a number");
    let leaving = Entry { state: State::Leaving, ..entry(at, "north") };
    poll(&mut publisher, secs(1), leaving);
    let after = names(&publisher, secs(1));
    assert_eq!(after.len(), before.len());
    assert!(!after.contains(&gone));
    assert_eq!(after.iter().filter(|name| before.contains(name)).count(), before.len() - 1);
}

// An entry falls silent. It is named no longer than two rounds of questions and a lost one.
#[test]
fn named_silent_entry() {
    let publisher = fleet(secs(0));
    assert!(names(&publisher, secs(2)).is_empty());
}

// A control has just started and knows of the first entries only. It tells no list yet: all
// callers would go to those. Later it tells the list to whoever has another one.
#[test]
fn poll_named_entries() {
    let mut publisher = fleet(secs(0));
    assert_eq!(ask(&mut publisher, secs(1), entry(1, "north")).named, None);
    fleet_again(&mut publisher, secs(2));
    let told = ask(&mut publisher, secs(2), entry(1, "north")).named.expect("a list");
    assert_eq!(told.len(), 3);
}

/// Entries of the north that are told at once of an answer that was cut.
fn told_at_once(publisher: &mut Publisher, now: Duration) -> Vec<String> {
    let mut cut = Tallies::default();
    cut.add(&"hull-01".into(), &Counts::from_outcome(Kind::Cut, Duration::ZERO));
    publisher.gather(now, &cut, false);
    let catalog = Catalog::default();
    let ledger = ledger(&catalog);
    let sends = publisher.tick(publisher.wake(), &ledger);
    sends.into_iter().map(|(id, _)| id.to_string()).collect()
}

// Twelve entries serve near by, and callers use two of them. An upstream cuts an answer. The
// two hear of it at once; the others, which take no callers, with their next question. Told
// each time, ten of twelve entries would spend their processors on news that they don't need.
#[test]
fn pass_on_idle_entries() {
    let mut publisher = fleet(secs(0));
    let named = names(&publisher, secs(1));
    let mut told = told_at_once(&mut publisher, secs(1));
    told.sort();
    let mut wanted = named;
    wanted.sort();
    assert_eq!(told, wanted);
}

// Callers keep an old list and still use an entry that is named no more. It hears of broken
// answers at once like the named ones, for as long as it gets requests.
#[test]
fn pass_on_old_list() {
    let mut publisher = fleet(secs(0));
    let named = names(&publisher, secs(0));
    let old = (0..NORTH).map(|at| entry(at, "north"));
    let old = old.into_iter().find(|entry| !named.contains(&entry.id.to_string())).expect("one");
    let catalog = Catalog::default();
    let ledger = ledger(&catalog);
    let tallies = Tallies { arrivals: 3, ..Tallies::default() };
    let poll = Poll { entry: old.clone(), known: 0, named: 0, sequence: 1, tallies };
    publisher.poll(secs(1), poll, &ledger);
    assert!(told_at_once(&mut publisher, secs(1)).contains(&old.id.to_string()));
    fleet_again(&mut publisher, secs(5));
    assert!(!told_at_once(&mut publisher, secs(5)).contains(&old.id.to_string()));
}

// Upstreams cut answers every ten milliseconds. Entries are told of the first at once and of
// the others together: at most twenty times a second, though a hundred are cut.
#[test]
fn pass_on_many_cuts() {
    let mut publisher = fleet(secs(0));
    let catalog = Catalog::default();
    let ledger = ledger(&catalog);
    let mut cut = Tallies::default();
    cut.add(&"hull-01".into(), &Counts::from_outcome(Kind::Cut, Duration::ZERO));
    let mut first = None;
    let mut rounds = 0;
    for at in (0..1_000).step_by(5) {
        let now = Duration::from_millis(200 + at);
        if at % 10 == 0 {
            publisher.gather(now, &cut, false);
        }
        if now >= publisher.wake() && !publisher.tick(now, &ledger).is_empty() {
            rounds += 1;
            first.get_or_insert(at);
        }
    }
    assert!(first.is_some_and(|first| first <= 20), "{first:?}");
    assert!((10..=20).contains(&rounds), "{rounds}");
}

// Three failure domains with four entries each, and hardly any load: one in each is enough, so
// that each sees a third of all answers. A fourth of the load that one can carry more, and a
// second one is named.
#[test]
fn named_three_domains() {
    let mut publisher = Publisher::default();
    for at in 0..12 {
        poll(&mut publisher, secs(0), entry(at, ["east", "north", "south"][at % 3]));
    }
    assert_eq!(names(&publisher, secs(1)).len(), 3);
    let busy = Tallies { arrivals: 113, ..Tallies::default() };
    publisher.gather(secs(0), &busy, true);
    assert_eq!(names(&publisher, secs(1)).len(), 6);
}

// Hundreds of upstreams answer callers each second, and one cuts an answer. An entry that takes
// no callers hears with its next question of the one that was cut, which it must not use should
// callers come, and of no other: 600 upstreams are more than a link's 3 KB a second hold.
#[test]
fn poll_idle_entry() {
    let mut publisher = fleet(secs(0));
    let named = names(&publisher, secs(0));
    let idle = (0..NORTH).map(|at| entry(at, "north"));
    let idle = idle.into_iter().find(|entry| !named.contains(&entry.id.to_string())).expect("one");
    told_at_once(&mut publisher, secs(0));
    let mut tallies = Tallies { arrivals: 600, ..Tallies::default() };
    for at in 0..600 {
        let kind = if at == 7 { Kind::Cut } else { Kind::Success };
        let id = compact_str::format_compact!("i-{at:03}");
        tallies.add(&id, &Counts::from_outcome(kind, Duration::from_millis(500)));
    }
    publisher.gather(Duration::from_millis(100), &tallies, false);
    let heard = ask(&mut publisher, Duration::from_millis(200), idle).tallies.by_upstream;
    let ids: Vec<&str> = heard.keys().map(AsRef::as_ref).collect();
    assert_eq!(ids, ["hull-01", "i-007"]);
}
