use std::fmt;
use std::sync::Arc;

use super::Action;
use super::Criterion;
use super::Request;
use super::Rule;
use super::StateSource;
use crate::id::TeamId;

/// A rule that did not match.
#[derive(Clone, Debug)]
pub struct Skipped<'a> {
    /// First criterion that did not match.
    pub criterion: Criterion,
    /// Rule that was skipped.
    pub rule: &'a Rule,
}

/// Which rule decides a request, and why the earlier ones did not match.
#[derive(Clone, Debug)]
pub struct Explanation<'a> {
    /// Rule that decides; `None` if no rule matches.
    pub decides: Option<&'a Rule>,
    /// Number of earlier rules for another host or path.
    pub skipped_by_location: usize,
    /// Whether the request is refused because it has no valid API key.
    pub needs_key: bool,
    /// Earlier rules for this host and path that did not match.
    pub skipped: Vec<Skipped<'a>>,
    /// Team of the caller, if known.
    pub team: Option<TeamId>,
}

impl<'a> Explanation<'a> {
    pub(super) fn new(
        rules: &'a [Arc<Rule>],
        request: &Request,
        team: Option<&TeamId>,
        state: &dyn StateSource,
    ) -> Self {
        let team_name = team.cloned();
        let mut explanation = Self {
            decides: None,
            skipped_by_location: 0,
            needs_key: false,
            skipped: Vec::new(),
            team: team_name,
        };
        for rule in rules {
            match rule.when.first_mismatch(request, team, state) {
                None => {
                    explanation.decides = Some(rule);
                    break;
                }
                Some(Criterion::Host | Criterion::Path) => explanation.skipped_by_location += 1,
                Some(criterion) => explanation.skipped.push(Skipped { criterion, rule }),
            }
        }
        explanation
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
            let expected = rule.when.accepted_values(*criterion);
            let place = format!("line {}: `{}`", rule.line, rule.name);
            writeln!(
                formatter,
                "{place} skipped: `{criterion}` does not match, expected {expected}"
            )?;
        }
        if self.needs_key {
            let text = "API keys are required; without a known one the request is refused with 401";
            return write!(formatter, "{text}, not run");
        }
        let Some(rule) = self.decides else {
            return write!(formatter, "no rule matches; the request is refused with 404, not run");
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
