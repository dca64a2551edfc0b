//! Which entries controls advertise while some can't reach the upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

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
use hemlockfield::id::ServiceId;
use hemlockfield::poison;
use hemlockfield::reach::Verdict;

const DOMAINS: [&str; 4] = ["north", "south", "east", "west"];
const DOMAIN_ENTRIES: usize = 10;
/// Interval of polls.
const ROUND: Duration = Duration::from_millis(500);

/// Entries that answer what the control asks at their next poll.
struct Fleet {
    /// Services that each entry can't reach.
    cut: BTreeMap<String, BTreeSet<ServiceId>>,
    now: Duration,
    publisher: Publisher,
    reach: BTreeMap<String, BTreeMap<ServiceId, Verdict>>,
}

fn id(domain: &str, at: usize) -> String {
    format!("{domain}-{at}")
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            cut: BTreeMap::new(),
            now: Duration::from_secs(2),
            publisher: Publisher::default(),
            reach: BTreeMap::new(),
        };
        fleet.rounds(2);
        fleet
    }

    fn cut(&mut self, id: &str, services: &[&str]) {
        let services = services.iter().map(|service| ServiceId::from(*service)).collect();
        self.cut.insert(id.to_owned(), services);
    }

    /// Entries that carry traffic find out at once; the others when they are asked.
    fn report(&mut self, id: &str) {
        let lost = self.cut.get(id).into_iter().flatten();
        self.reach.insert(id.to_owned(), lost.map(|it| (it.clone(), Verdict::Lost)).collect());
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.now += ROUND;
            for (domain, at) in
                DOMAINS.iter().flat_map(|it| (0..DOMAIN_ENTRIES).map(move |at| (it, at)))
            {
                let asked = self.poll(domain, at).doubted;
                self.answer(&id(domain, at), &asked);
            }
        }
    }

    fn answer(&mut self, id: &str, asked: &BTreeSet<ServiceId>) {
        let reach = self.reach.entry(id.to_owned()).or_default();
        reach.retain(|service, verdict| *verdict == Verdict::Lost || asked.contains(service));
        for service in asked {
            let is_cut = self.cut.get(id).is_some_and(|cut| cut.contains(service));
            let verdict = if is_cut { Verdict::Lost } else { Verdict::Reached };
            reach.insert(service.clone(), verdict);
        }
    }

    fn poll(&mut self, domain: &str, at: usize) -> Update {
        let id = id(domain, at);
        let entry = Entry {
            callers: SocketAddr::from(([127, 0, 0, 1], at as u16)),
            domain: domain.into(),
            id: id.as_str().into(),
            peers: None,
            reach: self.reach.get(&id).cloned().unwrap_or_default(),
            room: Capacity::default(),
            state: State::Serving,
        };
        let poll = Poll {
            configuration: None,
            entry,
            is_downloading: false,
            known: 0,
            loading: None,
            named: 0,
            quarantine: poison::Report::default(),
            selection: Selection::default(),
            sequence: 1,
            tallies: Tallies { arrivals: 1, ..Tallies::default() },
        };
        let catalog = Catalog::default();
        let snapshot =
            Snapshot { applied: 0, catalog: &catalog, controls: Vec::new(), fresh: true };
        let sends = self.publisher.poll(self.now, poll, &snapshot);
        let Some((_, Message::News(update))) = sends.into_iter().next() else {
            panic!("no answer")
        };
        *update
    }

    fn advertised(&mut self) -> BTreeSet<String> {
        let roster = self.publisher.roster(self.now);
        roster.advertised().iter().map(|entry| entry.id.to_string()).collect()
    }
}

// Nothing is asked while no entry reports anything.
#[test]
fn roster_calm() {
    let mut fleet = Fleet::new();
    assert!(fleet.poll("north", 0).doubted.is_empty());
    assert_eq!(fleet.advertised().len(), DOMAINS.len());
}

// An entry that can't reach a service is replaced by one that showed that it does, within two polls.
#[test]
fn roster_one_cut() {
    let mut fleet = Fleet::new();
    let before = fleet.advertised();
    let cut = before.iter().next().unwrap().clone();
    fleet.cut(&cut, &["hull"]);
    fleet.report(&cut);
    fleet.rounds(2);
    let after = fleet.advertised();
    assert!(!after.contains(&cut), "{after:?}");
    assert_eq!(after.len(), before.len());
    assert_eq!(after.intersection(&before).count(), before.len() - 1, "the others stay");
}

// A whole failure domain is cut off, idle entries too. Callers must not be sent from one of them to
// the next: the idle ones are asked first.
#[test]
fn roster_domain_cut() {
    let mut fleet = Fleet::new();
    (0..DOMAIN_ENTRIES).for_each(|at| fleet.cut(&id("north", at), &["hull", "cert"]));
    let cut = fleet.advertised().into_iter().find(|it| it.starts_with("north")).unwrap();
    fleet.report(&cut);
    let mut told = 0;
    for _ in 0..6 {
        fleet.rounds(1);
        told += fleet.advertised().iter().filter(|it| it.starts_with("north")).count();
    }
    assert!(told <= 3, "callers were told of {told} entries that are cut off");
    assert!(!fleet.advertised().is_empty());
    fleet.cut.clear();
    fleet.reach.clear();
    fleet.rounds(2);
    assert!(fleet.advertised().iter().any(|it| it.starts_with("north")), "they return");
}

// Entries that are asked and answer must be asked on. Asked in turns, all of them report a change
// with each poll, and controls pass each on to all others.
#[test]
fn roster_asks_the_same() {
    let mut fleet = Fleet::new();
    let cut = fleet.advertised().into_iter().next().unwrap();
    fleet.cut(&cut, &["hull"]);
    fleet.report(&cut);
    fleet.rounds(3);
    let before = fleet.reach.clone();
    for _ in 0..6 {
        fleet.rounds(1);
        assert_eq!(fleet.reach, before);
    }
}

// No entry reaches a service: its upstreams are at fault. Without the entries that say so, callers
// would be told of none.
#[test]
fn roster_all_lost() {
    let mut fleet = Fleet::new();
    let before = fleet.advertised();
    for domain in DOMAINS {
        for at in 0..DOMAIN_ENTRIES {
            fleet.cut(&id(domain, at), &["hull"]);
            fleet.report(&id(domain, at));
        }
    }
    for _ in 0..6 {
        fleet.rounds(1);
        assert_eq!(fleet.advertised(), before);
    }
}

// Nearly all entries report a service as lost, and one reaches it. It must not get the callers of
// all.
#[test]
fn roster_nearly_all_lost() {
    let mut fleet = Fleet::new();
    for domain in DOMAINS {
        for at in 0..DOMAIN_ENTRIES {
            fleet.cut(&id(domain, at), &["hull"]);
            fleet.report(&id(domain, at));
        }
    }
    fleet.cut.remove("west-3");
    fleet.reach.remove("west-3");
    for _ in 0..6 {
        fleet.rounds(1);
        assert!(fleet.advertised().len() >= 3, "{:?}", fleet.advertised());
    }
}

// Two services, each lost by half of the entries. No entry reaches both; callers are still told of
// some.
#[test]
fn roster_services_lost_in_turn() {
    let mut fleet = Fleet::new();
    for domain in DOMAINS {
        for at in 0..DOMAIN_ENTRIES {
            fleet.cut(&id(domain, at), if at % 2 == 0 { &["hull"] } else { &["cert"] });
            fleet.report(&id(domain, at));
        }
    }
    fleet.rounds(4);
    assert!(fleet.advertised().len() >= 3, "{:?}", fleet.advertised());
}
