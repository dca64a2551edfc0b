//! Tries a job at upstreams until it has an end.

use async_std::task;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;

use crate::exchange::Answer;
use crate::exchange::Outlet;
use crate::node::View;
use crate::node::view;
use crate::retry;
use crate::retry::Decision;

use super::Shared;
use super::hedge::attempt;
use super::job::Job;
use super::place::Place;
use super::service::Service;
use super::tried::Tried;

/// How a job ended, as its queue and its claim see it.
pub(super) enum End<'a> {
    /// An upstream's answer is to be passed on.
    Answer(Box<(Tried<'a>, Answer)>),
    /// Nobody is left who could be told.
    Gone { ran: bool },
    /// The caller is told this.
    Told { answer: retry::Answer, reason: String, status: u16 },
}

/// Tries upstreams until one answers, or until nothing more may be tried.
pub(super) async fn run<'a>(
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
    let mut sends = 0;
    service.policy(shared.now()).record_first();
    loop {
        // Where all others are taken or tried, the same one once more is better than none.
        let long = job.terms.long;
        let can_risk = job.may_try() && service.policy(shared.now()).has_spare_retries();
        let try_one = || Place::take_trial(shared, service, upstreams, can_risk);
        let trial = (tries == 0).then(try_one).flatten();
        let place = trial
            .or_else(|| Place::take(shared, service, upstreams, &avoid, long))
            .or_else(|| Place::take(shared, service, upstreams, &[], long));
        let Some(place) = place else {
            let answer = not_run_unless(ran, job);
            let none = || (format!("no upstream of `{}` is free", job.service), 503);
            let (reason, status) = last.take().unwrap_or_else(none);
            return End::Told { answer, reason, status };
        };
        tries += 1;
        let streams = job.payload.is_stream();
        let mut tried = {
            let attempt = attempt(shared, service, upstreams, job, place, &mut sends).fuse();
            let gone = caller_gone(streams, outlet).fuse();
            pin_mut!(attempt, gone);
            select! {
                tried = attempt => tried,
                () = gone => return End::Gone { ran: true },
            }
        };
        let proof = view.rules.as_ref().and_then(|rules| rules.service(&job.service));
        let outcome = tried.outcome(shared.boundary.as_ref(), proof);
        job.tell_step(&tried.upstream(), outcome, tried.latency());
        sends += u32::from(tried.is_sent());
        let Some(outcome) = outcome else {
            return tried.into_answer().map_or_else(told_nothing, |(tried, answer)| {
                service.policy(shared.now()).record_latency(tried.latency());
                End::Answer(Box::new((tried, answer)))
            });
        };
        let attempt = retry::Attempt {
            body_kept: job.payload.is_repeatable(),
            head_sent: false,
            idempotent: job.is_idempotent() && job.terms.retry,
            limit: job.terms.attempts,
            outcome,
            remaining: job.left(shared.now()),
            sends,
            sent: tried.is_sent(),
            tries,
        };
        ran |= !attempt.is_not_run();
        if tried.is_callers_fault() {
            let reason = tried.reason();
            return End::Told { answer: not_run_unless(ran, job), reason, status: 400 };
        }
        let decision = service.policy(shared.now()).decide(&attempt);
        match decision {
            Decision::Again { after } => {
                let kind = if attempt.sent { "retry.sent" } else { "retry.unsent" };
                shared.metrics.count(kind);
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

/// A caller that still uploads shows by its upload whether it is there.
pub(super) async fn caller_gone(streams: bool, outlet: &Outlet) {
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
