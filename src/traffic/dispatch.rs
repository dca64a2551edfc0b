//! Runs one job: claim, admission, attempts, answer.

use std::time::Duration;

use futures::FutureExt;
use futures::pin_mut;
use futures::select;
use rand::Rng;

use crate::admission;
use crate::admission::Arrival;
use crate::exchange::Outcome;
use crate::exchange::Refusal;
use crate::exchange::ResponseWriter;
use crate::node::View;
use crate::retry;

use super::Proxy;
use super::Source;
use super::attempts::Resolution;
use super::attempts::caller_gone;
use super::attempts::run_attempts;
use super::claims::Claim;
use super::departure;
use super::forward;
use super::forward::Forwarded;
use super::job::Job;
use super::poison;
use super::queue::Admission;
use super::relay::relay_answer;

/// Retry-after when every upstream is busy.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time over which callers return after a rest, as a share of it, and the least one.
const REST_SPREAD: f64 = 0.25;
const REST_MARGIN: Duration = Duration::from_millis(20);
/// What a caller is told whose request is in quarantine.
const QUARANTINED: &str = "upstreams ended under requests like this one";
/// Retry-after when a service has no upstream.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Runs a job and answers its caller.
pub(super) async fn dispatch(
    proxy: &Proxy,
    view: &View,
    mut job: Job,
    writer: &mut ResponseWriter,
) {
    if !proxy.can_finish_job(&job) {
        return refuse_leaving(proxy, view, job, writer).await;
    }
    let service = proxy.service(&job.service);
    let upstreams = view.services.get(&job.service).cloned().unwrap_or_default();
    if upstreams.members.is_empty() {
        let text = format!("service `{}` has no upstream", job.service);
        job.refund();
        send_local_reply(
            proxy,
            &job,
            writer,
            &Refusal::not_run(503, text, NO_UPSTREAM_RETRY_AFTER),
        )
        .await;
        return;
    }
    if let Some(after) = poison::quarantine(proxy, view, &mut job) {
        job.refund();
        proxy.metrics.count("request.quarantined");
        let refusal = Refusal::not_run(503, QUARANTINED, after);
        return send_local_reply(proxy, &job, writer, &refusal).await;
    }
    service.refresh(proxy.now(), &upstreams);
    if let Some(left) = service.rest_left(proxy.now()) {
        let text = format!("all upstreams of `{}` rest", job.service);
        job.refund();
        proxy.metrics.count("request.refused");
        let refusal = Refusal::not_run(503, text, after_rest(left));
        return send_local_reply(proxy, &job, writer, &refusal).await;
    }
    if proxy.reach.is_lost(&job.service) {
        match pass_on(proxy, view, &mut job, writer).await {
            Forwarded::Done => return,
            Forwarded::Untaken if proxy.reach.is_answering(proxy.now(), &job.service) => (),
            Forwarded::Untaken => {
                job.refund();
                proxy.metrics.count("request.refused");
                return send_local_reply(proxy, &job, writer, &forward::unreached(&job)).await;
            }
        }
    }
    let claim = match Claim::acquire(proxy, &job).await {
        Ok(claim) => claim,
        Err(response) => {
            job.refund();
            if let Err(error) = writer.send(*response).await {
                tracing::debug!(target: "hemlockfield::exchange", "caller disconnected: {error}");
            }
            return;
        }
    };
    let classes = view.rules.as_ref().map(|rules| rules.classes()).unwrap_or_default();
    let entered = {
        let enter = service.queue.enter(proxy, classes, arrival(&job)).fuse();
        let gone = caller_gone(job.payload.is_stream(), writer).fuse();
        let unfinishable = proxy.unfinishable(job.deadline).fuse();
        pin_mut!(enter, gone, unfinishable);
        select! {
            entered = enter => Some(entered),
            () = gone => {
                job.refund();
                claim.into_iter().for_each(Claim::abandon);
                return;
            }
            () = unfinishable => None,
        }
    };
    let Some((admission, permit)) = entered else {
        claim.into_iter().for_each(Claim::abandon);
        return refuse_leaving(proxy, view, job, writer).await;
    };
    if let Admission::Refuse(reason, after) = admission {
        job.refund();
        claim.into_iter().for_each(Claim::abandon);
        proxy.metrics.count("request.refused");
        let text = format!("service `{}` can't take more: {reason}", job.service);
        return send_local_reply(proxy, &job, writer, &Refusal::not_run(503, text, after)).await;
    }
    let started = proxy.now();
    let resolution = run_attempts(proxy, &service, &mut job, writer).await;
    proxy.metrics.time("request.upstream", proxy.now().saturating_sub(started));
    match resolution {
        Resolution::Answer(answered) => {
            let (attempt, answer) = *answered;
            permit.finish(admission::Outcome::Served);
            job.log(proxy, view, "answered", answer.response.status);
            relay_answer(proxy, &job, attempt, answer, claim, writer).await;
        }
        Resolution::CallerGone { may_have_run } => {
            permit.finish(admission::Outcome::Failed);
            job.log(proxy, view, "caller is gone", 0);
            claim.into_iter().for_each(|claim| settle_claim(claim, may_have_run));
        }
        Resolution::Unreached => {
            permit.finish(admission::Outcome::Shed);
            claim.into_iter().for_each(Claim::abandon);
            if let Forwarded::Untaken = pass_on(proxy, view, &mut job, writer).await {
                job.refund();
                send_local_reply(proxy, &job, writer, &forward::unreached(&job)).await;
            }
        }
        Resolution::LocalReply { answer, reason, rest_left, status } => {
            let is_not_run = answer == retry::Answer::NotRun;
            if is_not_run {
                job.refund();
            }
            let outcome =
                if is_not_run { admission::Outcome::Shed } else { admission::Outcome::Failed };
            permit.finish(outcome);
            claim.into_iter().for_each(|claim| settle_claim(claim, !is_not_run));
            let after = rest_left.map_or(BUSY_RETRY_AFTER, after_rest);
            let refusal = refusal_for(answer, reason, status, after);
            send_local_reply(proxy, &job, writer, &refusal).await;
        }
    }
}

