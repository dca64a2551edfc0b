//! The last seconds of what callers received.

use std::collections::VecDeque;
use std::time::Duration;

use super::Counts;
use crate::clock::Moment;

/// Length of the window: at five requests a second of all entries, about a dozen outcomes,
/// and not longer than the shortest faults last.
const SPAN: Duration = Duration::from_millis(2500);
/// Length of one part, by which the window moves.
const PART: Duration = Duration::from_millis(125);

/// The last seconds of what callers received.
#[derive(Clone, Debug, Default)]
pub struct Window {
    parts: VecDeque<(Moment, Counts)>,
    /// All parts together: read for each upstream at each change of one.
    sum: Counts,
}

impl Window {
    /// Adds what was received now.
    pub fn add(&mut self, now: Moment, counts: &Counts) {
        self.sum.add(counts);
        match self.parts.back_mut() {
            Some((at, part)) if now < *at + PART => part.add(counts),
            _ => self.parts.push_back((now, *counts)),
        }
    }

    /// Forgets what is too old.
    pub fn roll(&mut self, now: Moment) {
        while let Some((at, part)) = self.parts.front().copied() {
            if now < at + SPAN {
                break;
            }
            self.parts.pop_front();
            self.sum.subtract(&part);
        }
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.sum = Counts::default();
    }

    /// What came at `from` or later.
    pub fn since(&self, from: Moment) -> Counts {
        let mut sum = Counts::default();
        let parts = self.parts.iter().filter(|(at, _)| *at >= from);
        parts.for_each(|(_, part)| sum.add(part));
        sum
    }

    /// What is not too old now.
    pub fn at(&self, now: Moment) -> Counts {
        let mut sum = Counts::default();
        let parts = self.parts.iter().filter(|(at, _)| now < *at + SPAN);
        parts.for_each(|(_, part)| sum.add(part));
        sum
    }

    /// All that it holds.
    pub fn sum(&self) -> Counts {
        self.sum
    }
}
