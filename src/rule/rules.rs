use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;

use super::Action;
use super::Class;
use super::Error;
use super::Explanation;
use super::Index;
use super::Limits;
use super::Request;
use super::Rule;
use super::Service;
use super::StateSource;
use super::teams;
use crate::id::ClassId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Yaml;
use crate::team::Teams;

/// Name of the document in mistakes if no file name is given.
const DEFAULT_FILE: &str = "rules";

/// Fields of a document.
const FIELDS: [&str; 6] = ["classes", "limits", "require_keys", "rules", "services", "teams"];

/// A validated document of rules with its index.
#[derive(Clone, Debug)]
pub struct Rules {
    classes: Vec<Class>,
    index: Index,
    limits: Limits,
    rules: Vec<Arc<Rule>>,
    services: BTreeMap<ServiceId, Service>,
    teams: Arc<Teams>,
}

impl Rules {
    /// Creates rules that were read from another kind of document. The code that calls this must
    /// have checked that each service and class that a rule names exists.
    pub fn new(
        classes: Vec<Class>,
        services: BTreeMap<ServiceId, Service>,
        rules: Vec<Arc<Rule>>,
        limits: Limits,
        teams: Arc<Teams>,
    ) -> Self {
        let index = Index::new(&rules);
        Self { classes, index, limits, rules, services, teams }
    }

    /// Limits on callers' connections.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Parses and validates `text`.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with all mistakes and their lines.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Self::parse_file(DEFAULT_FILE, text)
    }

    /// Parses and validates `text`; mistakes refer to it as `file`.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with all mistakes and their lines.
    pub fn parse_file(file: &str, text: &str) -> Result<Self, Error> {
        let yaml = Yaml::parse(file, text).map_err(|mistake| Error::Invalid(vec![mistake]))?;
        let mistakes = Mistakes::new(file);
        let rules = Self::read(&yaml, &mistakes);
        let mistakes = mistakes.into_sorted();
        match rules {
            Some(rules) if mistakes.is_empty() => Ok(rules),
            _ => Err(Error::Invalid(mistakes)),
        }
    }

    /// Classes in order of priority.
    pub fn classes(&self) -> &[Class] {
        &self.classes
    }

    /// Returns the first rule that matches `request`.
    pub fn decide(&self, request: &Request, state: &dyn StateSource) -> Option<&Rule> {
        let team = self.team_of(request);
        let mut candidates = self.index.candidates(request, team);
        let is_match = |rule: &&Rule| rule.when.first_mismatch(request, team, state).is_none();
        std::iter::from_fn(|| candidates.next())
            .map(|position| self.rules[position].as_ref())
            .find(is_match)
    }

    /// Explains which rule decides and why the earlier ones did not match.
    pub fn explain(&self, request: &Request, state: &dyn StateSource) -> Explanation<'_> {
        let explanation = Explanation::new(&self.rules, request, self.team_of(request), state);
        let needs_key = request.team.is_none() && self.needs_key(explanation.decides);
        Explanation { needs_key, ..explanation }
    }

    /// Whether a request that `rule` decides needs an API key: if the document requires keys and the
    /// rule is not public.
    pub fn needs_key(&self, rule: Option<&Rule>) -> bool {
        let is_public = |rule: &Rule| match &rule.then {
            Action::Refuse { .. } => false,
            Action::Route { terms, .. } => terms.public,
        };
        self.teams.requires_key() && !rule.is_some_and(is_public)
    }

    /// Rules in the order of the document.
    pub fn rules(&self) -> &[Arc<Rule>] {
        &self.rules
    }

    /// Returns the first rule that matches, by a linear scan. [`Self::decide`] must return
    /// the same rule; tests and benchmarks compare the two.
    pub fn scan(&self, request: &Request, state: &dyn StateSource) -> Option<&Rule> {
        let team = self.team_of(request);
        self.rules()
            .iter()
            .map(AsRef::as_ref)
            .find(|rule: &&Rule| rule.when.first_mismatch(request, team, state).is_none())
    }

    /// Settings of `service`, if the document defines it.
    pub fn service(&self, service: &str) -> Option<&Service> {
        self.services.get(service)
    }

    /// Settings of all services by name.
    pub fn services(&self) -> &BTreeMap<ServiceId, Service> {
        &self.services
    }

    /// Teams with their keys.
    pub fn teams(&self) -> &Teams {
        &self.teams
    }

    /// Team of the request's API key, or else of its caller.
    fn team_of<'a>(&'a self, request: &Request<'a>) -> Option<&'a TeamId> {
        let team_of_caller = || self.teams.of_caller(request.caller).map(|team| &team.name);
        request.team.or_else(team_of_caller)
    }

    fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &FIELDS)?;
        let limits = fields.yaml("limits").and_then(|yaml| Limits::read(yaml, mistakes));
        let classes = read_classes(&fields);
        let services = read_services(&fields);
        let teams = teams::read(&fields, &classes);
        let names: HashSet<TeamId> = teams.all().iter().map(|team| team.name.clone()).collect();
        let rules = read_rules(&fields, &classes);
        for rule in &rules {
            check_names(rule, &services, &names, mistakes);
        }
        if rules.is_empty() {
            mistakes.add(fields.line_of("rules"), "`rules` is empty; write at least one rule");
        }
        let rules = rules.into_iter().map(Arc::new).collect();
        Some(Self::new(classes, services, rules, limits.unwrap_or_default(), Arc::new(teams)))
    }
}

