//! A simulated network: a queue of timed messages with loss, delay, duplication and one-way
//! partitions.
//!
//! It does not interpret messages, and must not grow into a model of VMs, services or traffic.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::id::NodeId;

/// Network conditions that apply to each message; probabilities are from 0 to 1.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub duplication: f64,
    /// Minimum delay of a message.
    pub delay_min: Duration,
    /// Maximum delay of a message; a range of delays reorders messages.
    pub delay_max: Duration,
}

impl Conditions {
    /// No loss or duplication, and a constant delay of 1 ms.
    pub fn reliable() -> Self {
        let delay = Duration::from_millis(1);
        Self { loss: 0.0, duplication: 0.0, delay_min: delay, delay_max: delay }
    }
}

/// A message with its time of arrival.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Delivery {
    /// Time of arrival.
    pub at: Moment,
    /// Orders messages that arrive at the same time by when they were sent.
    sequence: u64,
    /// Sender.
    pub from: NodeId,
    /// Receiver.
    pub to: NodeId,
    /// Encoded message.
    pub bytes: Vec<u8>,
}

/// A network with its messages in flight between named nodes.
#[derive(Debug)]
pub struct Net {
    /// Conditions for messages sent from now on.
    pub conditions: Conditions,
    cuts: BTreeSet<(NodeId, NodeId)>,
    queue: BinaryHeap<Reverse<Delivery>>,
    random: ChaCha8Rng,
    sequence: u64,
}

impl Net {
    /// Creates a network whose random faults are determined by `seed`.
    pub fn new(seed: u64, conditions: Conditions) -> Self {
        Self {
            conditions,
            cuts: BTreeSet::new(),
            queue: BinaryHeap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Drops messages in one direction from now on; those in flight still arrive.
    pub fn cut(&mut self, from: &NodeId, to: &NodeId) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Drops messages in both directions.
    pub fn cut_both(&mut self, a: &NodeId, b: &NodeId) {
        self.cut(a, b);
        self.cut(b, a);
    }

    /// Ends the cut of one direction.
    pub fn heal(&mut self, from: &NodeId, to: &NodeId) {
        self.cuts.remove(&(from.clone(), to.clone()));
    }

    /// Ends all cuts.
    pub fn heal_all(&mut self) {
        self.cuts.clear();
    }

    /// Sends a message, which may be lost, delayed or duplicated.
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

    /// Time at which the next message arrives.
    pub fn next_at(&self) -> Option<Moment> {
        self.queue.peek().map(|Reverse(delivery)| delivery.at)
    }

    /// Removes and returns the next message that has arrived by `now`.
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
