//! Claims the idempotency key of a request at control and answers resent requests.

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
use crate::exchange::Body;
use crate::exchange::Response;
use crate::exchange::refuse;
use crate::node::ClaimDecision;
use crate::node::Input;

use super::Proxy;
use super::job::Job;

/// Marks an answer that was recorded for an earlier send of the same request.
const REPLAYED_HEADER: &str = "x-hemlockfield-replayed";
/// Longest answer that is recorded for resends, in bytes.
const MAX_KEPT_ANSWER_BYTES: usize = 4096;
/// Time after a request's deadline until its unfinished claim counts as unknown.
const CLAIM_GRACE: Duration = Duration::from_secs(5);
/// How much longer than the request's deadline to wait for control. Control then times out first
/// and frees the key.
const CONTROL_REPLY_MARGIN: Duration = Duration::from_millis(250);
/// Retry-after for a request that is in progress, or whose claim control did not answer.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A granted claim. It must be ended or abandoned; when dropped, it ends with an unknown outcome.
pub(super) struct Claim<'a> {
    ended: bool,
    proxy: &'a Proxy,
    ticket: u64,
}

impl<'a> Claim<'a> {
    /// Claims the job's idempotency key; `None` for a job without one. `Err` holds the answer for
    /// a caller whose request must not be dispatched.
    pub(super) async fn acquire(
        proxy: &'a Proxy,
        job: &Job,
    ) -> Result<Option<Self>, Box<Response>> {
        let Some(key) = &job.key else { return Ok(None) };
        let scope = job.team.clone().unwrap_or_else(|| job.caller.clone());
        let slot = Slot { caller: scope, key: key.clone(), service: job.service.clone() };
        let left = job.left(proxy.now());
        let request = claim::Request { digest: job.digest(), limit: left + CLAIM_GRACE, slot };
        let (sender, receiver) = bounded(1);
        proxy.try_notify(Input::Claim(job.ticket, request, left, sender));
        let claim = Self { ended: false, proxy, ticket: job.ticket };
        let claimed = timeout(left + CONTROL_REPLY_MARGIN, receiver.recv()).await;
        match claimed {
            Ok(Ok(ClaimDecision::Granted)) => Ok(Some(claim)),
            Ok(Ok(ClaimDecision::Answer(answer))) => {
                claim.disarm();
                Err(Box::new(response_to_resend(answer)))
            }
            Ok(Ok(ClaimDecision::Refused(after))) => {
                claim.disarm();
                Err(Box::new(unconfirmed(after)))
            }
            Ok(Err(_)) | Err(_) => {
                claim.abandon();
                Err(Box::new(unconfirmed(RETRY_AFTER)))
            }
        }
    }

    /// Ends the claim of a request that ran, or may have run.
    pub(super) fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.proxy.notify(Input::ClaimEnd(self.ticket, Some(outcome)));
    }

    /// Frees the key of a request that provably did not run.
    pub(super) fn abandon(mut self) {
        self.ended = true;
        self.proxy.notify(Input::ClaimEnd(self.ticket, None));
    }

    fn disarm(mut self) {
        self.ended = true;
    }
}

impl Drop for Claim<'_> {
    /// A job that is dropped before its end, for example by a panic, leaves its outcome unknown.
    fn drop(&mut self) {
        if !self.ended {
            self.proxy.notify(Input::ClaimEnd(self.ticket, Some(Outcome::Unknown)));
        }
    }
}

/// The outcome to record for an answered request. A short answer is kept whole, to be replayed to a
/// caller that resends the request because it lost the answer.
pub(super) fn outcome(response: &Response) -> Outcome {
    let status = response.status;
    let body = match &response.body {
        Body::Buffered(body) if body.len() <= MAX_KEPT_ANSWER_BYTES => body,
        Body::Buffered(_) | Body::Stream(_) => return Outcome::ran(status, None),
    };
    let headers = response
        .headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect();
    Outcome::ran(status, Some(KeptAnswer { body: body.to_vec(), headers }))
}

fn response_to_resend(answer: Answer) -> Response {
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
            refuse(409, exchange::Outcome::InProgress, &text, Some(RETRY_AFTER))
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
