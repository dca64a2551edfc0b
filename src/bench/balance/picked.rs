use std::collections::BTreeMap;

use crate::balance::Ask;
use crate::balance::Picker;
use crate::balance::Ticket;
use crate::balance::Verdicts;
use crate::bench::health::judged;
use crate::clock::Moment;
use crate::health::Digest;
use crate::model::Agent;
use crate::model::Answer;
use crate::model::Choice;

/// An entry that chooses by a picker, with all upstreams held sound.
pub(crate) struct Picked {
    picker: Picker,
    tickets: BTreeMap<u64, Ticket>,
}

struct AllSound;

impl Verdicts for AllSound {
    fn weight(&self, _upstream: &str) -> f64 {
        1.0
    }
}

impl Picked {
    pub(crate) fn new(picker: Picker) -> Self {
        Self { picker, tickets: BTreeMap::new() }
    }
}

impl Agent for Picked {
    fn finish(&mut self, now: Moment, choice: Choice, answer: &Answer) {
        if let Some(ticket) = self.tickets.remove(&choice.token) {
            self.picker.finish(now, ticket, judged::finish(answer));
        }
    }

    fn pick(&mut self, now: Moment, avoid: &[usize]) -> Option<Choice> {
        let avoid: Vec<_> = avoid.iter().map(|position| judged::upstream_name(*position)).collect();
        let pick = self.picker.pick(now, &Ask { avoid: &avoid, is_long: false })?;
        self.tickets.insert(pick.ticket.request, pick.ticket);
        let upstream = judged::position(&pick.upstream);
        Some(Choice { token: pick.ticket.request, upstream })
    }

    fn tick(&mut self, _now: Moment) -> Vec<(Option<usize>, Digest)> {
        self.picker.refresh(&AllSound);
        Vec::new()
    }
}
