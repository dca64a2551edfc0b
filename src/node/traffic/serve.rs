//! Takes one request off a caller's connection and says what becomes of it.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::pin_mut;
use futures::select;
use http::Method;
use rand::Rng;

use crate::admission::Startup;
use crate::boundary::Call;
use crate::clock::Moment;
use crate::exchange;
use crate::exchange::Outcome;
use crate::exchange::Outlet;
use crate::exchange::Payload;
use crate::exchange::Refusal;
use crate::exchange::Request;
use crate::exchange::Response;
use crate::exchange::clean_request;
use crate::id::RuleId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::node::View;
use crate::rule;
use crate::rule::Action;
use crate::rule::Terms;
use crate::team::Asker;
use crate::team::Team;

use super::DIRECTORY_PATH;
use super::Shared;
use super::allowances::Passed;
use super::dispatch;
use super::job::Job;
use super::tries::caller_gone;

/// When to come back to an entry that has no configuration yet: half a second passes between
/// the start of a whole fleet and its first leader, and a caller that is sent away for longer
/// has no time left for an answer.
const STARTING: Duration = Duration::from_millis(300);
/// Time that a caller is taken to have where it names none, before rules say otherwise.
const BUDGET: Duration = Duration::from_secs(2);

/// Headers of a request, as rules ask for them.
struct Headers<'a>(&'a Request);

