use std::net::SocketAddr;
use std::time::Duration;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;

use crate::exchange;
use crate::exchange::Outcome;
use crate::exchange::Outlet;
use crate::exchange::Payload;
use crate::exchange::budget_of;
use crate::exchange::clean_request;
use crate::exchange::refuse;
use crate::id::CallerId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::node::View;
use crate::rule;
use crate::rule::Action;
use crate::rule::Terms;

use super::DIRECTORY_PATH;
use super::Shared;
use super::dispatch;
use super::job::Job;

/// When a caller may come back to an entry that has no configuration yet.
const STARTING: Duration = Duration::from_secs(1);

/// Headers of a request, as rules look them up.
struct Headers<'a>(&'a Request);

impl rule::Headers for Headers<'_> {
    fn header(&self, name: &str) -> Option<&str> {
        self.0
            .header(name)
            .and_then(|values| values.iter().next())
            .map(http_types::headers::HeaderValue::as_str)
    }
}

/// Serves one request to its end; nothing is left to answer afterwards.
pub(super) async fn serve(
    shared: &Shared,
    request: Request,
    outlet: &mut Outlet,
    peer: SocketAddr,
) {
    shared.metrics.count("request");
    if request.url().path() == DIRECTORY_PATH {
        let response = list_entries(shared, &request, peer);
        Declined::new(&request, response).tell(outlet).await;
        return;
    }
    let view = shared.view.load_full();
    let taken = take(shared, &view, request, peer).await;
    match taken {
        Ok(job) => dispatch::dispatch(shared, &view, job, outlet).await,
        Err(declined) => {
            shared.metrics.count("request.refused");
            declined.tell(outlet).await;
        }
    }
}

/// An answer that comes from the entry itself.
struct Declined {
    /// Whether the caller may still be uploading: that is not read, so that its
    /// connection can't go on.
    close: bool,
    response: Response,
}

impl Declined {
    fn new(request: &Request, response: Response) -> Self {
        Self { close: request.len() != Some(0), response }
    }

    async fn tell(self, outlet: &mut Outlet) {
        if self.close {
            outlet.close_after();
        }
        outlet.send(self.response).await.ok();
    }
}

fn list_entries(shared: &Shared, request: &Request, peer: SocketAddr) -> Response {
    let named = request.url().query_pairs().find(|(name, _)| name == "caller");
    let caller = named.map_or_else(|| shared.caller_at(peer.ip()), |(_, value)| value.into());
    let answer = shared.entries(&caller);
    let mut response = Response::new(200);
    match Body::from_json(&answer) {
        Ok(body) => response.set_body(body),
        Err(error) => return refuse(500, Outcome::NotRun, &error.to_string(), None),
    }
    response
}

/// What a rule says of a request.
struct Decided {
    caller: CallerId,
    service: ServiceId,
    team: Option<TeamId>,
    terms: Terms,
}

/// Finds the rule that decides, and makes a job of the request; or says why not.
async fn take(
    shared: &Shared,
    view: &View,
    request: Request,
    peer: SocketAddr,
) -> Result<Job, Declined> {
    match decide(shared, view, &request, peer) {
        Ok(decided) => make(shared, request, decided).await,
        Err(response) => Err(Declined::new(&request, *response)),
    }
}

fn decide(
    shared: &Shared,
    view: &View,
    request: &Request,
    peer: SocketAddr,
) -> Result<Decided, Box<Response>> {
    let Some(rules) = view.rules.as_ref().filter(|_| view.standing.serves()) else {
        let text = "this entry has no configuration yet; use another";
        return Err(Box::new(refuse(503, Outcome::NotRun, text, Some(STARTING))));
    };
    let caller = request
        .header(exchange::CALLER_HEADER)
        .map_or_else(|| shared.caller_at(peer.ip()), |values| values.last().as_str().into());
    let host = request.url().host_str().unwrap_or_default().to_ascii_lowercase();
    let method = request.method().to_string();
    let asked = rule::Request {
        caller: &caller,
        headers: &Headers(request),
        host: &host,
        method: &method,
        path: request.url().path(),
    };
    let Some(decided) = rules.decide(&asked, view) else {
        let text = "no rule holds for this request";
        return Err(Box::new(refuse(404, Outcome::NotRun, text, None)));
    };
    let (service, terms) = match &decided.then {
        Action::Refuse { message, status } => {
            return Err(Box::new(refuse(*status, Outcome::NotRun, message, None)));
        }
        Action::Route { service, terms } => (service.clone(), terms.clone()),
    };
    if let Some(response) = objection(request, &terms) {
        return Err(Box::new(response));
    }
    let team = rules.team(&caller).cloned();
    Ok(Decided { caller, service, team, terms })
}

/// What speaks against a request by itself.
fn objection(request: &Request, terms: &Terms) -> Option<Response> {
    let size = request.len().unwrap_or_default() as u64;
    if size > terms.body {
        let error = exchange::Error::BodySize { limit: terms.body, size };
        return Some(refuse(error.status(), Outcome::NotRun, &error.to_string(), None));
    }
    let header = terms.key.as_ref()?;
    if request.header(header.as_str()).is_some() || is_safe(request.method()) {
        return None;
    }
    let text = format!("header `{header}` is missing: this request runs at most once, by its key");
    Some(refuse(428, Outcome::NotRun, &text, None))
}

async fn make(shared: &Shared, mut request: Request, decided: Decided) -> Result<Job, Declined> {
    let Decided { caller, service, team, terms } = decided;
    let key = terms
        .key
        .as_ref()
        .and_then(|header| request.header(header.as_str()))
        .map(|values| values.last().as_str().into());
    let budget = budget_of(&request).map_or(terms.deadline, |budget| budget.min(terms.deadline));
    let deadline = shared.now() + budget;
    let idle = shared.settings.limits.idle;
    let payload = match Payload::take(&mut request, terms.body, idle).await {
        Ok(payload) => payload,
        Err(failure) => {
            let response = refuse(400, Outcome::NotRun, &failure.to_string(), None);
            return Err(Declined { close: true, response });
        }
    };
    clean_request(&mut request);
    let (ticket, id) = shared.next_request();
    Ok(Job { caller, deadline, head: request, id, key, payload, service, team, terms, ticket })
}

fn is_safe(method: Method) -> bool {
    matches!(method, Method::Get | Method::Head | Method::Options)
}
