//! Asks control for the claim of a keyed request, and answers resends.

use std::time::Duration;

use async_std::channel::bounded;
use async_std::future::timeout;
use http::HeaderName;
use http::HeaderValue;

use crate::claim;
use crate::claim::Answer;
use crate::claim::KeptAnswer;
use crate::claim::Outcome;
use crate::claim::Slot;
use crate::exchange;
use crate::exchange::Response;
use crate::exchange::refuse;
use crate::node::Input;
use crate::node::input::Claimed;

use super::Shared;
use super::job::Job;

/// Says that an answer is that of an earlier sending of the request.
const REPLAYED_HEADER: &str = "x-hemlockfield-replayed";
/// Longest answer that is kept, in bytes.
pub(super) const KEPT_MAX: usize = 4096;
/// Added to a request's own deadline before its unfinished claim counts as unknown.
const GRACE: Duration = Duration::from_secs(5);
/// How much longer than control may take an answer of control is waited for, so that it
/// is control that gives up first and frees the key.
const SLACK: Duration = Duration::from_millis(250);
/// When to ask again about a request that is in progress.
const SOON: Duration = Duration::from_millis(500);

/// A claim that was granted: it must end, in one way or the other.
pub(super) struct Held<'a> {
    ended: bool,
    shared: &'a Shared,
    ticket: u64,
}

impl<'a> Held<'a> {
    /// Claims the job's key. `Err` has the answer for a caller whose request is not to be
    /// dispatched.
    pub(super) async fn ask(shared: &'a Shared, job: &Job) -> Result<Option<Self>, Box<Response>> {
        let Some(key) = &job.key else { return Ok(None) };
        let scope = job.team.clone().unwrap_or_else(|| job.caller.clone());
        let slot = Slot { caller: scope, key: key.clone(), service: job.service.clone() };
        let left = job.left(shared.now());
        let request = claim::Request { digest: job.digest(), limit: left + GRACE, slot };
        let (sender, receiver) = bounded(1);
        shared.tell(Input::Claim(job.ticket, request, left, sender));
        let held = Self { ended: false, shared, ticket: job.ticket };
        let claimed = timeout(left + SLACK, receiver.recv()).await;
        match claimed {
            Ok(Ok(Claimed::Granted)) => Ok(Some(held)),
            Ok(Ok(Claimed::Answer(answer))) => {
                held.forget();
                Err(Box::new(told(answer)))
            }
            Ok(Ok(Claimed::Refused(after))) => {
                held.forget();
                Err(Box::new(unconfirmed(after)))
            }
            Ok(Err(_)) | Err(_) => {
                held.abandon();
                Err(Box::new(unconfirmed(SOON)))
            }
        }
    }

    /// The request ran, or may have run.
    pub(super) fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.shared.tell_surely(Input::ClaimEnd(self.ticket, Some(outcome)));
    }

    /// The request is proved not to have run: its key is free again.
    pub(super) fn abandon(mut self) {
        self.ended = true;
        self.shared.tell_surely(Input::ClaimEnd(self.ticket, None));
    }

    fn forget(mut self) {
        self.ended = true;
    }
}

impl Drop for Held<'_> {
    /// A job that is dropped midway, as when its task panics, leaves its key unknown.
    fn drop(&mut self) {
        if !self.ended {
            self.shared.tell_surely(Input::ClaimEnd(self.ticket, Some(Outcome::Unknown)));
        }
    }
}

/// What is kept of an answer for a caller that loses it.
pub(super) fn keep(response: &Response, body: Option<&[u8]>) -> Outcome {
    let status = response.status;
    let Some(body) = body else { return Outcome::ran(status, None) };
    let headers = response
        .headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect();
    Outcome::ran(status, Some(KeptAnswer { body: body.to_vec(), headers }))
}

fn told(answer: Answer) -> Response {
    match answer {
        Answer::Conflict => {
            refuse(422, exchange::Outcome::NotRun, "the key stands for another request", None)
        }
        Answer::Done(Outcome::Ran { answer: Some(answer), status }) => replay(status, answer),
        Answer::Done(Outcome::Ran { answer: None, status }) => {
            let text = format!("the request ran already, with status `{status}`");
            refuse(409, exchange::Outcome::AlreadyRun, &text, None)
        }
        Answer::InProgress { by, .. } => {
            let text = format!("the request is being run, through `{by}`");
            refuse(409, exchange::Outcome::InProgress, &text, Some(SOON))
        }
        Answer::Done(Outcome::Unknown) | Answer::Unknown => {
            refuse(409, exchange::Outcome::Unknown, "the request may have run before", None)
        }
    }
}

fn replay(status: u16, answer: KeptAnswer) -> Response {
    let mut response = Response::new(status);
    response.body = answer.body.into();
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers.append(name, value);
        }
    }
    response.set_header(HeaderName::from_static(REPLAYED_HEADER), "true");
    response
}

fn unconfirmed(after: Duration) -> Response {
    let text = "the request could not be claimed, and was not run";
    refuse(503, exchange::Outcome::NotRun, text, Some(after))
}