impl rule::Headers for Headers<'_> {
    fn header(&self, name: &str) -> Option<&str> {
        self.0.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Serves one request.
pub(super) async fn serve(
    shared: &Shared,
    request: Request,
    outlet: &mut Outlet,
    peer: SocketAddr,
) {
    shared.metrics.count("request");
    if request.path() == DIRECTORY_PATH {
        let response = list_entries(shared, &request, peer);
        return decline(&request, response, outlet).await;
    }
    shared.note_arrival();
    shared.note_bytes(request.body.len().unwrap_or_default());
    let came = shared.now();
    if !wait_for_rules(shared, &request, outlet, peer).await {
        return;
    }
    let view = shared.view.load_full();
    let close = !request.body.is_empty();
    match take(shared, &view, request, peer, came).await {
        Ok(job) => dispatch::dispatch(shared, &view, job, outlet).await,
        Err(refusal) => {
            shared.metrics.count("request.refused");
            if close {
                outlet.close_after();
            }
            send(shared.boundary.refuse(&refusal), outlet).await;
        }
    }
}

/// Waits for the first configuration, as long as it is worth while; whether the caller is
/// still there.
async fn wait_for_rules(
    shared: &Shared,
    request: &Request,
    outlet: &Outlet,
    peer: SocketAddr,
) -> bool {
    if shared.view.load().serves() {
        return true;
    }
    let budget = shared.boundary.call(request, peer.ip()).budget.unwrap_or(BUDGET);
    let longest = Startup::max_wait(shared.now(), budget);
    let ready = shared.wait_until_ready(longest).fuse();
    let gone = caller_gone(!request.body.is_empty(), outlet).fuse();
    pin_mut!(gone, ready);
    select! {
        () = gone => false,
        () = ready => true,
    }
}

/// Answers without a look at the body, which ends the connection where there is one.
async fn decline(request: &Request, response: Response, outlet: &mut Outlet) {
    if !request.body.is_empty() {
        outlet.close_after();
    }
    send(response, outlet).await;
}

async fn send(response: Response, outlet: &mut Outlet) {
    if let Err(error) = outlet.send(response).await {
        tracing::debug!(target: "hemlockfield::exchange", "caller is gone: {error}");
    }
}

fn list_entries(shared: &Shared, request: &Request, peer: SocketAddr) -> Response {
    let named = request.query("caller");
    let caller = named.unwrap_or_else(|| shared.caller_at(peer.ip()));
    match serde_json::to_string(&shared.entries(&caller)) {
        Ok(text) => Response::json(200, text),
        Err(error) => exchange::refuse(500, Outcome::NotRun, &error.to_string(), None),
    }
}

/// What the rules say of a request.
struct Decided {
    call: Call,
    proven: Option<TeamId>,
    rule: RuleId,
    service: ServiceId,
    team: Option<Team>,
    terms: Terms,
}

impl Decided {
    /// Time that the caller has, and that the rule leaves it.
    fn budget(&self) -> Duration {
        let most = self.terms.deadline;
        self.call.budget.map_or(most, |budget| budget.min(most))
    }
}

async fn take(
    shared: &Shared,
    view: &View,
    request: Request,
    peer: SocketAddr,
    came: Moment,
) -> Result<Job, Refusal> {
    let decided = decide(shared, view, &request, peer);
    if let Err(refusal) = &decided {
        let id = shared.boundary.call(&request, peer.ip()).id;
        let path = request.path();
        let number = view.number;
        let Refusal { reason, status, .. } = refusal;
        tracing::info!(target: "hemlockfield::request", id = id.as_deref(), number, path, status, "{reason}");
    }
    let decided = decided?;
    let passed = pass(shared, view, &decided).await;
    if let Err(Refusal { reason, status, .. }) = &passed {
        let (id, number) = (decided.call.id.as_deref(), view.number);
        let rule = &decided.rule;
        tracing::info!(target: "hemlockfield::request", id, number, %rule, status, "{reason}");
    }
    let passed = passed?;
    let made = make(shared, request, decided, came).await;
    match (made, passed) {
        (Ok(job), passed) => Ok(Job { passed, ..job }),
        (Err(refusal), passed) => {
            passed.into_iter().for_each(Passed::give_back);
            Err(refusal)
        }
    }
}

/// Lets a request pass as far as its team may ask.
async fn pass(shared: &Shared, view: &View, decided: &Decided) -> Result<Option<Passed>, Refusal> {
    let Some(team) = &decided.team else { return Ok(None) };
    let number = view.number.unwrap_or_default();
    shared.allowances.pass(shared, team, number, decided.budget()).await
}

fn decide(
    shared: &Shared,
    view: &View,
    request: &Request,
    peer: SocketAddr,
) -> Result<Decided, Refusal> {
    let Some(rules) = view.rules.as_ref().filter(|_| view.serves()) else {
        let text = "this entry has no configuration yet; use another";
        return Err(Refusal::not_run(503, text, STARTING));
    };
    let call = shared.boundary.call(request, peer.ip());
    let asker = rules.teams().asker(call.key.as_ref());
    let asked = rule::Request {
        caller: &call.caller,
        headers: &Headers(request),
        host: &request.host(),
        method: request.method.as_str(),
        path: request.path(),
        team: asker.team().map(|team| &team.name),
    };
    let decided = rules.decide(&asked, view);
    if asker == Asker::Unknown && rules.needs_key(decided) {
        return Err(Refusal::new(401, Outcome::NotRun, "no known API key came with the request"));
    }
    let Some(decided) = decided else {
        return Err(Refusal::new(404, Outcome::NotRun, "no rule holds for this request"));
    };
    let (split, mut terms) = match &decided.then {
        Action::Refuse { message, status } => {
            return Err(Refusal::new(*status, Outcome::NotRun, message.as_str()));
        }
        Action::Route { split, terms } => (split, terms.clone()),
    };
    if let Some(refusal) = objection(request, &terms) {
        return Err(refusal);
    }
    let service = split.choose(rand::rng().random_range(0.0..1.0)).clone();
    let team = asker.team().or_else(|| rules.teams().of_caller(&call.caller));
    if let Some(class) = team.and_then(|team| team.class.clone()) {
        terms.class = class;
    }
    let proven = asker.team().map(|team| team.name.clone());
    let team = team.cloned();
    Ok(Decided { call, proven, rule: decided.name.clone(), service, team, terms })
}

/// Why a rule's terms don't allow the request, if they don't.
fn objection(request: &Request, terms: &Terms) -> Option<Refusal> {
    let size = request.body.len().unwrap_or_default();
    if size > terms.body {
        let error = exchange::Error::BodySize { limit: terms.body, size };
        return Some(Refusal::new(error.status(), Outcome::NotRun, error.to_string()));
    }
    let header = terms.key.as_ref()?;
    if request.headers.contains_key(header.as_str()) || is_safe(&request.method) {
        return None;
    }
    let text = format!("header `{header}` is missing: this request runs at most once, by its key");
    Some(Refusal::new(428, Outcome::NotRun, text))
}

async fn make(
    shared: &Shared,
    mut request: Request,
    decided: Decided,
    came: Moment,
) -> Result<Job, Refusal> {
    let deadline = came + decided.budget();
    let Decided { call, proven, rule, service, team, terms } = decided;
    let key = terms.key.as_ref().and_then(|header| request.header(header.as_str()));
    let key = key.map(Into::into);
    let limits = &shared.settings.limits;
    let payload = Payload::take(&mut request, terms.body, limits.body_buffer, limits.idle).await;
    let payload =
        payload.map_err(|failure| Refusal::new(400, Outcome::NotRun, failure.to_string()))?;
    clean_request(&mut request);
    let (ticket, own) = shared.next_request();
    Ok(Job {
        caller: call.caller,
        deadline,
        headers: request.headers,
        id: call.id.unwrap_or(own),
        key,
        method: request.method,
        passed: None,
        payload,
        proven,
        rule,
        service,
        steps: String::new(),
        target: request.target,
        team: team.map(|team| team.name),
        terms,
        ticket,
    })
}

/// Whether HTTP itself says that a method changes nothing.
fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}
