use std::collections::BTreeMap;

use crate::balance::Picker;
use crate::balance::Request;
use crate::balance::Ticket;
use crate::clock::Moment;
use crate::model::Answer;
use crate::model::Choice;

use super::judged;

/// A picker that is asked by the model's positions.
pub(crate) struct Chooser {
    pub(crate) picker: Picker,
    tickets: BTreeMap<u64, Ticket>,
}

impl Chooser {
    pub(crate) fn new(picker: Picker) -> Self {
        Self { picker, tickets: BTreeMap::new() }
    }

    pub(crate) fn finish(&mut self, now: Moment, choice: Choice, answer: &Answer) {
        if let Some(ticket) = self.tickets.remove(&choice.token) {
            self.picker.finish(now, ticket, judged::finish(answer));
        }
    }

    pub(crate) fn pick(&mut self, now: Moment, avoid: &[usize]) -> Option<Choice> {
        let avoid: Vec<_> = avoid.iter().map(|position| judged::upstream_name(*position)).collect();
        let pick = self.picker.pick(now, &Request { avoid: &avoid, ..Request::default() })?;
        self.tickets.insert(pick.ticket.request, pick.ticket);
        let upstream = judged::position(&pick.upstream);
        Some(Choice { token: pick.ticket.request, upstream })
    }
}
