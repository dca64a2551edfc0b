use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Turns in which a process reads every request that had come before the first of them: it accepts a
/// connection, reads the head, and may wait for its turn behind others each time.
const TURNS: usize = 4;

/// Tells how long requests may have waited for a process that stood still.
///
/// **Load pattern.** A process is stopped, or gets no processor for seconds. Callers go on sending, and it
/// reads their requests when it runs again.
///
/// **Without it.** Such a request earns a retry from when it was read. Retries of one window are then paid
/// by the requests of three: those of a long stop and those of the windows before and after.
///
/// **How.** A process that runs takes turns at a steady pace. What it reads now came after the last turns
/// but a few; the later these were due, the longer it may have waited.
#[derive(Clone, Debug)]
pub struct Standstill {
    interval: Duration,
    /// Times of the last turns.
    turns: VecDeque<Moment>,
}

impl Standstill {
    /// Creates a record of turns that are taken every `interval` by a process that runs.
    pub fn new(interval: Duration) -> Self {
        Self { interval, turns: VecDeque::with_capacity(TURNS) }
    }

    /// Records a turn, in which everything that was ready at the one before has run.
    pub fn record_turn(&mut self, now: Moment) {
        if self.turns.back().is_some_and(|last| now < *last + self.interval) {
            return;
        }
        if self.turns.len() == TURNS {
            self.turns.pop_front();
        }
        self.turns.push_back(now);
    }

    /// Longest time that a request may have waited that is read now, beyond the usual.
    pub fn waited(&self, now: Moment) -> Duration {
        let usual = self.interval * self.turns.len() as u32;
        self.turns.front().map_or(Duration::ZERO, |oldest| now.saturating_sub(*oldest + usual))
    }
}