/// Passes a job on to an entry that reaches the upstreams. A job that another entry passed on is
/// refused, so that no request goes in circles.
async fn pass_on(
    proxy: &Proxy,
    view: &View,
    job: &mut Job,
    writer: &mut ResponseWriter,
) -> Forwarded {
    if job.source == Source::Caller {
        return forward::forward(proxy, view, job, writer).await;
    }
    job.refund();
    send_refusal(proxy, view, job, writer, &forward::unreached(job), true).await;
    Forwarded::Done
}

/// Refuses a job that this process would not finish. One that another entry passed on is marked, so that
/// it is passed on to another one.
async fn refuse_leaving(proxy: &Proxy, view: &View, mut job: Job, writer: &mut ResponseWriter) {
    job.refund();
    proxy.metrics.count("request.leaving");
    writer.close_after();
    let refusal = Refusal::not_run(503, departure::REASON, departure::RETRY_AFTER);
    send_refusal(proxy, view, &job, writer, &refusal, job.source == Source::Peer).await;
}

fn settle_claim(claim: Claim<'_>, may_have_run: bool) {
    if may_have_run {
        claim.end(crate::claim::Outcome::Unknown);
    } else {
        claim.abandon();
    }
}

/// Answers the caller with a refusal by this entry.
pub(super) async fn send_local_reply(
    proxy: &Proxy,
    job: &Job,
    writer: &mut ResponseWriter,
    refusal: &Refusal,
) {
    send_refusal(proxy, &proxy.view.load(), job, writer, refusal, false).await;
}

/// Answers with a refusal. A marked one has the entry that passed the job on ask another one.
async fn send_refusal(
    proxy: &Proxy,
    view: &View,
    job: &Job,
    writer: &mut ResponseWriter,
    refusal: &Refusal,
    is_marked: bool,
) {
    job.log(proxy, view, &refusal.reason, refusal.status);
    let mut response = proxy.boundary.refuse(refusal);
    if is_marked {
        forward::mark_unreached(&mut response);
    }
    if let Err(error) = writer.send(response).await {
        tracing::debug!(target: "hemlockfield::exchange", "caller disconnected: {error}");
    }
}

fn arrival(job: &Job) -> Arrival {
    Arrival {
        caller: job.caller.clone(),
        class: job.terms.class.clone(),
        deadline: job.deadline,
        key: job.admission_key(),
        long: job.terms.long,
        ticket: job.ticket,
    }
}

/// Retry-after while all upstreams rest. Callers that all return at the end of the rest would be too many.
fn after_rest(left: Duration) -> Duration {
    left.mul_f64(1.0 + rand::rng().random_range(0.0..REST_SPREAD)) + REST_MARGIN
}

/// The entry's own answer for a job that no upstream answered.
fn refusal_for(answer: retry::Answer, reason: String, status: u16, after: Duration) -> Refusal {
    match answer {
        retry::Answer::Failed => Refusal::new(status, Outcome::Failed, reason),
        retry::Answer::NotRun => {
            let status = if status == 400 { 400 } else { 503 };
            Refusal::not_run(status, reason, after)
        }
        retry::Answer::Unknown => Refusal::new(status, Outcome::Unknown, reason),
    }
}