fn read_classes(fields: &Fields) -> Vec<Class> {
    let mut classes: Vec<Class> = Vec::new();
    for yaml in fields.items("classes") {
        let Some(class) = Class::read(yaml, fields.mistakes()) else { continue };
        if classes.iter().any(|other| other.name == class.name) {
            let text = format!("class `{}` is named twice; names are unique", class.name);
            fields.mistakes().add(yaml.line, text);
        }
        classes.push(class);
    }
    if classes.is_empty() {
        classes.push(Class::common());
    }
    classes
}

fn read_services(fields: &Fields) -> BTreeMap<ServiceId, Service> {
    let mut services = BTreeMap::new();
    for (_, name, yaml) in fields.entries("services") {
        if let Some(service) = Service::read(yaml, fields.mistakes()) {
            services.insert(name.clone(), service);
        }
    }
    services
}

fn read_rules(fields: &Fields, classes: &[Class]) -> Vec<Rule> {
    let names: Vec<ClassId> = classes.iter().map(|class| class.name.clone()).collect();
    let Some(last) = names.last() else { return Vec::new() };
    let mut seen = HashSet::new();
    let mut rules = Vec::new();
    for yaml in fields.items("rules") {
        let Some(rule) = Rule::read(yaml, last, &names, fields.mistakes()) else { continue };
        if !seen.insert(rule.name.clone()) {
            let text = format!("rule `{}` is named twice; names are unique", rule.name);
            fields.mistakes().add(rule.line, text);
        }
        rules.push(rule);
    }
    rules
}

/// Checks that the services and teams that a rule names exist.
fn check_names(
    rule: &Rule,
    services: &BTreeMap<ServiceId, Service>,
    teams: &HashSet<TeamId>,
    mistakes: &Mistakes,
) {
    let mut used: Vec<&ServiceId> = rule.when.states.iter().map(|state| &state.0).collect();
    if let Action::Route { split, .. } = &rule.then {
        used.extend(split.parts().iter().map(|part| &part.service));
    }
    for service in used {
        if !services.contains_key(service) {
            let known: Vec<&str> = services.keys().map(ServiceId::as_str).collect();
            let known = known.join("`, `");
            let text = format!(
                "rule `{}`: `{service}` is not a service; allowed are `{known}`",
                rule.name
            );
            mistakes.add(rule.line, text);
        }
    }
    for team in &rule.when.teams {
        if !teams.contains(team) {
            let text = format!("rule `{}`: `{team}` is not a team; add it to `teams`", rule.name);
            mistakes.add(rule.line, text);
        }
    }
}
