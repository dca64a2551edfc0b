//! Relays an upstream's answer to the caller.

use std::io;

use crate::exchange::Answer;
use crate::exchange::ResponseWriter;
use crate::health;

use super::Proxy;
use super::Source;
use super::attempt::Attempt;
use super::claims;
use super::claims::Claim;
use super::forward;
use super::job::Job;
use super::poison;

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
    let (mut response, mut exchange) = answer.split();
    proxy.count_bytes(response.body.len().unwrap_or_default());
    if let Some(claim) = claim {
        claim.end(claims::outcome(&response));
    }
    forward::clean_answer(&mut response);
    if job.source == Source::Peer && proxy.boundary.backpressure(&response).is_leaving {
        forward::mark_leaving(&mut response, &attempt.upstream());
    }
    let failed = response.status >= 500;
    let sent = exchange.relay(response, writer, job.left(proxy.now())).await;
    let is_late = sent.as_ref().err().is_some_and(|error| error.kind() == io::ErrorKind::TimedOut);
    if let Err(error) = sent {
        tracing::debug!(target: "hemlockfield::exchange", "answer was not relayed: {error}");
    }
    let kind = match failed {
        _ if exchange.is_broken() => health::Kind::Cut,
        _ if is_late => health::Kind::Silent,
        true => health::Kind::ServerError,
        false => health::Kind::Success,
    };
    match kind {
        health::Kind::Cut => poison::note_cut(proxy, job, &attempt),
        health::Kind::ServerError | health::Kind::Success => poison::note_answer(proxy, job),
        _ => (),
    }
    let address = attempt.address();
    attempt.finish(kind, job.terms.long);
    if let Some(connection) = exchange.release() {
        proxy.pool.put(address, connection);
    }
}
