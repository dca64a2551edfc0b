use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::Input;
use super::Output;
use super::Queue;
use crate::clock::Moment;

/// Baseline for comparison with the gate: one first-in, first-out queue in front of a fixed number
/// of slots. A request leaves it only to run or when its caller gives up.
#[derive(Debug)]
pub struct Fifo {
    running: BTreeSet<u64>,
    slots: usize,
    waiting: VecDeque<u64>,
}

impl Fifo {
    /// Creates an empty queue in front of `slots`.
    pub fn new(slots: usize) -> Self {
        Self { running: BTreeSet::new(), slots, waiting: VecDeque::new() }
    }
}

impl Queue for Fifo {
    fn handle(&mut self, _: Moment, input: Input) -> Vec<Output> {
        match input {
            Input::Arrive(arrival) => self.waiting.push_back(arrival.ticket),
            Input::Cancel { ticket } => self.waiting.retain(|other| *other != ticket),
            Input::Capacity { slots } => self.slots = slots.unwrap_or(self.slots),
            Input::Finish { ticket, .. } => {
                self.running.remove(&ticket);
            }
            Input::Tick => {}
        }
        let mut outputs = Vec::new();
        while self.running.len() < self.slots {
            let Some(ticket) = self.waiting.pop_front() else { break };
            self.running.insert(ticket);
            outputs.push(Output::Run { ticket });
        }
        outputs
    }

    fn wake(&self) -> Option<Moment> {
        None
    }
}
