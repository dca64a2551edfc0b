//! Relays an upstream's answer to the caller.

use crate::claim;
use crate::exchange::Answer;
use crate::exchange::Body;
use crate::exchange::Response;
use crate::exchange::ResponseWriter;
use crate::health;
use crate::node::Input;
use crate::node::probe::is_draining;

use super::Proxy;
use super::attempt::Attempt;
use super::claims;
use super::claims::Claim;
use super::job::Job;

/// Relays an answer. The upstream's success is recorded, and its connection reused, only after the
/// whole answer has passed through.
pub(super) async fn relay_answer(
    proxy: &Proxy,
    job: &Job,
    attempt: Attempt<'_>,
    mut answer: Answer,
    claim: Option<Claim<'_>>,
    writer: &mut ResponseWriter,
) {
    let mut response = std::mem::replace(&mut answer.response, Response::new(200));
    proxy.count_bytes(response.body.len().unwrap_or_default());
    if let Some(claim) = claim {
        claim.end(claim_outcome(&mut response).await);
    }
    if job.payload.is_stream() && answer.is_early() {
        writer.close_after();
    }
    if is_draining(&response) {
        let (service, upstream) = (job.service.clone(), attempt.upstream());
        proxy.try_notify(Input::Probed { draining: Some(true), healthy: true, service, upstream });
    }
    let failed = response.status >= 500;
    writer.send(response).await.ok();
    let kind = match failed {
        _ if answer.is_broken() => health::Kind::Cut,
        true => health::Kind::ServerError,
        false => health::Kind::Success,
    };
    let address = attempt.address();
    attempt.finish(kind, job.terms.long);
    if let Some(connection) = answer.release() {
        proxy.pool.put(address, connection);
    }
}

/// The outcome for the claim ledger. A short answer is recorded whole, to be replayed to a caller
/// that loses it.
async fn claim_outcome(response: &mut Response) -> claim::Outcome {
    let long =
        response.body.len().is_none_or(|length| length > claims::MAX_KEPT_ANSWER_BYTES as u64);
    if long {
        return claims::outcome(response, None);
    }
    match std::mem::take(&mut response.body).read_all().await {
        Ok(bytes) => {
            response.body = Body::Buffered(bytes.clone());
            claims::outcome(response, Some(&bytes))
        }
        Err(error) => {
            tracing::warn!(target: "hemlockfield::claim", "can't keep the answer: {error}");
            claims::outcome(response, None)
        }
    }
}
