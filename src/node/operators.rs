//! The operators' side by HTTP: status, submissions, announcements, changes of control.

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
use crate::quorum::Change;
use crate::quorum::DiskId;
use crate::registry::Announcement;
use crate::rule::Rules;
use crate::wire::Verdict;

use super::Inbox;
use super::Input;
use super::traffic::Proxy;

/// Largest configuration, in bytes: 4,200 routes and 37,000 teams are about 1.5 MB.
const DOCUMENT_MAX: usize = 8 * 1024 * 1024;
/// Largest announcement, in bytes.
const ANNOUNCEMENT_MAX: usize = 16 * 1024;

/// State of the operators' side.
#[derive(Clone)]
pub(super) struct Operators {
    pub(super) control: Inbox,
    pub(super) proxy: Arc<Proxy>,
}

#[derive(Deserialize)]
struct Submission {
    submission: SubmissionId,
}

#[derive(Deserialize)]
struct Members {
    add: Option<NodeId>,
    disk: Option<DiskId>,
    promote: Option<NodeId>,
    remove: Option<NodeId>,
}

#[derive(Deserialize)]
struct Caller {
    caller: Option<crate::id::CallerId>,
}

/// What an operator reads of a verdict.
#[derive(Serialize)]
struct Told {
    verdict: Verdict,
}

/// The operators' routes.
pub(super) fn app(operators: Operators) -> tide::Server<Operators> {
    let mut app = tide::with_state(operators);
    app.at("/v1/status").get(status);
    app.at("/v1/configuration/:number").put(submit);
    app.at("/v1/drain").post(drain);
    app.at("/v1/members").post(members);
    app.at("/v1/upstreams").post(announce);
    app.at("/v1/entries").get(entries);
    app
}

async fn status(request: Request<Operators>) -> tide::Result {
    let (sender, receiver) = bounded(1);
    let status = ask(request.state(), Input::Status(sender), &receiver).await?;
    let text = serde_json::to_string_pretty(&status)?;
    Ok(json(StatusCode::Ok, text))
}

async fn submit(mut request: Request<Operators>) -> tide::Result {
    let number = match request.param("number")?.parse() {
        Ok(number) if number > 0 => number,
        _ => {
            let text = format!("`{}` is not a number above 0", request.param("number")?);
            return Ok(text_of(StatusCode::BadRequest, text));
        }
    };
    let submission: Submission = match request.query() {
        Ok(submission) => submission,
        Err(_) => {
            let text = "`submission` is missing; name this submission, so that it can be resent";
            return Ok(text_of(StatusCode::BadRequest, text));
        }
    };
    if request.len().is_none_or(|length| length > DOCUMENT_MAX) {
        let text = format!("a configuration of at most `{DOCUMENT_MAX}` bytes is needed");
        return Ok(text_of(StatusCode::PayloadTooLarge, text));
    }
    let document = request.body_string().await?;
    if let Err(error) = Rules::parse(&document) {
        return Ok(text_of(StatusCode::UnprocessableEntity, error.to_string()));
    }
    let version = Version::new(number, submission.submission, &document);
    let (sender, receiver) = bounded(1);
    let verdict = ask(request.state(), Input::Submit(version, sender), &receiver).await?;
    let status = match &verdict {
        Verdict::Accepted(_) | Verdict::AlreadyAccepted(_) => StatusCode::Ok,
        Verdict::Refused { .. } | Verdict::Reused(_) => StatusCode::Conflict,
        Verdict::Announced
        | Verdict::Granted(_)
        | Verdict::NotLeader(_)
        | Verdict::Readable(_)
        | Verdict::Unconfirmed => StatusCode::ServiceUnavailable,
    };
    Ok(json(status, serde_json::to_string(&Told { verdict })?))
}

async fn drain(request: Request<Operators>) -> tide::Result {
    tell(request.state(), Input::Drain).await?;
    request.state().proxy.request_drain();
    Ok(text_of(StatusCode::Ok, "leaving"))
}

async fn members(request: Request<Operators>) -> tide::Result {
    let members: Members = request.query()?;
    let change = match (members.add, members.disk, members.promote, members.remove) {
        (Some(node), Some(disk), None, None) => Change::AddLearner { disk, node },
        (None, None, Some(node), None) => Change::Promote { node },
        (None, None, None, Some(node)) => Change::Remove { node },
        _ => {
            let text = "one of `add` with `disk`, `promote` or `remove` is needed";
            return Ok(text_of(StatusCode::BadRequest, text));
        }
    };
    let (sender, receiver) = bounded(1);
    let changed = ask(request.state(), Input::Change(change, sender), &receiver).await?;
    Ok(match changed {
        Ok(index) => text_of(StatusCode::Ok, format!("done at `{index}`")),
        Err(reason) => text_of(StatusCode::Conflict, reason),
    })
}

async fn announce(mut request: Request<Operators>) -> tide::Result {
    if request.len().is_none_or(|length| length > ANNOUNCEMENT_MAX) {
        let text = format!("an announcement of at most `{ANNOUNCEMENT_MAX}` bytes is needed");
        return Ok(text_of(StatusCode::PayloadTooLarge, text));
    }
    let body = request.body_bytes().await?;
    let announcement: Announcement = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => {
            let text = format!("announcement can't be read: {error}");
            return Ok(text_of(StatusCode::BadRequest, text));
        }
    };
    let (sender, receiver) = bounded(1);
    let input = Input::Announce(announcement, sender);
    Ok(match ask(request.state(), input, &receiver).await? {
        Ok(()) => text_of(StatusCode::Ok, "announced"),
        Err(reason) => text_of(StatusCode::Conflict, reason),
    })
}

async fn entries(request: Request<Operators>) -> tide::Result {
    let caller: Caller = request.query()?;
    let answer = request.state().proxy.entries(&caller.caller.unwrap_or_default());
    Ok(json(StatusCode::Ok, serde_json::to_string(&answer)?))
}

async fn ask<T>(state: &Operators, input: Input, answer: &Receiver<T>) -> tide::Result<T> {
    tell(state, input).await?;
    Ok(answer.recv().await?)
}

async fn tell(state: &Operators, input: Input) -> tide::Result<()> {
    if state.control.send(input).await {
        return Ok(());
    }
    Err(tide::Error::from_str(StatusCode::ServiceUnavailable, "the process ends"))
}

fn json(status: StatusCode, text: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(Body::from_string(text));
    response.set_content_type(tide::http::mime::JSON);
    response
}

fn text_of(status: StatusCode, text: impl Into<String>) -> Response {
    let mut response = Response::new(status);
    response.set_body(format!("{}\n", text.into()));
    response
}
