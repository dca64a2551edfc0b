//! One attempt at a job, with a second copy where the first is late.

use std::time::Duration;

use async_std::task;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;

use crate::health;
use crate::id::UpstreamId;
use crate::node::view;

use super::Noted;
use super::Shared;
use super::job::Job;
use super::place::Place;
use super::service::Service;
use super::tried::Tried;

/// One attempt, with a second copy at another upstream where the first is late, the rule
/// wants that, and it pays. Whichever answers first counts; the other is cancelled.
pub(super) async fn attempt<'a>(
    shared: &'a Shared,
    service: &'a Service,
    upstreams: &view::Service,
    job: &mut Job,
    place: Place<'a>,
    sends: &mut u32,
) -> Tried<'a> {
    let now = shared.now();
    let started = now;
    let may = *sends + 1 < job.terms.attempts;
    let hedge = may && job.terms.hedge && job.is_idempotent() && !job.payload.is_stream();
    let after = if hedge { service.policy(shared.now()).hedge_after() } else { None };
    let request = job.request(now, shared.boundary.as_ref(), &place.upstream);
    let overtaken = place.upstream.clone();
    let first = Tried::make(shared, request, place, job.is_idempotent(), job.left(now));
    let Some(after) = after else { return first.await };
    let first = first.fuse();
    pin_mut!(first);
    let late = task::sleep(after).fuse();
    pin_mut!(late);
    select! {
        tried = first => return tried,
        () = late => (),
    }
    let now = shared.now();
    let left = job.left(now);
    if !service.policy(shared.now()).try_hedge(left) {
        return first.await;
    }
    let Some(place) =
        Place::take(shared, service, upstreams, std::slice::from_ref(&overtaken), false)
    else {
        service.policy(shared.now()).record_hedge(false);
        return first.await;
    };
    let request = job.request(now, shared.boundary.as_ref(), &place.upstream);
    *sends += 1;
    shared.metrics.count("retry.hedge");
    let second = Tried::make(shared, request, place, true, left).fuse();
    pin_mut!(second);
    let (tried, won) = select! {
        tried = first => (tried, false),
        tried = second => (tried, true),
    };
    service.policy(shared.now()).record_hedge(won && tried.is_served(shared.boundary.as_ref()));
    if won && tried.is_served(shared.boundary.as_ref()) {
        tell_overtaken(shared, job, overtaken, shared.now().saturating_sub(started));
    }
    if tried.is_served(shared.boundary.as_ref()) {
        return tried;
    }
    if won { first.await } else { second.await }
}

/// Tells the judge that an upstream had not answered after `waited`, when another one had.
/// Cancelled without a word, a silent upstream would never be found by what is hedged. Its
/// latency is at least that long, and it is not called a failure, since one request in
/// twenty is late at any upstream.
fn tell_overtaken(shared: &Shared, job: &Job, upstream: UpstreamId, waited: Duration) {
    let service = job.service.clone();
    let kind = health::Kind::Success;
    shared.note(Noted { kind, latency: waited, service, trial: None, upstream });
}
