//! Time and traffic of the spread of configuration, in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::config::Input;
use crate::config::Message;
use crate::config::Output;
use crate::config::Peer;
use crate::config::Replicator;
use crate::config::Settings;
use crate::config::Version;
use crate::fake::Conditions;
use crate::fake::Net;
use crate::id::NodeId;

/// Time between two changes: 1,400 a day.
const CHANGE_GAP: Duration = Duration::from_millis(61_714);
/// Changes in a run of small changes.
const CHANGES: u64 = 12;
/// Changes in a run that rewrites the document, which is larger.
const REWRITES: u64 = 3;
/// Control replicas.
const CONTROLS: usize = 7;
/// Failure domains.
const DOMAINS: usize = 7;
/// Bytes that a message costs besides its own, acknowledgement included, as
/// `bench link` measures them.
const MESSAGE_BYTES: usize = 96;
/// Lines of the document of which a change touches two.
const LINES: u64 = 2000;
/// Lines of a document that is rewritten: 380 KB, above what a trail keeps.
const REWRITTEN_LINES: u64 = 12_000;
/// Links that each process opens; as many are opened to it on average.
const LINKS: usize = 4;
/// Time before the first change, in which all take the first version.
const WARM_UP: Duration = Duration::from_secs(30);
/// Step of the virtual clock, which bounds the resolution of the figures.
const STEP: Duration = Duration::from_millis(5);

/// One kind of fleet.
struct Scenario {
    count: usize,
    fanout: usize,
    loss: f64,
    rewrite: bool,
}

impl Scenario {
    fn changes(&self) -> u64 {
        if self.rewrite { REWRITES } else { CHANGES }
    }

    fn lines(&self) -> u64 {
        if self.rewrite { REWRITTEN_LINES } else { LINES }
    }

    /// Changes two lines, or all.
    fn edit(&self, number: u64, lines: &mut [String]) {
        let count = lines.len() as u64;
        let edited = |line: u64| self.rewrite || line == number * 37 % count || line + 1 == count;
        for (line, text) in lines.iter_mut().enumerate().filter(|(line, _)| edited(*line as u64)) {
            *text = format!("route {line}: service-{number} for team-{number}\n");
        }
    }
}

/// What a run measured.
#[derive(Default)]
struct Tally {
    bytes: BTreeMap<NodeId, usize>,
    late: usize,
    messages: usize,
    times: Vec<Duration>,
}

/// Prints a table of spread times over all processes and changes, and of bytes
/// sent a second by a process; all random choices follow from `seed`.
pub fn run(seed: u64) -> String {
    let scenarios = [
        Scenario { count: 44, fanout: 8, loss: 0.0, rewrite: false },
        Scenario { count: 44, fanout: 8, loss: 0.05, rewrite: false },
        Scenario { count: 520, fanout: 8, loss: 0.0, rewrite: false },
        Scenario { count: 520, fanout: 8, loss: 0.05, rewrite: false },
        Scenario { count: 520, fanout: 0, loss: 0.05, rewrite: false },
        Scenario { count: 520, fanout: 8, loss: 0.05, rewrite: true },
    ];
    let mut table = String::from(
        "holders  pushes  loss  rewrite  p50 ms  p99 ms  max ms  missed  B/s mean  B/s max\n",
    );
    for scenario in scenarios {
        let tally = Fleet::new(seed, &scenario).measure(&scenario);
        let _ = writeln!(table, "{}", row(&scenario, tally));
    }
    table
}

fn row(scenario: &Scenario, mut tally: Tally) -> String {
    tally.times.sort();
    let quantile = |part: f64| {
        let last = tally.times.len().saturating_sub(1);
        tally.times.get((last as f64 * part) as usize).map_or(0, Duration::as_millis)
    };
    let span = (CHANGE_GAP * scenario.changes() as u32).as_secs_f64();
    let rate = |bytes: usize| bytes as f64 / span;
    let sum = tally.bytes.values().sum::<usize>();
    let most = tally.bytes.values().max().copied().unwrap_or_default();
    format!(
        "{:7}  {:6}  {:4}  {:7}  {:6}  {:6}  {:6}  {:6}  {:8.1}  {:7.1}",
        scenario.count,
        scenario.fanout,
        scenario.loss,
        scenario.rewrite,
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        tally.late,
        rate(sum / scenario.count),
        rate(most),
    )
}

/// Replicators on a network.
struct Fleet {
    replicators: BTreeMap<NodeId, Replicator>,
    net: Net,
    now: Moment,
    tally: Tally,
}

