//! HTTP API for operators: status, configuration, announcements and membership of the quorum.

use std::sync::Arc;

use async_std::channel::Receiver;
use async_std::channel::bounded;
use serde::Deserialize;
use serde::Serialize;
use tide::Body;
use tide::Request;
use tide::Response;
use tide::StatusCode;

use crate::config::Version;
use crate::id::NodeId;
use crate::id::SubmissionId;
use crate::node::Input;
use crate::node::InputSender;
use crate::quorum::Change;
use crate::quorum::DiskId;
use crate::registry::Announcement;
use crate::rule::Rules;
use crate::traffic::Proxy;
use crate::wire::Verdict;

/// Largest configuration, in bytes: 4,200 routes and 37,000 teams take about 1.5 MB.
const MAX_CONFIGURATION_BYTES: usize = 8 * 1024 * 1024;
/// Largest announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

/// State of the operator API.
#[derive(Clone)]
pub(crate) struct State {
    pub(crate) control: InputSender,
    pub(crate) proxy: Arc<Proxy>,
}

#[derive(Deserialize)]
struct SubmissionQuery {
    submission: SubmissionId,
}

#[derive(Deserialize)]
struct MembersQuery {
    add: Option<NodeId>,
    disk: Option<DiskId>,
    promote: Option<NodeId>,
    remove: Option<NodeId>,
}

#[derive(Deserialize)]
struct EntriesQuery {
    caller: Option<crate::id::CallerId>,
}

/// Answer to a submitted configuration.
#[derive(Serialize)]
struct SubmissionReply {
    verdict: Verdict,
}

/// Builds the routes of the operator API.
pub(crate) fn app(operators: State) -> tide::Server<State> {
    let mut app = tide::with_state(operators);
    app.at("/v1/status").get(status);
    app.at("/v1/configuration/:number").put(submit);
    app.at("/v1/drain").post(drain);
    app.at("/v1/members").post(members);
    app.at("/v1/upstreams").post(announce);
    app.at("/v1/entries").get(entries);
    app
}

async fn status(request: Request<State>) -> tide::Result {
    let (sender, receiver) = bounded(1);
    let status = request_answer(request.state(), Input::Status(sender), &receiver).await?;
    let text = serde_json::to_string_pretty(&status)?;
    Ok(json_response(StatusCode::Ok, text))
}

async fn submit(mut request: Request<State>) -> tide::Result {
    let number = match request.param("number")?.parse() {
        Ok(number) if number > 0 => number,
        _ => {
            let text = format!("`{}` is not a number above 0", request.param("number")?);
            return Ok(text_response(StatusCode::BadRequest, text));
        }
    };
    let submission: SubmissionQuery = match request.query() {
        Ok(submission) => submission,
        Err(_) => {
            let text = "`submission` is missing; name this submission, so that it can be resent";
            return Ok(text_response(StatusCode::BadRequest, text));
        }
    };
    let document = match read_body(&mut request, "configuration", MAX_CONFIGURATION_BYTES).await? {
        Ok(bytes) => String::from_utf8(bytes)
            .map_err(|error| tide::Error::new(StatusCode::BadRequest, error))?,
        Err(response) => return Ok(response),
    };
    if let Err(error) = Rules::parse(&document) {
        return Ok(text_response(StatusCode::UnprocessableEntity, error.to_string()));
    }
    let version = Version::new(number, submission.submission, &document);
    let (sender, receiver) = bounded(1);
    let verdict =
        request_answer(request.state(), Input::Submit(version, sender), &receiver).await?;
    let status = match &verdict {
        Verdict::Accepted(_) | Verdict::AlreadyAccepted(_) => StatusCode::Ok,
        Verdict::Refused { .. } | Verdict::Reused(_) => StatusCode::Conflict,
        Verdict::Granted(_)
        | Verdict::NotLeader(_)
        | Verdict::Readable(_)
        | Verdict::Recorded(_)
        | Verdict::Unconfirmed => StatusCode::ServiceUnavailable,
    };
    Ok(json_response(status, serde_json::to_string(&SubmissionReply { verdict })?))
}

