//! Passes an upstream's answer on to the caller.

use crate::claim;
use crate::exchange::Answer;
use crate::exchange::Body;
use crate::exchange::Response;
use crate::exchange::ResponseWriter;
use crate::health;
use crate::node::Input;
use crate::node::probe::is_draining;

use super::Shared;
use super::claims;
use super::claims::Held;
use super::job::Job;
use super::tried::Tried;

/// Passes an answer on. Only when all of it has gone through does the upstream count as
/// having served, and its connection as fit for another request.
pub(super) async fn pass_on(
    shared: &Shared,
    job: &Job,
    tried: Tried<'_>,
    mut answer: Answer,
    held: Option<Held<'_>>,
    writer: &mut ResponseWriter,
) {
    let mut response = std::mem::replace(&mut answer.response, Response::new(200));
    shared.note_bytes(response.body.len().unwrap_or_default());
    if let Some(held) = held {
        held.end(record(&mut response).await);
    }
    if job.payload.is_stream() && answer.is_early() {
        writer.close_after();
    }
    if is_draining(&response) {
        let (service, upstream) = (job.service.clone(), tried.upstream());
        shared.tell(Input::Probed { draining: Some(true), healthy: true, service, upstream });
    }
    let failed = response.status >= 500;
    writer.send(response).await.ok();
    let kind = match failed {
        _ if answer.is_broken() => health::Kind::Cut,
        true => health::Kind::ServerError,
        false => health::Kind::Success,
    };
    let address = tried.address();
    tried.finish(kind, job.terms.long);
    if let Some(connection) = answer.release() {
        shared.pool.put(address, connection);
    }
}

/// What the ledger is told of an answer; a small one whole, for a caller that loses it.
async fn record(response: &mut Response) -> claim::Outcome {
    let long = response.body.len().is_none_or(|length| length > claims::KEPT_MAX as u64);
    if long {
        return claims::keep(response, None);
    }
    match std::mem::take(&mut response.body).read_all().await {
        Ok(bytes) => {
            response.body = Body::Buffered(bytes.clone());
            claims::keep(response, Some(&bytes))
        }
        Err(error) => {
            tracing::warn!(target: "hemlockfield::claim", "answer is not kept: {error}");
            claims::keep(response, None)
        }
    }
}
