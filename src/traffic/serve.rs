//! Routes one request from a caller's connection, or refuses it.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;
use http::Method;
use rand::Rng;

use crate::admission::Startup;
use crate::boundary::Metadata;
use crate::clock::Moment;
use crate::exchange;
use crate::exchange::Bounds;
use crate::exchange::Outcome;
use crate::exchange::Payload;
use crate::exchange::Refusal;
use crate::exchange::Request;
use crate::exchange::Response;
use crate::exchange::ResponseWriter;
use crate::exchange::clean_request;
use crate::id::RuleId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::node::View;
use crate::rule;
use crate::rule::Action;
use crate::rule::Terms;
use crate::team::Requester;
use crate::team::Team;

use super::DIRECTORY_PATH;
use super::Proxy;
use super::Source;
use super::attempts::caller_gone;
use super::departure;
use super::dispatch;
use super::forward;
use super::job::Job;
use super::rate_limiter::Charge;

/// Retry-after while this entry has no configuration. A starting fleet needs half a second to
/// elect its first leader, and a caller told to wait longer would have no time left for an answer.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time budget of a caller that names none, before rules apply.
const DEFAULT_BUDGET: Duration = Duration::from_secs(2);

/// Headers of a request, for matching by rules.
struct Headers<'a>(&'a Request);

