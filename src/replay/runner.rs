use std::collections::BTreeMap;

use compact_str::CompactString;

use super::Expect;
use super::Finding;
use super::Input;
use super::Line;
use super::Output;
use super::Report;
use super::TimedOutput;
use super::expect::is_match;
use super::instance::Instance;
use crate::admission;
use crate::admission::Arrival;
use crate::clock::Moment;
use crate::health::Status;

/// Replays a trace.
#[derive(Default)]
pub(super) struct Runner {
    /// Requests that arrived at gates, with their times and the names of the gates.
    arrivals: Vec<(Moment, CompactString, Arrival)>,
    /// Lines whose input is repeated, by time of the next repeat and then in insertion order.
    repeats: BTreeMap<(Moment, usize), Line>,
    last_order: usize,
    instances: BTreeMap<CompactString, Instance>,
    report: Report,
}

impl Runner {
    /// Handles the numbered lines in order.
    pub(super) fn run(mut self, lines: &[(usize, Line)]) -> Report {
        for (number, line) in lines {
            let at = line.at_us.0;
            self.deliver_repeats(&line.of, at);
            if let Some(machine) = &line.machine {
                self.instances.insert(line.of.clone(), Instance::new(machine, at));
                self.repeats.retain(|_, repeat| repeat.of != line.of);
                self.arrivals.retain(|(_, of, _)| *of != line.of);
            }
            if let Some(expect) = &line.expect {
                self.check(*number, line, expect);
            }
            if line.input.is_some() {
                self.deliver(at, line.clone());
            }
            self.report.lost += line.lost.unwrap_or(0);
        }
        self.report
    }

    /// Delivers the repeated inputs of the machine `of` that are due by `until`.
    fn deliver_repeats(&mut self, of: &str, until: Moment) {
        loop {
            let due = self.repeats.range(..=(until, usize::MAX));
            let due = due.filter(|(_, line)| line.of == of).map(|(key, _)| *key).next();
            let Some(key) = due else { return };
            if let Some(line) = self.repeats.remove(&key) {
                self.deliver(key.0, line);
            }
        }
    }

    /// Delivers the input of `line` to its machine and schedules the next repeat.
    fn deliver(&mut self, at: Moment, line: Line) {
        let Some(input) = line.input.clone() else { return };
        if let Input::Gate(admission::Input::Arrive(arrival)) = &input {
            self.arrivals.push((at, line.of.clone(), arrival.clone()));
        }
        let Some(instance) = self.instances.get_mut(&line.of) else { return };
        for output in instance.handle(at, input) {
            self.report.outputs.push(TimedOutput { at, of: line.of.clone(), output });
        }
        if let (Some(every), Some(until)) = (line.every_us, line.until_us)
            && at + every.0 <= until.0
        {
            self.last_order += 1;
            self.repeats.insert((at + every.0, self.last_order), line);
        }
    }

    /// Checks an expectation and adds the finding to the report.
    fn check(&mut self, number: usize, line: &Line, expect: &Expect) {
        let (held, found) = match expect {
            Expect::Count { least, like, most, since_us } => {
                let count = self.count_matches(line, since_us.0, like);
                let has_least = least.is_none_or(|least| count >= least);
                (has_least && most.is_none_or(|most| count <= most), count.to_string())
            }
            Expect::Decided { since_us, within_us } => {
                let counts = |_: &Arrival| true;
                let late = self.count_late(line, since_us.0, within_us.0, false, &counts).0;
                (late == 0, format!("{late} later"))
            }
            Expect::InService { least } => {
                let count = self.in_service(line);
                (count >= *least, count.to_string())
            }
            Expect::Running { most } => self.check_at_most(line, *most, admission::Gate::running),
            Expect::Started { callers, least_share, other_than, since_us, within_us } => {
                let counts = |arrival: &Arrival| {
                    let included = callers.is_empty() || callers.contains(&arrival.caller);
                    included && !other_than.contains(&arrival.caller)
                };
                let (late, total) = self.count_late(line, since_us.0, within_us.0, true, &counts);
                let share = (total - late) as f64 / total.max(1) as f64;
                (total > 0 && share >= *least_share, format!("{} of {total}", total - late))
            }
            Expect::Verdict { is, upstream } => {
                let status = self.status(line, upstream);
                (is.contains(&status), format!("{status:?}"))
            }
            Expect::Waiting { most } => self.check_at_most(line, *most, admission::Gate::waiting),
        };
        let expected = serde_json::to_string(expect).unwrap_or_default();
        let why = if line.why.is_empty() { String::new() } else { format!(" ({})", line.why) };
        let text = format!("{expected}, found `{found}`{why}");
        self.report.findings.push(Finding { held, line: number, text });
    }

    fn outputs<'a>(
        &'a self,
        line: &'a Line,
        since: Moment,
    ) -> impl Iterator<Item = &'a TimedOutput> {
        let outputs = self.report.outputs.iter();
        outputs.filter(move |placed| placed.of == line.of && placed.at >= since)
    }

    fn count_matches(&self, line: &Line, since: Moment, pattern: &serde_json::Value) -> usize {
        let values = self.outputs(line, since).map(|placed| serde_json::to_value(&placed.output));
        values.flatten().filter(|value| is_match(value, pattern)).count()
    }

    /// Counts the requests that were not decided within the time `within` of their arrival, and
    /// all that `counts` selects. Only running a request decides it if `run`, else refusing it
    /// does too. Requests whose time is not over yet are left out.
    fn count_late(
        &self,
        line: &Line,
        since: Moment,
        within: Moment,
        run: bool,
        counts: &dyn Fn(&Arrival) -> bool,
    ) -> (usize, usize) {
        let mut decided = BTreeMap::new();
        for placed in self.outputs(line, Moment::ZERO) {
            match &placed.output {
                Output::Gate(admission::Output::Run { ticket }) => {
                    decided.insert(*ticket, placed.at);
                }
                Output::Gate(admission::Output::Refuse { ticket, .. }) if !run => {
                    decided.insert(*ticket, placed.at);
                }
                _ => (),
            }
        }
        let arrivals = self.arrivals.iter();
        let arrivals = arrivals.filter(|(at, of, arrival)| {
            *of == line.of && *at >= since && *at + within <= line.at_us.0 && counts(arrival)
        });
        let (mut late, mut total) = (0, 0);
        for (at, _, arrival) in arrivals {
            total += 1;
            let in_time = |decided_at: &Moment| *decided_at <= *at + within;
            late += usize::from(!decided.get(&arrival.ticket).is_some_and(in_time));
        }
        (late, total)
    }

    /// Whether a figure of the gate is at most `most`, and the figure.
    fn check_at_most(
        &self,
        line: &Line,
        most: usize,
        figure: fn(&admission::Gate) -> usize,
    ) -> (bool, String) {
        match self.instances.get(&line.of) {
            Some(Instance::Gate(gate)) => (figure(gate) <= most, figure(gate).to_string()),
            _ => (false, "no gate".into()),
        }
    }

    fn in_service(&self, line: &Line) -> usize {
        match self.instances.get(&line.of) {
            Some(Instance::Judge(monitor)) => {
                monitor.statuses().filter(|(_, status)| *status < Status::Trial).count()
            }
            _ => 0,
        }
    }

    fn status(&self, line: &Line, upstream: &str) -> Status {
        match self.instances.get(&line.of) {
            Some(Instance::Judge(monitor)) => monitor.status(upstream),
            _ => Status::Sound,
        }
    }
}
