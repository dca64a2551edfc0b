//! Upstreams that an entry follows, and how it loads them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::catalog::Action;
use hemlockfield::catalog::Catalog;
use hemlockfield::catalog::Change;
use hemlockfield::catalog::Sizes;
use hemlockfield::feed::Capacity;
use hemlockfield::feed::Entry;
use hemlockfield::feed::Input;
use hemlockfield::feed::Message;
use hemlockfield::feed::Output;
use hemlockfield::feed::Publisher;
use hemlockfield::feed::Selection;
use hemlockfield::feed::Snapshot;
use hemlockfield::feed::Subscriber;
use hemlockfield::fleet::State;
use hemlockfield::id::DomainId;
use hemlockfield::id::Index;
use hemlockfield::id::NodeId;
use hemlockfield::id::UpstreamId;
use hemlockfield::registry;
use hemlockfield::registry::Announcement;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Upstreams of a service that are all followed, at most.
const ALL_MAX: usize = 640;
const NEAR_MAX: usize = 384;
const FAR_MAX: usize = 256;
/// Deviation of hashing that is allowed, as a share of the bound.
const UNEVENNESS: f64 = 0.25;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn announcement(at: usize, state: registry::State) -> Announcement {
    Announcement {
        address: SocketAddr::from(([10, 0, (at >> 8) as u8, at as u8], 80)),
        connections: 390,
        domain: DOMAINS[at % DOMAINS.len()].into(),
        incarnation: 1,
        lease: ms(4_500),
        service: "hull".into(),
        slots: 4,
        state,
        upstream: compact_str::format_compact!("hull-{at}"),
        warm_up: Duration::ZERO,
    }
}

fn sizes(count: usize) -> Sizes {
    let mut sizes = Sizes::default();
    for at in 0..count {
        let announced = announcement(at, registry::State::Ready);
        sizes.add(&announced.service, &announced.domain);
    }
    sizes
}

/// Upstreams of `count` that an entry follows in its own failure domain, and in others.
fn followed(selection: &Selection, entry: &str, count: usize) -> (usize, usize) {
    let domain = DomainId::from("a");
    let all = (0..count).map(|at| announcement(at, registry::State::Ready));
    let (near, far): (Vec<_>, Vec<_>) = all
        .filter(|one| selection.includes(&entry.into(), &domain, one))
        .partition(|one| one.domain == domain);
    (near.len(), far.len())
}

// What an entry follows has the same bound at twice the size of the fleet, and a small service is
// followed whole, as every upstream of it is needed.
#[rstest]
#[case::small(ALL_MAX)]
#[case::fleet(10_001)]
#[case::twice(20_002)]
fn fitted_bound(#[case] count: usize) {
    let selection = Selection::default().fitted(&sizes(count), &"a".into());
    let (near, far) = followed(&selection, "e1", count);
    if count <= ALL_MAX {
        assert_eq!(near + far, count);
        return;
    }
    let bound = |most: usize| most as f64 * (1.0 + UNEVENNESS);
    assert!(near as f64 <= bound(NEAR_MAX) && near >= NEAR_MAX / 3, "{near}");
    assert!(far as f64 <= bound(FAR_MAX) && far >= FAR_MAX / 3, "{far}");
}

// Upstreams come and go around a bound. Each change of the selection would load all upstreams of
// all entries anew.
#[test]
fn fitted_size_varies() {
    let domain = "a".into();
    let first = Selection::default().fitted(&sizes(641), &domain);
    let mut selection = first.clone();
    for count in [600, 641, 560, 700, 500, 641] {
        selection = selection.fitted(&sizes(count), &domain);
        assert_eq!(selection, first, "at {count}");
    }
    assert_eq!(selection.fitted(&sizes(300), &domain), Selection::default());
}

/// A control and an entry that polls it.
struct World {
    catalog: Catalog,
    index: Index,
    known: BTreeSet<UpstreamId>,
    now: Duration,
    publisher: Publisher,
    /// Upstreams in all updates.
    received: usize,
    subscriber: Subscriber,
}

impl World {
    fn new(count: usize) -> Self {
        let me = Entry {
            callers: SocketAddr::from(([127, 0, 0, 1], 80)),
            domain: "a".into(),
            id: "e1".into(),
            peers: None,
            reach: BTreeMap::new(),
            room: Capacity::default(),
            state: State::Serving,
        };
        let random = ChaCha8Rng::seed_from_u64(1);
        let mut world = Self {
            catalog: Catalog::default(),
            index: 0,
            known: BTreeSet::new(),
            now: ms(0),
            publisher: Publisher::default(),
            received: 0,
            subscriber: Subscriber::new(ms(0), me, vec!["c1".into()], random),
        };
        (0..count).for_each(|at| world.announce(at));
        world
    }

