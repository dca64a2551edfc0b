//! Relays an upstream's answer to the caller.

use crate::exchange::Answer;
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
    answer: Answer,
    claim: Option<Claim<'_>>,
    writer: &mut ResponseWriter,
) {
    let (response, mut exchange) = answer.split();
    proxy.count_bytes(response.body.len().unwrap_or_default());
    if let Some(claim) = claim {
        claim.end(claims::outcome(&response));
    }
    if is_draining(&response) {
        let (service, upstream) = (job.service.clone(), attempt.upstream());
        proxy.try_notify(Input::Probed { draining: Some(true), healthy: true, service, upstream });
    }
    let failed = response.status >= 500;
    let sent = exchange.relay(response, writer, job.left(proxy.now())).await;
    if let Err(error) = sent {
        tracing::debug!(target: "hemlockfield::exchange", "answer was not relayed: {error}");
    }
    let kind = match failed {
        _ if exchange.is_broken() => health::Kind::Cut,
        true => health::Kind::ServerError,
        false => health::Kind::Success,
    };
    let address = attempt.address();
    attempt.finish(kind, job.terms.long);
    if let Some(connection) = exchange.release() {
        proxy.pool.put(address, connection);
    }
}
