//! Carries one job to its end: claim, turn, attempts, answer.

use std::time::Duration;

use async_std::task;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;

use crate::admission;
use crate::admission::Arrival;
use crate::exchange;
use crate::exchange::Answer;
use crate::exchange::Outlet;
use crate::exchange::refuse;
use crate::health;
use crate::id::UpstreamId;
use crate::node::Input;
use crate::node::View;
use crate::node::probe::is_draining;
use crate::node::view;
use crate::retry;
use crate::retry::Decision;

use super::Shared;
use super::claims;
use super::claims::Held;
use super::job::Job;
use super::place::Place;
use super::queue::Turn;
use super::service::Service;
use super::tried::Tried;

/// When to come back where no upstream is free, or none is there at all.
const BUSY: Duration = Duration::from_millis(500);
const ABSENT: Duration = Duration::from_secs(2);

/// How a job ended, as its queue and its claim see it.
enum End<'a> {
    /// An upstream's answer is to be passed on.
    Answer(Box<(Tried<'a>, Answer)>),
    /// Nobody is left who could be told.
    Gone { ran: bool },
    /// The caller is told this.
    Told { answer: retry::Answer, reason: String, status: u16 },
}

/// Carries a job to its end.
pub(super) async fn dispatch(shared: &Shared, view: &View, mut job: Job, outlet: &mut Outlet) {
    let service = shared.service(&job.service);
    let upstreams = view.services.get(&job.service).cloned().unwrap_or_default();
    if upstreams.members.is_empty() {
        let text = format!("service `{}` has no upstream", job.service);
        decline(&job, outlet, refuse(503, exchange::Outcome::NotRun, &text, Some(ABSENT))).await;
        return;
    }
    service.catch_up(shared.now(), &upstreams);
    let held = match Held::ask(shared, &job).await {
        Ok(held) => held,
        Err(response) => return decline(&job, outlet, *response).await,
    };
    let classes = view.rules.as_ref().map(|rules| rules.classes()).unwrap_or_default();
    let (turn, permit) = {
        let enter = service.queue.enter(shared, classes, arrival(&job)).fuse();
        let gone = caller_gone(job.payload.is_stream(), outlet).fuse();
        pin_mut!(enter, gone);
        select! {
            entered = enter => entered,
            () = gone => {
                held.into_iter().for_each(Held::abandon);
                return;
            }
        }
    };
    if let Turn::Refuse(reason, after) = turn {
        held.into_iter().for_each(Held::abandon);
        shared.metrics.count("request.refused");
        let text = format!("service `{}` can't take more: {reason}", job.service);
        let response = refuse(503, exchange::Outcome::NotRun, &text, Some(after));
        return decline(&job, outlet, response).await;
    }
    let started = shared.now();
    let end = run(shared, &service, &upstreams, view, &mut job, outlet).await;
    shared.metrics.time("request.upstream", shared.now().saturating_sub(started));
    match end {
        End::Answer(answered) => {
            let (tried, answer) = *answered;
            permit.finish(admission::Outcome::Served);
            pass_on(shared, &job, tried, answer, held, outlet).await;
        }
        End::Gone { ran } => {
            permit.finish(admission::Outcome::Failed);
            held.into_iter().for_each(|held| give_up(held, ran));
        }
        End::Told { answer, reason, status } => {
            let shed = answer == retry::Answer::NotRun;
            let outcome = if shed { admission::Outcome::Shed } else { admission::Outcome::Failed };
            permit.finish(outcome);
            held.into_iter().for_each(|held| give_up(held, !shed));
            decline(&job, outlet, tell(answer, &reason, status)).await;
        }
    }
}

fn give_up(held: Held<'_>, ran: bool) {
    if ran {
        held.end(crate::claim::Outcome::Unknown);
    } else {
        held.abandon();
    }
}

async fn decline(job: &Job, outlet: &mut Outlet, response: http_types::Response) {
    if job.payload.is_stream() {
        outlet.close_after();
    }
    outlet.send(response).await.ok();
}

/// Tries upstreams until one answers, or until nothing more may be tried.
async fn run<'a>(
    shared: &'a Shared,
    service: &'a Service,
    upstreams: &view::Service,
    view: &View,
    job: &mut Job,
    outlet: &Outlet,
) -> End<'a> {
    let mut avoid = Vec::new();
    let mut last = None;
    let mut ran = false;
    let mut tries = 0;
    service.policy().first();
    loop {
        // Where all others are taken or tried, the same one once more is better than none.
        let long = job.terms.long;
        let place = Place::take(shared, service, upstreams, &avoid, long)
            .or_else(|| Place::take(shared, service, upstreams, &[], long));
        let Some(place) = place else {
            let answer = not_run_unless(ran, job);
            let none = || (format!("no upstream of `{}` is free", job.service), 503);
            let (reason, status) = last.take().unwrap_or_else(none);
            return End::Told { answer, reason, status };
        };
        tries += 1;
        let streams = job.payload.is_stream();
        let tried = {
            let attempt = attempt(shared, service, upstreams, job, place).fuse();
            let gone = caller_gone(streams, outlet).fuse();
            pin_mut!(attempt, gone);
            select! {
                tried = attempt => tried,
                () = gone => return End::Gone { ran: true },
            }
        };
        let proof = view.rules.as_ref().and_then(|rules| rules.service(&job.service));
        let Some(outcome) = tried.outcome(proof) else {
            return tried.into_answer().map_or_else(told_nothing, |(tried, answer)| {
                service.policy().note(tried.latency());
                End::Answer(Box::new((tried, answer)))
            });
        };
        let attempt = retry::Attempt {
            body_kept: job.payload.is_repeatable(),
            head_sent: false,
            idempotent: job.is_idempotent() && job.terms.retry,
            outcome,
            remaining: job.left(shared.now()),
            sent: tried.is_sent(),
            tries,
        };
        ran |= !attempt.is_not_run();
        if tried.is_callers_fault() {
            let reason = tried.reason();
            return End::Told { answer: not_run_unless(ran, job), reason, status: 400 };
        }
        let decision = service.policy().decide(&attempt);
        match decision {
            Decision::Again { after } => {
                avoid.push(tried.upstream());
                last = Some((tried.reason(), status_of(outcome)));
                tried.end(outcome, job.terms.long);
                task::sleep(after).await;
            }
            Decision::Stop { answer } => {
                if matches!(outcome, retry::Outcome::Failed { .. }) {
                    return tried.into_answer().map_or_else(told_nothing, |(tried, answer)| {
                        End::Answer(Box::new((tried, answer)))
                    });
                }
                let reason = tried.reason();
                let status = status_of(outcome);
                tried.end(outcome, job.terms.long);
                let answer = weaken(answer, ran, job);
                return End::Told { answer, reason, status };
            }
        }
    }
}

