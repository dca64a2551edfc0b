//! One attempt at a job, hedged with a second send if the first is slow.

use std::time::Duration;

use async_std::task;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;

use crate::balance::Request;
use crate::health;
use crate::health::Observation;
use crate::id::UpstreamId;
use crate::retry;
use crate::routing;

use super::Proxy;
use super::attempt::Attempt;
use super::job::Job;
use super::poison;
use super::reservation::Reservation;
use super::service::Service;

/// Makes one attempt. If it is slow, the rule allows hedging and the retry budget has room, sends
/// the request to a second upstream as well. The first usable answer wins and the other send is
/// cancelled.
pub(super) async fn hedged_attempt<'a>(
    proxy: &'a Proxy,
    service: &'a Service,
    upstreams: &routing::Service,
    job: &mut Job,
    reservation: Reservation<'a>,
    sends: &mut u32,
    copies: &mut retry::Copies,
) -> Attempt<'a> {
    let now = proxy.now();
    let started = now;
    let may_send_again = *sends + 1 < job.terms.attempts;
    let may_hedge = may_send_again && job.terms.hedge && job.is_idempotent();
    let may_hedge = may_hedge && poison::allows_retry(proxy, job);
    let after = if may_hedge { service.policy(proxy.now()).hedge_after() } else { None };
    let request = job.request(now, proxy.boundary.as_ref(), &reservation.upstream);
    let primary = reservation.upstream.clone();
    copies.send(primary.clone());
    let (idempotent, left) = (job.is_idempotent(), job.left(now));
    let payloads = after.and_then(|_| Some((job.payload.duplicate()?, job.payload.duplicate()?)));
    let (Some(after), Some((mut payload, mut second_payload))) = (after, payloads) else {
        let payload = &mut job.payload;
        return Attempt::run(proxy, request, payload, reservation, idempotent, left).await;
    };
    let first = Attempt::run(proxy, request, &mut payload, reservation, idempotent, left).fuse();
    pin_mut!(first);
    let delay = task::sleep(after).fuse();
    pin_mut!(delay);
    select! {
        attempt = first => return attempt,
        () = delay => (),
    }
    let now = proxy.now();
    let left = job.left(now);
    if !proxy.can_finish_job(job) {
        return first.await;
    }
    let payment = {
        let mut policy = service.policy(proxy.now());
        if policy.try_hedge(left) { policy.take_payment() } else { None }
    };
    let Some(payment) = payment else { return first.await };
    copies.add_payment(payment);
    let avoid = std::slice::from_ref(&primary);
    let other = Request { avoid, ..Request::default() };
    let Some(reservation) = Reservation::take(proxy, service, upstreams, &other) else {
        service.policy(proxy.now()).record_hedge(false);
        return first.await;
    };
    let request = job.request(now, proxy.boundary.as_ref(), &reservation.upstream);
    *sends += 1;
    copies.send(reservation.upstream.clone());
    proxy.metrics.count("retry.hedge");
    let second = Attempt::run(proxy, request, &mut second_payload, reservation, true, left).fuse();
    pin_mut!(second);
    let (attempt, hedge_won) = select! {
        attempt = first => (attempt, false),
        attempt = second => (attempt, true),
    };
    service
        .policy(proxy.now())
        .record_hedge(hedge_won && attempt.is_success(proxy.boundary.as_ref()));
    if hedge_won && attempt.is_success(proxy.boundary.as_ref()) {
        report_late_primary(proxy, job, primary, proxy.now().saturating_sub(started));
    }
    if attempt.is_success(proxy.boundary.as_ref()) {
        return attempt;
    }
    if !attempt.is_abandoned() {
        copies.arrive(&attempt.upstream());
    }
    poison::note_failure(proxy, job, &attempt);
    if hedge_won { first.await } else { second.await }
}

/// Reports that an upstream had not answered after `waited`, when the hedge had. Without this
/// report, the cancelled send would leave no trace and a silent upstream would go undetected
/// wherever requests are hedged. The report counts as a success with this latency, a lower bound,
/// and not as a failure: one request in twenty is slow at any upstream.
fn report_late_primary(proxy: &Proxy, job: &Job, upstream: UpstreamId, waited: Duration) {
    let service = job.service.clone();
    let kind = health::Kind::Success;
    proxy.observe(Observation { is_trial: false, kind, latency: waited, service, upstream });
}