    fn announce(&mut self, at: usize) {
        self.apply(&Action::Announce(Change {
            announcement: announcement(at, registry::State::Ready),
            sequence: 1,
        }));
    }

    fn leave(&mut self, id: &UpstreamId) {
        self.apply(&Action::Leave(id.clone()));
    }

    fn apply(&mut self, action: &Action) {
        self.index += 1;
        self.catalog.apply(self.index, action);
    }

    /// Lets the entry poll until all its polls are answered, `polls` times at most.
    fn poll(&mut self, polls: usize) {
        self.now += ms(500);
        let mut outputs = self.subscriber.handle(self.now, Input::Tick);
        for _ in 0..polls {
            let Some(update) = self.carry_out(outputs) else { return };
            let from = NodeId::from("c1");
            outputs = self.subscriber.handle(self.now, Input::Update(from, update));
        }
        self.carry_out(outputs);
    }

    fn carry_out(&mut self, outputs: Vec<Output>) -> Option<Box<hemlockfield::feed::Update>> {
        let mut answer = None;
        for output in outputs {
            match output {
                Output::Send(_, Message::Poll(poll)) => {
                    let snapshot = Snapshot {
                        applied: self.index,
                        catalog: &self.catalog,
                        controls: Vec::new(),
                        fresh: true,
                    };
                    let sends = self.publisher.poll(self.now, *poll, &snapshot);
                    let news = sends.into_iter().find_map(|(_, message)| match message {
                        Message::News(update) => Some(update),
                        _ => None,
                    });
                    answer = news;
                }
                Output::Apply(update) => {
                    let delta = update.upstreams;
                    self.received += delta.upstreams.len();
                    delta.gone.iter().for_each(|id| {
                        self.known.remove(id);
                    });
                    self.known.extend(delta.upstreams.into_iter().map(|it| it.upstream));
                }
                Output::Narrow(selection) => {
                    let wanted = self.wanted(&selection);
                    self.known.retain(|id| wanted.contains(id));
                }
                Output::Retain(kept) => self.known.retain(|id| kept.contains(id)),
                _ => (),
            }
        }
        answer
    }

    /// Upstreams that the entry should know.
    fn wanted(&self, selection: &Selection) -> BTreeSet<UpstreamId> {
        let (id, domain) = ("e1".into(), "a".into());
        let all = self.catalog.upstreams();
        let followed = all.filter(|one| selection.includes(&id, &domain, one));
        followed.map(|one| one.upstream.clone()).collect()
    }

    fn selection(&self) -> Selection {
        Selection::default().fitted(self.catalog.sizes(), &"a".into())
    }
}

// A service grows past the size up to which it is followed whole. The entry must end with those
// that it is to follow, and not keep others, of whose leaving it would not learn.
#[test]
fn load_service_grows() {
    let mut world = World::new(600);
    world.poll(20);
    assert_eq!(world.known.len(), 600);
    (600..2_000).for_each(|at| world.announce(at));
    world.poll(40);
    assert_eq!(world.known, world.wanted(&world.selection()));
    assert!(world.known.len() < 600, "{}", world.known.len());
}

// A fleet starts, and its table fills while entries poll. What an entry receives must not grow with
// the number of times that the table doubles.
#[test]
fn load_table_fills() {
    let mut world = World::new(0);
    for step in 0..50 {
        (step * 200..(step + 1) * 200).for_each(|at| world.announce(at));
        world.poll(20);
    }
    let wanted = world.wanted(&world.selection());
    assert_eq!(world.known, wanted);
    // Half of what an entry follows is replaced each time that the table doubles.
    let doublings = (10_000.0_f64 / ALL_MAX as f64).log2();
    let most = ALL_MAX as f64 + (NEAR_MAX + FAR_MAX) as f64 / 2.0 * doublings;
    assert!(world.received as f64 <= most * (1.0 + UNEVENNESS), "{}", world.received);
}

// Upstreams leave while an entry loads its table page by page, some of them after their page was
// sent. None of them may stay.
#[test]
fn load_upstreams_leave() {
    let mut world = World::new(4_000);
    world.poll(1);
    let gone: Vec<UpstreamId> = world.known.iter().step_by(5).cloned().collect();
    assert!(!gone.is_empty());
    gone.iter().for_each(|id| world.leave(id));
    world.poll(40);
    assert_eq!(world.known, world.wanted(&world.selection()));
}

// An entry was cut off while more upstreams left than the table remembers. It loads its upstreams
// anew, in pages, and forgets those that are gone.
#[test]
fn load_removals_forgotten() {
    let mut world = World::new(500);
    world.poll(20);
    let first = world.known.first().cloned().expect("an upstream");
    world.leave(&first);
    for at in 0..10_001 {
        world.leave(&compact_str::format_compact!("other-{at}"));
    }
    world.poll(20);
    assert_eq!(world.known, world.wanted(&world.selection()));
    assert!(!world.known.contains(&first));
}