/// One attempt, with a second copy at another upstream where the first is late, the rule
/// wants that, and it pays. Whichever answers first counts; the other is cancelled.
async fn attempt<'a>(
    shared: &'a Shared,
    service: &'a Service,
    upstreams: &view::Service,
    job: &mut Job,
    place: Place<'a>,
) -> Tried<'a> {
    let now = shared.now();
    let started = now;
    let hedge = job.terms.hedge && job.is_idempotent() && !job.payload.is_stream();
    let after = if hedge { service.policy().hedge_after() } else { None };
    let request = job.request(now);
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
    if !service.policy().hedge(left) {
        return first.await;
    }
    let Some(place) = Place::take(shared, service, upstreams, &[], false) else {
        service.policy().hedged(false);
        return first.await;
    };
    let second = Tried::make(shared, job.request(now), place, true, left).fuse();
    pin_mut!(second);
    let (tried, won) = select! {
        tried = first => (tried, false),
        tried = second => (tried, true),
    };
    service.policy().hedged(won && tried.is_answered());
    if won && tried.is_answered() {
        tell_overtaken(shared, job, overtaken, shared.now().saturating_sub(started));
    }
    if tried.is_answered() {
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
    shared.tell(Input::Outcome { kind, latency: waited, service, upstream });
}

