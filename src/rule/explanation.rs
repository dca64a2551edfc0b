use std::fmt;

use super::Action;
use super::Criterion;
use super::Request;
use super::Rule;
use super::StateSource;
use crate::id::TeamId;

/// A rule that did not hold.
#[derive(Clone, Debug)]
pub struct Skipped<'a> {
    /// The criterion that failed.
    pub criterion: Criterion,
    /// The rule.
    pub rule: &'a Rule,
}

/// Which rule decides a request, and why those before it did not.
#[derive(Clone, Debug)]
pub struct Explanation<'a> {
    /// The rule that decides; `None` when no rule holds.
    pub decides: Option<&'a Rule>,
    /// How many earlier rules are for another host or path.
    pub skipped_by_location: usize,
    /// Whether it is refused for want of an API key.
    pub needs_key: bool,
    /// Earlier rules for this host and path, with the criterion that failed.
    pub skipped: Vec<Skipped<'a>>,
    /// Team of the caller.
    pub team: Option<TeamId>,
}

impl<'a> Explanation<'a> {
    pub(super) fn new(
        rules: &'a [Rule],
        request: &Request,
        team: Option<&TeamId>,
        state: &dyn StateSource,
    ) -> Self {
        let team_name = team.cloned();
        let mut found = Self {
            decides: None,
            skipped_by_location: 0,
            needs_key: false,
            skipped: Vec::new(),
            team: team_name,
        };
        for rule in rules {
            match rule.when.failing(request, team, state) {
                None => {
                    found.decides = Some(rule);
                    break;
                }
                Some(Criterion::Host | Criterion::Path) => found.skipped_by_location += 1,
                Some(criterion) => found.skipped.push(Skipped { criterion, rule }),
            }
        }
        found
    }
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        if let Some(team) = &self.team {
            writeln!(formatter, "caller is in team `{team}`")?;
        }
        if self.skipped_by_location > 0 {
            writeln!(
                formatter,
                "{} earlier rules are for another host or path",
                self.skipped_by_location
            )?;
        }
        for Skipped { criterion, rule } in &self.skipped {
            let wanted = rule.when.wanted(*criterion);
            let place = format!("line {}: `{}`", rule.line, rule.name);
            writeln!(formatter, "{place} passed over: `{criterion}` fails, it wants {wanted}")?;
        }
        if self.needs_key {
            let text = "teams have API keys; without a known one the request is refused with 401";
            return write!(formatter, "{text}, not run");
        }
        let Some(rule) = self.decides else {
            return write!(formatter, "no rule holds; the request is refused with 404, not run");
        };
        write!(formatter, "line {}: `{}` decides: ", rule.line, rule.name)?;
        match &rule.then {
            Action::Refuse { message, status } => {
                write!(formatter, "refuse with {status}, `{message}`")
            }
            Action::Route { split, terms } => {
                let kind = if terms.idempotent { "idempotent" } else { "non-idempotent" };
                let class = &terms.class;
                let deadline = terms.deadline;
                write!(formatter, "route to {split}, class `{class}`, {kind}, {deadline:?}")
            }
        }
    }
}
