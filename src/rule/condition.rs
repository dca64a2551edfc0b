use compact_str::CompactString;

use super::Criterion;
use super::Host;
use super::Path;
use super::Request;
use super::ServiceState;
use super::StateSource;
use crate::id::CallerId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::settings::Content;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Scalar;
use crate::settings::Yaml;
use crate::settings::scalar;

/// Value of `header` in a document that matches any value of the header.
const ANY_VALUE: &str = "*";

/// Criteria that are lists of values.
const LISTS: [Criterion; 5] =
    [Criterion::Host, Criterion::Path, Criterion::Method, Criterion::Caller, Criterion::Team];

/// Condition of a rule. Every criterion that is given must match. A list of hosts, paths,
/// methods, callers or teams matches if one item does, so that an empty one never does; all headers
/// and all service states must match.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Condition {
    /// Names of callers.
    pub callers: Vec<CallerId>,
    /// Headers: name in lower case and the required value, or `None` for any value.
    pub headers: Vec<(CompactString, Option<CompactString>)>,
    /// Host patterns.
    pub hosts: Vec<Host>,
    /// Methods, in upper case.
    pub methods: Vec<CompactString>,
    /// Path patterns.
    pub paths: Vec<Path>,
    /// Services, each with its accepted states.
    pub states: Vec<(ServiceId, Vec<ServiceState>)>,
    /// Names of teams, one of which must be the caller's.
    pub teams: Vec<TeamId>,
    /// Criterion that accepts no value, as its list is empty; nothing matches then.
    pub unmatchable: Option<Criterion>,
}

impl Condition {
    /// Returns the first criterion that does not match; `None` if all match.
    pub fn first_mismatch(
        &self,
        request: &Request,
        team: Option<&TeamId>,
        state: &dyn StateSource,
    ) -> Option<Criterion> {
        if self.unmatchable.is_some() {
            return self.unmatchable;
        }
        let is_listed = |list: &[CompactString], item: &str| {
            list.is_empty() || list.iter().any(|entry| entry == item)
        };
        if !self.hosts.is_empty() && !self.hosts.iter().any(|host| host.matches(request.host)) {
            return Some(Criterion::Host);
        }
        if !self.paths.is_empty() && !self.paths.iter().any(|path| path.matches(request.path)) {
            return Some(Criterion::Path);
        }
        if !is_listed(&self.methods, request.method) {
            return Some(Criterion::Method);
        }
        if !is_listed(&self.callers, request.caller) {
            return Some(Criterion::Caller);
        }
        if !self.teams.is_empty() && !team.is_some_and(|team| self.teams.contains(team)) {
            return Some(Criterion::Team);
        }
        if !self.headers.iter().all(|(name, value)| has_header(request, name, value.as_deref())) {
            return Some(Criterion::Header);
        }
        let is_in_state = |(service, states): &(ServiceId, Vec<ServiceState>)| {
            states.contains(&state.state(service))
        };
        if !self.states.iter().all(is_in_state) {
            return Some(Criterion::ServiceState);
        }
        None
    }

    /// Formats the values that `criterion` accepts, for people.
    pub fn accepted_values(&self, criterion: Criterion) -> String {
        let values: Vec<String> = match criterion {
            Criterion::Caller => self.callers.iter().map(ToString::to_string).collect(),
            Criterion::Header => self.headers.iter().map(show_header).collect(),
            Criterion::Host => self.hosts.iter().map(Scalar::show).collect(),
            Criterion::Method => self.methods.iter().map(ToString::to_string).collect(),
            Criterion::Path => self.paths.iter().map(Scalar::show).collect(),
            Criterion::ServiceState => self.states.iter().map(show_state).collect(),
            Criterion::Team => self.teams.iter().map(ToString::to_string).collect(),
        };
        format!("`{}`", values.join("`, `"))
    }

    /// Reads the `when` field of a rule.
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let allowed = ["caller", "header", "host", "method", "path", "service_state", "team"];
        let fields = Fields::open(yaml, mistakes, &allowed)?;
        let methods = fields.values::<CompactString>("method");
        for method in &methods {
            check_method(method, &fields);
        }
        Some(Self {
            callers: fields.values("caller"),
            headers: read_headers(&fields),
            hosts: fields.values("host"),
            methods: methods.iter().map(CompactString::to_uppercase).collect(),
            paths: fields.values("path"),
            states: read_states(&fields),
            teams: fields.values("team"),
            unmatchable: LISTS.into_iter().find(|list| is_empty_list(&fields, *list)),
        })
    }
}

/// Whether the list of a criterion is there and empty. A missing one accepts all values.
fn is_empty_list(fields: &Fields, criterion: Criterion) -> bool {
    let yaml = fields.yaml(&criterion.to_string());
    yaml.is_some_and(|yaml| matches!(&yaml.content, Content::List(items) if items.is_empty()))
}

fn show_header((name, value): &(CompactString, Option<CompactString>)) -> String {
    format!("{name}: {}", value.as_deref().unwrap_or(ANY_VALUE))
}

fn show_state((service, states): &(ServiceId, Vec<ServiceState>)) -> String {
    let states: Vec<String> = states.iter().map(Scalar::show).collect();
    format!("{service} is {}", states.join(" or "))
}

fn check_method(method: &CompactString, fields: &Fields) {
    if method.chars().all(|symbol| symbol.is_ascii_alphabetic()) {
        return;
    }
    let text = format!("`{method}` is not a method; write one such as `GET`");
    fields.mistakes().add(fields.line_of("method"), text);
}

fn has_header(request: &Request, name: &str, value: Option<&str>) -> bool {
    match (request.headers.header(name), value) {
        (Some(found), Some(value)) => found == value,
        (found, None) => found.is_some(),
        (None, Some(_)) => false,
    }
}

fn read_headers(fields: &Fields) -> Vec<(CompactString, Option<CompactString>)> {
    let mut headers = Vec::new();
    for (_, name, yaml) in fields.entries("header") {
        let Some(value) = scalar::<CompactString>(yaml, fields.mistakes()) else { continue };
        headers.push((name.to_lowercase(), (value != ANY_VALUE).then_some(value)));
    }
    headers
}

fn read_states(fields: &Fields) -> Vec<(ServiceId, Vec<ServiceState>)> {
    let Some(yaml) = fields.yaml("service_state") else { return Vec::new() };
    let trees = match &yaml.content {
        Content::List(items) => items.as_slice(),
        _ => std::slice::from_ref(yaml),
    };
    trees.iter().filter_map(|yaml| read_state(yaml, fields.mistakes())).collect()
}

fn read_state(yaml: &Yaml, mistakes: &Mistakes) -> Option<(ServiceId, Vec<ServiceState>)> {
    let fields = Fields::open(yaml, mistakes, &["is", "service"])?;
    let service = fields.required::<CompactString>("service");
    fields.required_yaml("is");
    let states = fields.values::<ServiceState>("is");
    Some((service?, states))
}
