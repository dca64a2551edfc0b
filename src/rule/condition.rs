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
use crate::settings::Tree;
use crate::settings::scalar;

/// Value of `header` that any value of the header satisfies.
const PRESENT: &str = "*";

/// When a rule holds: every part that is given must hold, and a part that is a
/// list holds when one of its items does.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Condition {
    /// Callers.
    pub callers: Vec<CallerId>,
    /// Headers: name in lower case, and the value unless any will do.
    pub headers: Vec<(CompactString, Option<CompactString>)>,
    /// Hosts.
    pub hosts: Vec<Host>,
    /// Methods in upper case.
    pub methods: Vec<CompactString>,
    /// Paths.
    pub paths: Vec<Path>,
    /// States of services.
    pub states: Vec<(ServiceId, Vec<ServiceState>)>,
    /// Teams of the caller.
    pub teams: Vec<TeamId>,
}

impl Condition {
    /// First part that does not hold; `None` when the condition holds.
    pub fn failing(
        &self,
        request: &Request,
        team: Option<&TeamId>,
        state: &dyn StateSource,
    ) -> Option<Criterion> {
        let among = |list: &[CompactString], item: &str| {
            list.is_empty() || list.iter().any(|entry| entry == item)
        };
        if !self.hosts.is_empty() && !self.hosts.iter().any(|host| host.matches(request.host)) {
            return Some(Criterion::Host);
        }
        if !self.paths.is_empty() && !self.paths.iter().any(|path| path.matches(request.path)) {
            return Some(Criterion::Path);
        }
        if !among(&self.methods, request.method) {
            return Some(Criterion::Method);
        }
        if !among(&self.callers, request.caller) {
            return Some(Criterion::Caller);
        }
        if !self.teams.is_empty() && !team.is_some_and(|team| self.teams.contains(team)) {
            return Some(Criterion::Team);
        }
        if !self.headers.iter().all(|(name, value)| header(request, name, value.as_deref())) {
            return Some(Criterion::Header);
        }
        let holds = |(service, states): &(ServiceId, Vec<ServiceState>)| {
            states.contains(&state.state(service))
        };
        if !self.states.iter().all(holds) {
            return Some(Criterion::ServiceState);
        }
        None
    }

    /// What `criterion` wants, for a person.
    pub fn wanted(&self, criterion: Criterion) -> String {
        let words: Vec<String> = match criterion {
            Criterion::Caller => self.callers.iter().map(ToString::to_string).collect(),
            Criterion::Header => self.headers.iter().map(show_header).collect(),
            Criterion::Host => self.hosts.iter().map(Scalar::show).collect(),
            Criterion::Method => self.methods.iter().map(ToString::to_string).collect(),
            Criterion::Path => self.paths.iter().map(Scalar::show).collect(),
            Criterion::ServiceState => self.states.iter().map(show_state).collect(),
            Criterion::Team => self.teams.iter().map(ToString::to_string).collect(),
        };
        format!("`{}`", words.join("`, `"))
    }

    pub(super) fn read(tree: &Tree, mistakes: &Mistakes) -> Option<Self> {
        let allowed = ["caller", "header", "host", "method", "path", "service_state", "team"];
        let fields = Fields::open(tree, mistakes, &allowed)?;
        let methods = fields.several::<CompactString>("method");
        for method in &methods {
            check_method(method, &fields);
        }
        Some(Self {
            callers: fields.several("caller"),
            headers: headers(&fields),
            hosts: fields.several("host"),
            methods: methods.iter().map(CompactString::to_uppercase).collect(),
            paths: fields.several("path"),
            states: states(&fields),
            teams: fields.several("team"),
        })
    }
}

fn show_header((name, value): &(CompactString, Option<CompactString>)) -> String {
    format!("{name}: {}", value.as_deref().unwrap_or(PRESENT))
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

fn header(request: &Request, name: &str, value: Option<&str>) -> bool {
    match (request.headers.header(name), value) {
        (Some(found), Some(value)) => found == value,
        (found, None) => found.is_some(),
        (None, Some(_)) => false,
    }
}

fn headers(fields: &Fields) -> Vec<(CompactString, Option<CompactString>)> {
    let mut headers = Vec::new();
    for (_, name, tree) in fields.entries("header") {
        let Some(value) = scalar::<CompactString>(tree, fields.mistakes()) else { continue };
        headers.push((name.to_lowercase(), (value != PRESENT).then_some(value)));
    }
    headers
}

fn states(fields: &Fields) -> Vec<(ServiceId, Vec<ServiceState>)> {
    let Some(tree) = fields.tree("service_state") else { return Vec::new() };
    let trees = match &tree.content {
        Content::List(items) => items.as_slice(),
        _ => std::slice::from_ref(tree),
    };
    trees.iter().filter_map(|tree| one_state(tree, fields.mistakes())).collect()
}

fn one_state(tree: &Tree, mistakes: &Mistakes) -> Option<(ServiceId, Vec<ServiceState>)> {
    let fields = Fields::open(tree, mistakes, &["is", "service"])?;
    let service = fields.required::<CompactString>("service");
    fields.needed("is");
    let states = fields.several::<ServiceState>("is");
    Some((service?, states))
}