impl Fleet {
    fn new(seed: u64, scenario: &Scenario) -> Self {
        let delay_min = Duration::from_millis(1);
        let delay_max = Duration::from_millis(30);
        let conditions = Conditions { loss: scenario.loss, duplication: 0.0, delay_min, delay_max };
        let mut fleet = Self {
            replicators: BTreeMap::new(),
            net: Net::new(seed, conditions),
            now: Duration::ZERO,
            tally: Tally::default(),
        };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let links = links(scenario.count, &mut random);
        for (index, links) in links.iter().enumerate() {
            let settings = Settings { fanout: scenario.fanout, ..Settings::default() };
            let random = ChaCha8Rng::seed_from_u64(random.random());
            let replicator = Replicator::new(fleet.now, id(index), settings, None, random);
            fleet.replicators.insert(id(index), replicator);
            let controls = (0..CONTROLS).filter(|_| links.is_empty());
            let peers = links.iter().copied().chain(controls).map(peer).collect();
            fleet.handle(&id(index), Input::Peers(peers));
        }
        for index in 0..CONTROLS {
            fleet.handle(&id(index), Input::Leads(index == 0));
        }
        fleet
    }

    fn measure(mut self, scenario: &Scenario) -> Tally {
        let mut lines = (0..scenario.lines())
            .map(|line| format!("route {line}: service-{}\n", line % 110))
            .collect::<Vec<_>>();
        self.commit(1, &lines);
        self.run(WARM_UP, None);
        self.tally = Tally::default();
        for number in 2..2 + scenario.changes() {
            scenario.edit(number, &mut lines);
            let start = self.now;
            self.commit(number, &lines);
            self.run(CHANGE_GAP, Some((number, start)));
        }
        self.tally
    }

    /// Only the leader's commit is given; followers hear of it by log and by push
    /// at about the same time, so the figures are on the safe side.
    fn commit(&mut self, number: u64, lines: &[String]) {
        let version = Version::new(number, format!("submission-{number}").into(), &lines.concat());
        self.handle(&id(0), Input::Committed(version));
    }

    fn run(&mut self, span: Duration, change: Option<(u64, Moment)>) {
        let end = self.now + span;
        let mut waiting = self.replicators.keys().cloned().collect::<BTreeSet<_>>();
        while self.now < end {
            self.now += STEP;
            while let Some(delivery) = self.net.receive(self.now) {
                let Ok(message) = postcard::from_bytes::<Message>(&delivery.bytes) else {
                    continue;
                };
                self.handle(&delivery.to, Input::Receive { from: delivery.from, message });
            }
            let due =
                self.replicators.iter().filter(|(_, replicator)| replicator.next_at() <= self.now);
            let due = due.map(|(id, _)| id.clone()).collect::<Vec<_>>();
            due.iter().for_each(|id| self.handle(id, Input::Tick));
            if let Some((number, start)) = change {
                self.note(number, start, &mut waiting);
            }
        }
        self.tally.late += if change.is_some() { waiting.len() } else { 0 };
    }

    fn note(&mut self, number: u64, start: Moment, waiting: &mut BTreeSet<NodeId>) {
        let replicators = &self.replicators;
        let reached =
            |id: &NodeId| replicators[id].head().is_some_and(|head| head.number >= number);
        let before = waiting.len();
        waiting.retain(|id| !reached(id));
        let count = before - waiting.len();
        self.tally.times.extend(std::iter::repeat_n(self.now - start, count));
    }

    fn handle(&mut self, id: &NodeId, input: Input) {
        let Some(replicator) = self.replicators.get_mut(id) else { return };
        for output in replicator.handle(self.now, input) {
            let Output::Send { message, to } = output else { continue };
            let Ok(bytes) = postcard::to_stdvec(&message) else { continue };
            *self.tally.bytes.entry(id.clone()).or_default() += bytes.len() + MESSAGE_BYTES;
            self.tally.messages += 1;
            self.net.send(self.now, id, &to, bytes);
        }
    }
}

fn id(index: usize) -> NodeId {
    format!("n{index:03}").into()
}

fn peer(index: usize) -> Peer {
    Peer {
        control: index < CONTROLS,
        domain: format!("domain-{}", index % DOMAINS).into(),
        id: id(index),
    }
}

/// Random links, each known at both its ends, as membership keeps them.
fn links(count: usize, random: &mut ChaCha8Rng) -> Vec<BTreeSet<usize>> {
    let mut links = vec![BTreeSet::new(); count];
    for one in 0..count {
        for _ in 0..LINKS {
            let other = random.random_range(0..count);
            if other != one {
                links[one].insert(other);
                links[other].insert(one);
            }
        }
    }
    links
}
