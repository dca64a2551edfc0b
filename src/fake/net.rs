//! A queue of timed messages with loss, delay, duplication and one-way cuts.
//!
//! It knows nothing of what it carries, and is not to grow into a model of VMs,
//! services or traffic.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::id::NodeId;

/// How the network treats each message; probabilities are from 0 to 1.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message arrives twice.
    pub duplication: f64,
    /// Shortest delay of a message.
    pub delay_min: Duration,
    /// Longest delay of a message; the spread reorders messages.
    pub delay_max: Duration,
}

impl Conditions {
    /// Nothing lost or doubled, each message 1 ms under way.
    pub fn reliable() -> Self {
        let delay = Duration::from_millis(1);
        Self { loss: 0.0, duplication: 0.0, delay_min: delay, delay_max: delay }
    }
}

/// One message that arrives at `at`.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Delivery {
    /// When it arrives.
    pub at: Moment,
    sequence: u64,
    /// Its sender.
    pub from: NodeId,
    /// Its receiver.
    pub to: NodeId,
    /// Encoded message.
    pub bytes: Vec<u8>,
}

/// Messages under way between named ends.
#[derive(Debug)]
pub struct Net {
    /// Treatment of messages sent from now on.
    pub conditions: Conditions,
    cuts: BTreeSet<(NodeId, NodeId)>,
    queue: BinaryHeap<Reverse<Delivery>>,
    random: ChaCha8Rng,
    sequence: u64,
}

impl Net {
    /// Network whose accidents all follow from `seed`.
    pub fn new(seed: u64, conditions: Conditions) -> Self {
        Self {
            conditions,
            cuts: BTreeSet::new(),
            queue: BinaryHeap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Cuts one direction; messages already under way still arrive.
    pub fn cut(&mut self, from: &NodeId, to: &NodeId) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Cuts both directions.
    pub fn cut_both(&mut self, a: &NodeId, b: &NodeId) {
        self.cut(a, b);
        self.cut(b, a);
    }

    /// Mends one direction.
    pub fn heal(&mut self, from: &NodeId, to: &NodeId) {
        self.cuts.remove(&(from.clone(), to.clone()));
    }

    /// Mends every cut.
    pub fn heal_all(&mut self) {
        self.cuts.clear();
    }

    /// Sends a message, which may be lost, delayed or doubled.
    pub fn send(&mut self, now: Moment, from: &NodeId, to: &NodeId, bytes: Vec<u8>) {
        if self.cuts.contains(&(from.clone(), to.clone())) {
            return;
        }
        if self.random.random_bool(self.conditions.loss) {
            return;
        }
        if self.random.random_bool(self.conditions.duplication) {
            self.push(now, from, to, bytes.clone());
        }
        self.push(now, from, to, bytes);
    }

    /// When the next message arrives.
    pub fn next_at(&self) -> Option<Moment> {
        self.queue.peek().map(|Reverse(delivery)| delivery.at)
    }

    /// Takes the next message that has arrived by `now`.
    pub fn receive(&mut self, now: Moment) -> Option<Delivery> {
        if self.next_at()? > now {
            return None;
        }
        self.queue.pop().map(|Reverse(delivery)| delivery)
    }

    fn push(&mut self, now: Moment, from: &NodeId, to: &NodeId, bytes: Vec<u8>) {
        let delay = self.random.random_range(self.conditions.delay_min..=self.conditions.delay_max);
        self.sequence += 1;
        self.queue.push(Reverse(Delivery {
            at: now + delay,
            sequence: self.sequence,
            from: from.clone(),
            to: to.clone(),
            bytes,
        }));
    }
}
