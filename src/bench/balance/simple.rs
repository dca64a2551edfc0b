use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::model::Agent;
use crate::model::Answer;
use crate::model::Choice;

/// A common way of choosing among all upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Rule {
    LeastInFlight,
    Turns,
    TwoChoices,
}

/// An entry that chooses by a rule.
pub(crate) struct Simple {
    in_flight: Vec<u32>,
    next: usize,
    random: ChaCha8Rng,
    rule: Rule,
}

impl Simple {
    pub(crate) fn new(rule: Rule, upstreams: usize, entry: usize, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(!seed ^ ((entry as u64) << 32));
        Self { in_flight: vec![0; upstreams], next: entry, random, rule }
    }

    fn any(&mut self, open: &[usize]) -> usize {
        open[self.random.random_range(0..open.len())]
    }

    fn least(&mut self, open: &[usize]) -> usize {
        let least = open.iter().map(|position| self.in_flight[*position]).min();
        let best: Vec<usize> = open
            .iter()
            .copied()
            .filter(|position| Some(self.in_flight[*position]) == least)
            .collect();
        self.any(&best)
    }
}

impl Agent for Simple {
    fn finish(&mut self, _now: Moment, choice: Choice, _answer: &Answer) {
        self.in_flight[choice.upstream] -= 1;
    }

    fn pick(&mut self, _now: Moment, avoid: &[usize]) -> Option<Choice> {
        let all = 0..self.in_flight.len();
        let open: Vec<usize> = all.filter(|position| !avoid.contains(position)).collect();
        if open.is_empty() {
            return None;
        }
        let upstream = match self.rule {
            Rule::LeastInFlight => self.least(&open),
            Rule::Turns => {
                self.next += 1;
                open[self.next % open.len()]
            }
            Rule::TwoChoices => {
                let (first, second) = (self.any(&open), self.any(&open));
                if self.in_flight[second] < self.in_flight[first] { second } else { first }
            }
        };
        self.in_flight[upstream] += 1;
        Some(Choice { token: 0, upstream })
    }
}
