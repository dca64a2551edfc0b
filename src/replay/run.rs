use std::collections::BTreeMap;

use compact_str::CompactString;

use super::Expect;
use super::Finding;
use super::Input;
use super::Line;
use super::Output;
use super::Report;
use super::TimedOutput;
use super::expect::is_like;
use super::player::Player;
use crate::admission;
use crate::admission::Arrival;
use crate::clock::Moment;
use crate::health::Status;

/// A replay under way.
#[derive(Default)]
pub(super) struct Run {
    arrivals: Vec<(Moment, CompactString, Arrival)>,
    /// Inputs that come again, by moment and then by order.
    again: BTreeMap<(Moment, usize), Line>,
    order: usize,
    players: BTreeMap<CompactString, Player>,
    report: Report,
}

impl Run {
    pub(super) fn all(mut self, lines: &[(usize, Line)]) -> Report {
        for (number, line) in lines {
            let at = line.at_us.0;
            self.catch_up(&line.of, at);
            if let Some(machine) = &line.machine {
                self.players.insert(line.of.clone(), Player::new(machine, at));
                self.again.retain(|_, again| again.of != line.of);
                self.arrivals.retain(|(_, of, _)| *of != line.of);
            }
            if let Some(expect) = &line.expect {
                self.check(*number, line, expect);
            }
            if line.input.is_some() {
                self.tell(at, line.clone());
            }
            self.report.lost += line.lost.unwrap_or(0);
        }
        self.report
    }

    /// Gives the machine `of` what it is told again up to `until`.
    fn catch_up(&mut self, of: &str, until: Moment) {
        loop {
            let due = self.again.range(..=(until, usize::MAX));
            let due = due.filter(|(_, line)| line.of == of).map(|(key, _)| *key).next();
            let Some(key) = due else { return };
            if let Some(line) = self.again.remove(&key) {
                self.tell(key.0, line);
            }
        }
    }

    fn tell(&mut self, at: Moment, line: Line) {
        let Some(input) = line.input.clone() else { return };
        if let Input::Gate(admission::Input::Arrive(arrival)) = &input {
            self.arrivals.push((at, line.of.clone(), arrival.clone()));
        }
        let Some(player) = self.players.get_mut(&line.of) else { return };
        for output in player.handle(at, input) {
            self.report.outputs.push(TimedOutput { at, of: line.of.clone(), output });
        }
        if let (Some(every), Some(until)) = (line.every_us, line.until_us)
            && at + every.0 <= until.0
        {
            self.order += 1;
            self.again.insert((at + every.0, self.order), line);
        }
    }

    fn check(&mut self, number: usize, line: &Line, expect: &Expect) {
        let (held, found) = match expect {
            Expect::Count { least, like, most, since_us } => {
                let count = self.count(line, since_us.0, like);
                let enough = least.is_none_or(|least| count >= least);
                (enough && most.is_none_or(|most| count <= most), count.to_string())
            }
            Expect::Decided { since_us, within_us } => {
                let of = |_: &Arrival| true;
                let late = self.late(line, since_us.0, within_us.0, false, &of).0;
                (late == 0, format!("{late} later"))
            }
            Expect::InService { least } => {
                let count = self.in_service(line);
                (count >= *least, count.to_string())
            }
            Expect::Running { most } => self.at_most(line, *most, admission::Gate::running),
            Expect::Started { callers, least_share, other_than, since_us, within_us } => {
                let of = |arrival: &Arrival| {
                    let all = callers.is_empty() || callers.contains(&arrival.caller);
                    all && !other_than.contains(&arrival.caller)
                };
                let (late, all) = self.late(line, since_us.0, within_us.0, true, &of);
                let share = (all - late) as f64 / all.max(1) as f64;
                (all > 0 && share >= *least_share, format!("{} of {all}", all - late))
            }
            Expect::Verdict { is, upstream } => {
                let verdict = self.status(line, upstream);
                (is.contains(&verdict), format!("{verdict:?}"))
            }
            Expect::Waiting { most } => self.at_most(line, *most, admission::Gate::waiting),
        };
        let shown = serde_json::to_string(expect).unwrap_or_default();
        let why = if line.why.is_empty() { String::new() } else { format!(" ({})", line.why) };
        let text = format!("{shown}, found `{found}`{why}");
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

    fn count(&self, line: &Line, since: Moment, like: &serde_json::Value) -> usize {
        let values = self.outputs(line, since).map(|placed| serde_json::to_value(&placed.output));
        values.flatten().filter(|value| is_like(value, like)).count()
    }

    /// Requests that were not decided (or run) in time, and all that count.
    fn late(
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
        let (mut late, mut all) = (0, 0);
        for (at, _, arrival) in arrivals {
            all += 1;
            let in_time = |then: &Moment| *then <= *at + within;
            late += usize::from(!decided.get(&arrival.ticket).is_some_and(in_time));
        }
        (late, all)
    }

    fn at_most(
        &self,
        line: &Line,
        most: usize,
        of: fn(&admission::Gate) -> usize,
    ) -> (bool, String) {
        match self.players.get(&line.of) {
            Some(Player::Gate(gate)) => (of(gate) <= most, of(gate).to_string()),
            _ => (false, "no gate".into()),
        }
    }

    fn in_service(&self, line: &Line) -> usize {
        match self.players.get(&line.of) {
            Some(Player::Judge(judge)) => {
                judge.statuses().filter(|(_, verdict)| *verdict < Status::Trial).count()
            }
            _ => 0,
        }
    }

    fn status(&self, line: &Line, upstream: &str) -> Status {
        match self.players.get(&line.of) {
            Some(Player::Judge(judge)) => judge.status(upstream),
            _ => Status::Sound,
        }
    }
}