/// Passes an answer on. Only when all of it has gone through does the upstream count as
/// having served, and its connection as fit for another request.
async fn pass_on(
    shared: &Shared,
    job: &Job,
    tried: Tried<'_>,
    mut answer: Answer,
    held: Option<Held<'_>>,
    outlet: &mut Outlet,
) {
    let mut response = std::mem::replace(&mut answer.response, http_types::Response::new(200));
    let small = response.len().filter(|length| *length <= claims::KEPT_MAX);
    let outcome = if small.is_some() && held.is_some() {
        let kind = response.header("content-type").cloned();
        let bytes = response.take_body().into_bytes().await.unwrap_or_default();
        response.set_body(http_types::Body::from_bytes(bytes.clone()));
        match kind {
            Some(kind) => drop(response.insert_header("content-type", &kind)),
            None => drop(response.remove_header("content-type")),
        }
        claims::keep(&response, Some(&bytes))
    } else {
        claims::keep(&response, None)
    };
    held.into_iter().for_each(|held| held.end(outcome.clone()));
    if job.payload.is_stream() && answer.is_early() {
        outlet.close_after();
    }
    if is_draining(&response) {
        let (service, upstream) = (job.service.clone(), tried.upstream());
        shared.tell(Input::Probed { draining: Some(true), healthy: true, service, upstream });
    }
    let failed = u16::from(response.status()) >= 500;
    let sent = outlet.send(response).await;
    let kind = match sent {
        _ if answer.is_broken() => health::Kind::Cut,
        _ if failed => health::Kind::ServerError,
        _ => health::Kind::Success,
    };
    let address = tried.address();
    tried.finish(kind, job.terms.long);
    if let Some(leg) = answer.release() {
        shared.pool.put(address, leg);
    }
}

fn arrival(job: &Job) -> Arrival {
    Arrival {
        caller: job.caller.clone(),
        class: job.terms.class.clone(),
        deadline: job.deadline,
        key: job.subject(),
        long: job.terms.long,
        ticket: job.ticket,
    }
}

/// A caller that still uploads shows by its upload whether it is there.
async fn caller_gone(streams: bool, outlet: &Outlet) {
    if streams {
        futures::future::pending::<()>().await;
    }
    outlet.caller_gone().await;
}

/// The last try proves nothing about those before it: told `not-run`, a caller would send
/// again what an earlier try may have run.
fn weaken(answer: retry::Answer, ran: bool, job: &Job) -> retry::Answer {
    match answer {
        retry::Answer::NotRun => not_run_unless(ran, job),
        answer => answer,
    }
}

fn not_run_unless(ran: bool, job: &Job) -> retry::Answer {
    match (ran, job.is_idempotent()) {
        (false, _) => retry::Answer::NotRun,
        (true, true) => retry::Answer::Failed,
        (true, false) => retry::Answer::Unknown,
    }
}

fn tell(answer: retry::Answer, reason: &str, status: u16) -> http_types::Response {
    match answer {
        retry::Answer::Failed => refuse(status, exchange::Outcome::Failed, reason, None),
        retry::Answer::NotRun => {
            let status = if status == 400 { 400 } else { 503 };
            refuse(status, exchange::Outcome::NotRun, reason, Some(BUSY))
        }
        retry::Answer::Unknown => refuse(status, exchange::Outcome::Unknown, reason, None),
    }
}

fn told_nothing<'a>() -> End<'a> {
    let reason = "answer is missing".to_owned();
    End::Told { answer: retry::Answer::Unknown, reason, status: 502 }
}

fn status_of(outcome: retry::Outcome) -> u16 {
    match outcome {
        retry::Outcome::Deadline | retry::Outcome::Silent => 504,
        retry::Outcome::RefusedNotRun => 503,
        _ => 502,
    }
}