impl rule::Headers for Headers<'_> {
    fn header(&self, name: &str) -> Option<&str> {
        self.0.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Serves one request.
pub(super) async fn serve(
    proxy: &Proxy,
    mut request: Request,
    payload: Payload,
    writer: &mut ResponseWriter,
    peer: SocketAddr,
    source: Source,
) {
    let peer = forward::take_caller(&mut request, source, peer);
    proxy.metrics.count(if source == Source::Peer { "request.forwarded" } else { "request" });
    if request.path() == DIRECTORY_PATH {
        let response = list_entries(proxy, &request, peer);
        return send(response, writer).await;
    }
    // The entry that passed a request on has counted it.
    if source == Source::Caller {
        proxy.count_arrival();
    }
    proxy.count_bytes(payload.len().unwrap_or_default());
    let received_at = proxy.now();
    let sent_at = received_at.saturating_sub(proxy.longest_wait(received_at));
    if !wait_for_configuration(proxy, &request, &payload, writer, peer).await {
        return;
    }
    let view = proxy.view.load_full();
    match accept(proxy, &view, request, payload, peer, received_at).await {
        // Its body may have taken seconds.
        Ok(job) => {
            let view = proxy.view.load_full();
            dispatch::dispatch(proxy, &view, Job { sent_at, source, ..job }, writer).await;
        }
        Err(refusal) => {
            proxy.metrics.count("request.refused");
            send(proxy.boundary.refuse(&refusal), writer).await;
        }
    }
}

/// Waits for the first configuration, as long as the request could still be served in time.
/// Returns whether the caller is still connected.
async fn wait_for_configuration(
    proxy: &Proxy,
    request: &Request,
    payload: &Payload,
    writer: &ResponseWriter,
    peer: SocketAddr,
) -> bool {
    if proxy.view.load().serves() {
        return true;
    }
    let budget = proxy.boundary.read_metadata(request, peer.ip()).budget.unwrap_or(DEFAULT_BUDGET);
    let longest = Startup::max_wait(proxy.now(), budget);
    let ready = proxy.wait_until_ready(longest).fuse();
    let gone = caller_gone(!payload.is_empty(), writer).fuse();
    pin_mut!(gone, ready);
    select! {
        () = gone => false,
        () = ready => true,
    }
}

async fn send(response: Response, writer: &mut ResponseWriter) {
    if let Err(error) = writer.send(response).await {
        tracing::debug!(target: "hemlockfield::exchange", "caller disconnected: {error}");
    }
}

fn list_entries(proxy: &Proxy, request: &Request, peer: SocketAddr) -> Response {
    let named = request.query("caller");
    let caller = named.unwrap_or_else(|| proxy.unnamed_caller(peer.ip()));
    match serde_json::to_string(&proxy.entries(&caller)) {
        Ok(text) => Response::json(200, text),
        Err(error) => exchange::refuse(500, Outcome::NotRun, &error.to_string(), None),
    }
}

/// Result of routing a request by the rules.
struct Routing {
    metadata: Metadata,
    verified_team: Option<TeamId>,
    rule: RuleId,
    service: ServiceId,
    team: Option<Team>,
    terms: Terms,
}

impl Routing {
    /// The caller's time budget, capped by the rule's deadline.
    fn budget(&self) -> Duration {
        let max = self.terms.deadline;
        self.metadata.budget.map_or(max, |budget| budget.min(max))
    }
}

async fn accept(
    proxy: &Proxy,
    view: &View,
    request: Request,
    payload: Payload,
    peer: SocketAddr,
    received_at: Moment,
) -> Result<Job, Refusal> {
    let routing = route(proxy, view, &request, &payload, peer);
    if let Err(refusal) = &routing {
        let id = proxy.boundary.read_metadata(&request, peer.ip()).id;
        let path = request.path();
        let number = view.number;
        let Refusal { reason, status, .. } = refusal;
        tracing::info!(target: "hemlockfield::request", id = id.as_deref(), number, path, status, "{reason}");
    }
    let routing = routing?;
    let charge = charge_team(proxy, view, &routing).await;
    if let Err(Refusal { reason, status, .. }) = &charge {
        let (id, number) = (routing.metadata.id.as_deref(), view.number);
        let rule = &routing.rule;
        tracing::info!(target: "hemlockfield::request", id, number, %rule, status, "{reason}");
    }
    let charge = charge?;
    let built = build_job(proxy, request, payload, routing, received_at, peer.ip()).await;
    match (built, charge) {
        (Ok(job), charge) => Ok(Job { charge, ..job }),
        (Err(refusal), charge) => {
            charge.into_iter().for_each(Charge::refund);
            Err(refusal)
        }
    }
}

/// Counts a request against its team's rate limit.
async fn charge_team(
    proxy: &Proxy,
    view: &View,
    routing: &Routing,
) -> Result<Option<Charge>, Refusal> {
    let Some(team) = &routing.team else { return Ok(None) };
    let number = view.number.unwrap_or_default();
    proxy.rate_limiter.acquire(proxy, team, number, routing.budget()).await
}

fn route(
    proxy: &Proxy,
    view: &View,
    request: &Request,
    payload: &Payload,
    peer: SocketAddr,
) -> Result<Routing, Refusal> {
    let Some(rules) = view.rules.as_ref().filter(|_| view.serves()) else {
        let text = "this entry has no configuration yet; use another";
        return Err(Refusal::not_run(503, text, STARTUP_RETRY_AFTER));
    };
    let metadata = proxy.boundary.read_metadata(request, peer.ip());
    let requester = rules.teams().identify(metadata.key.as_ref());
    let rule_request = rule::Request {
        caller: &metadata.caller,
        headers: &Headers(request),
        host: &request.host(),
        method: request.method.as_str(),
        path: request.path(),
        team: requester.team().map(|team| &team.name),
    };
    let decided = rules.decide(&rule_request, view);
    if requester == Requester::Unknown && rules.needs_key(decided) {
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
    if let Some(refusal) = terms_violation(request, payload, &terms) {
        return Err(refusal);
    }
    let service = split.choose(rand::rng().random_range(0.0..1.0)).clone();
    let team = requester.team().or_else(|| rules.teams().of_caller(&metadata.caller));
    if let Some(class) = team.and_then(|team| team.class.clone()) {
        terms.class = class;
    }
    let verified_team = requester.team().map(|team| team.name.clone());
    let team = team.cloned();
    Ok(Routing { metadata, verified_team, rule: decided.name.clone(), service, team, terms })
}

/// Why a request violates its rule's terms, if it does.
fn terms_violation(request: &Request, payload: &Payload, terms: &Terms) -> Option<Refusal> {
    let size = payload.len().unwrap_or_default();
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

async fn build_job(
    proxy: &Proxy,
    mut request: Request,
    mut payload: Payload,
    routing: Routing,
    received_at: Moment,
    address: IpAddr,
) -> Result<Job, Refusal> {
    let deadline = received_at + routing.budget();
    receive_body(proxy, &mut payload, &routing, deadline).await?;
    let Routing { metadata, verified_team, rule, service, team, terms } = routing;
    let key = terms.key.as_ref().and_then(|header| request.header(header.as_str()));
    let key = key.map(Into::into);
    clean_request(&mut request);
    let (ticket, generated_id) = proxy.next_request();
    Ok(Job {
        address,
        caller: metadata.caller,
        deadline,
        headers: request.headers,
        id: metadata.id.unwrap_or(generated_id),
        key,
        length: payload.len(),
        method: request.method,
        paid: 0,
        charge: None,
        payload,
        sent_at: received_at,
        verified_team,
        rule,
        service,
        source: Source::Caller,
        steps: String::new(),
        target: request.target,
        team: team.map(|team| team.name),
        terms,
        ticket,
        trial: None,
    })
}

/// Receives a body that is small enough whole, or refuses the request.
async fn receive_body(
    proxy: &Proxy,
    payload: &mut Payload,
    routing: &Routing,
    deadline: Moment,
) -> Result<(), Refusal> {
    let limits = &proxy.settings.limits;
    let bounds = Bounds {
        buffer: limits.body_buffer,
        idle: limits.idle,
        memory: &proxy.body_memory,
        size: routing.terms.body,
    };
    let left = deadline.saturating_sub(proxy.now());
    let received = {
        let receive = timeout(left, payload.receive(bounds)).fuse();
        let unfinishable = proxy.unfinishable(deadline).fuse();
        pin_mut!(receive, unfinishable);
        select! {
            received = receive => Some(received),
            () = unfinishable => None,
        }
    };
    let (status, reason) = match received {
        Some(Ok(Ok(()))) => return Ok(()),
        Some(Ok(Err(error))) => (error.status(), error.to_string()),
        Some(Err(_)) => (408, format!("body was not received within `{} ms`", left.as_millis())),
        None => (503, departure::REASON.to_owned()),
    };
    proxy.metrics.count("body.refused");
    let Routing { metadata, rule, .. } = routing;
    let (id, framing) = (metadata.id.as_deref(), payload.framing());
    let received = payload.progress().received();
    tracing::info!(target: "hemlockfield::request", id, %rule, framing, received, status, "{reason}");
    Err(if status == 503 {
        Refusal::not_run(status, reason, departure::RETRY_AFTER)
    } else {
        Refusal::new(status, Outcome::NotRun, reason)
    })
}

/// Whether HTTP defines the method as safe (read-only).
fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}
