//! Replicators on a simulated network.

use std::collections::BTreeMap;
use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::config::Input;
use hemlockfield::config::Message;
use hemlockfield::config::Output;
use hemlockfield::config::Peer;
use hemlockfield::config::Replicator;
use hemlockfield::config::Settings;
use hemlockfield::config::Standing;
use hemlockfield::config::Version;
use hemlockfield::fake::Conditions;
use hemlockfield::fake::Net;
use hemlockfield::id::NodeId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub(super) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(super) fn version(number: u64) -> Version {
    Version::new(number, format!("s{number}").into(), &format!("limit: 4\nnumber: {number}\n"))
}

/// A set of replicators, of which the first is a control replica that leads.
pub(super) struct Simulation {
    pub(super) replicators: BTreeMap<NodeId, Replicator>,
    pub(super) net: Net,
    pub(super) now: Moment,
    count: usize,
    seed: u64,
    served: BTreeMap<NodeId, u64>,
}

impl Simulation {
    /// Starts `count` replicators, commits version 1 and runs for 5 s.
    pub(super) fn new(seed: u64, count: usize, conditions: Conditions) -> Self {
        let mut simulation = Self {
            replicators: BTreeMap::new(),
            net: Net::new(seed, conditions),
            now: Duration::ZERO,
            count,
            seed,
            served: BTreeMap::new(),
        };
        for index in 0..count {
            simulation.start(index, None);
        }
        simulation.input(0, Input::Leads(true));
        simulation.commit(1);
        simulation.run(ms(5_000));
        simulation
    }

    pub(super) fn id(index: usize) -> NodeId {
        format!("n{index:03}").into()
    }

    fn peers(&self) -> Vec<Peer> {
        let peer = |index| Peer {
            control: index == 0,
            domain: format!("d{}", index % 4).into(),
            id: Self::id(index),
        };
        (0..self.count).map(peer).collect()
    }

    /// Starts or restarts a replicator. `kept` is the version on its disk.
    pub(super) fn start(&mut self, index: usize, kept: Option<Version>) {
        self.seed += 1;
        let random = ChaCha8Rng::seed_from_u64(self.seed);
        let replicator =
            Replicator::new(self.now, Self::id(index), Settings::default(), kept, random);
        self.replicators.insert(Self::id(index), replicator);
        let peers = self.peers();
        self.input(index, Input::Peers(peers));
    }

    pub(super) fn commit(&mut self, number: u64) {
        self.input(0, Input::Committed(version(number)));
    }

    pub(super) fn input(&mut self, index: usize, input: Input) {
        self.handle(&Self::id(index), input);
    }

    pub(super) fn number(&self, index: usize) -> Option<u64> {
        self.replicators[&Self::id(index)].head().map(|head| head.number)
    }

    pub(super) fn standing(&self, index: usize) -> Standing {
        self.replicators[&Self::id(index)].standing()
    }

    /// Whether all replicators hold this number.
    pub(super) fn all_hold(&self, number: u64) -> bool {
        (0..self.count).all(|index| self.number(index) == Some(number))
    }

    /// Cuts the links between a replicator and all others, in both directions.
    pub(super) fn isolate(&mut self, index: usize) {
        for other in (0..self.count).filter(|other| *other != index) {
            self.net.cut_both(&Self::id(index), &Self::id(other));
        }
    }

    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(50);
            while let Some(delivery) = self.net.receive(self.now) {
                let message = postcard::from_bytes::<Message>(&delivery.bytes).unwrap();
                self.handle(&delivery.to, Input::Receive { from: delivery.from, message });
            }
            let ids = self.replicators.keys().cloned().collect::<Vec<_>>();
            ids.iter().for_each(|id| self.handle(id, Input::Tick));
        }
    }

    fn handle(&mut self, id: &NodeId, input: Input) {
        let Some(replicator) = self.replicators.get_mut(id) else { return };
        let mut before = replicator.head().map(|head| head.number);
        for output in replicator.handle(self.now, input) {
            match output {
                Output::Apply(version) => {
                    assert!(before < Some(version.number), "`{id}` went back");
                    before = Some(version.number);
                }
                Output::Send { message, to } => {
                    let bytes = postcard::to_stdvec(&message).unwrap();
                    self.net.send(self.now, id, &to, bytes);
                }
                Output::StandingChanged(_) => {}
            }
        }
        self.check(id);
    }

    /// Asserts that a process that serves callers has no older version than the one by which
    /// it, or an earlier process of the same name, served before.
    fn check(&mut self, id: &NodeId) {
        let replicator = &self.replicators[id];
        if !replicator.standing().serves() {
            return;
        }
        let number = replicator.head().map_or(0, |head| head.number);
        let served = self.served.entry(id.clone()).or_default();
        assert!(number >= *served, "`{id}` serves an older version");
        *served = number;
    }
}