async fn drain(request: Request<State>) -> tide::Result {
    send(request.state(), Input::Drain).await?;
    request.state().proxy.request_drain();
    Ok(text_response(StatusCode::Ok, "leaving"))
}

async fn members(request: Request<State>) -> tide::Result {
    let members: MembersQuery = request.query()?;
    let change = match (members.add, members.disk, members.promote, members.remove) {
        (Some(node), Some(disk), None, None) => Change::AddLearner { disk, node },
        (None, None, Some(node), None) => Change::Promote { node },
        (None, None, None, Some(node)) => Change::Remove { node },
        _ => {
            let text = "one of `add` with `disk`, `promote` or `remove` is needed";
            return Ok(text_response(StatusCode::BadRequest, text));
        }
    };
    let (sender, receiver) = bounded(1);
    let changed =
        request_answer(request.state(), Input::ChangeMembers(change, sender), &receiver).await?;
    Ok(match changed {
        Ok(index) => text_response(StatusCode::Ok, format!("done at `{index}`")),
        Err(reason) => text_response(StatusCode::Conflict, reason),
    })
}

async fn announce(mut request: Request<State>) -> tide::Result {
    let body = match read_body(&mut request, "announcement", MAX_ANNOUNCEMENT_BYTES).await? {
        Ok(bytes) => bytes,
        Err(response) => return Ok(response),
    };
    let announcement: Announcement = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => {
            let text = format!("announcement can't be read: {error}");
            return Ok(text_response(StatusCode::BadRequest, text));
        }
    };
    let (sender, receiver) = bounded(1);
    let input = Input::Announce(announcement, sender);
    Ok(match request_answer(request.state(), input, &receiver).await? {
        Ok(()) => text_response(StatusCode::Ok, "announced"),
        Err(reason) => text_response(StatusCode::Conflict, reason),
    })
}

async fn entries(request: Request<State>) -> tide::Result {
    let query: EntriesQuery = request.query()?;
    let answer = request.state().proxy.entries(&query.caller.unwrap_or_default());
    Ok(json_response(StatusCode::Ok, serde_json::to_string(&answer)?))
}

/// Reads a body of a declared length, or returns the refusal. The library takes a body for complete
/// that was cut short of its length.
async fn read_body(
    request: &mut Request<State>,
    what: &str,
    max: usize,
) -> tide::Result<Result<Vec<u8>, Response>> {
    let Some(length) = request.len().filter(|length| *length <= max) else {
        let text = format!("`{what}` with a length of at most `{max}` bytes is needed");
        return Ok(Err(text_response(StatusCode::PayloadTooLarge, text)));
    };
    let body = request.body_bytes().await?;
    if body.len() != length {
        let text = format!("`{what}` was cut after `{}` of `{length}` bytes", body.len());
        tracing::info!(target: "hemlockfield::node", "{text}");
        request.state().proxy.metrics.count("body.refused");
        return Ok(Err(text_response(StatusCode::BadRequest, text)));
    }
    Ok(Ok(body))
}

async fn request_answer<T>(state: &State, input: Input, answer: &Receiver<T>) -> tide::Result<T> {
    send(state, input).await?;
    Ok(answer.recv().await?)
}

async fn send(state: &State, input: Input) -> tide::Result<()> {
    if state.control.send(input).await {
        return Ok(());
    }
    Err(tide::Error::from_str(StatusCode::ServiceUnavailable, "the process ends"))
}

fn json_response(status: StatusCode, text: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(Body::from_string(text));
    response.set_content_type(tide::http::mime::JSON);
    response
}

fn text_response(status: StatusCode, text: impl Into<String>) -> Response {
    let mut response = Response::new(status);
    response.set_body(format!("{}\n", text.into()));
    response
}
