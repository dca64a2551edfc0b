use std::collections::VecDeque;
use std::time::Duration;

use super::Limits;
use crate::clock::Moment;

/// Parts of a window: by so much of it what is counted may be too old or too new.
const PARTS: u32 = 20;
/// Share of the allowance in the first window after a start. The process before may have
/// spent all of its own just then, and nobody here knows.
const FRESH: f64 = 0.75;

/// What an entry may spend on further tries in any window of time.
///
/// A bucket that fills with the requests holds a few tokens only, or it would allow twice the
/// share in the window after a calm one. So most of what a calm second earns is lost, and a
/// fault that breaks five answers at once has one of them tried again. Counted over the
/// window itself, all of the share is there when it is needed.
#[derive(Clone, Debug)]
pub struct Window {
    firsts: VecDeque<(Moment, u32)>,
    limits: Limits,
    now: Moment,
    spent: VecDeque<(Moment, u32)>,
    started: Option<Moment>,
}

impl Window {
    /// Nothing spent yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            firsts: VecDeque::new(),
            limits,
            now: Moment::ZERO,
            spent: VecDeque::new(),
            started: None,
        }
    }

    /// Goes by these limits from now on.
    pub fn set(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Moves on with time.
    pub fn advance(&mut self, now: Moment) {
        self.now = now;
        self.started.get_or_insert(now);
        let (length, part) = (self.length(), self.part());
        // Rounded so that a request is forgotten too early and what was spent too late.
        while self.firsts.front().is_some_and(|(at, _)| now >= *at + length) {
            self.firsts.pop_front();
        }
        while self.spent.front().is_some_and(|(at, _)| now >= *at + length + part) {
            self.spent.pop_front();
        }
    }

    /// Notes a first try.
    pub fn first(&mut self) {
        let part = self.part();
        add(&mut self.firsts, self.now, part);
    }

    /// Takes the allowance for a further try or a hedge; `false` when there is none.
    pub fn take(&mut self) -> bool {
        if self.left() < 1.0 {
            return false;
        }
        let part = self.part();
        add(&mut self.spent, self.now, part);
        true
    }

    /// Further tries that are left.
    pub fn left(&self) -> f64 {
        self.allowed() - f64::from(sum(&self.spent))
    }

    fn allowed(&self) -> f64 {
        let earned = self.limits.share * f64::from(sum(&self.firsts));
        let is_young = self.started.is_none_or(|at| self.now < at + self.length());
        let fresh = is_young && !self.limits.is_first;
        if fresh { FRESH * earned } else { earned + self.limits.most }
    }

    fn length(&self) -> Duration {
        self.limits.window.unwrap_or_default()
    }

    fn part(&self) -> Duration {
        self.length() / PARTS
    }
}

fn add(parts: &mut VecDeque<(Moment, u32)>, now: Moment, part: Duration) {
    match parts.back_mut() {
        Some((at, count)) if now < *at + part => *count += 1,
        _ => parts.push_back((now, 1)),
    }
}

fn sum(parts: &VecDeque<(Moment, u32)>) -> u32 {
    parts.iter().map(|(_, count)| count).sum()
}
