//! Sends a job to upstreams, with retries, until one answers or no retry is allowed.

use std::time::Duration;

use async_std::task;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;

use crate::balance::Request;
use crate::exchange::Answer;
use crate::exchange::ResponseWriter;
use crate::retry;
use crate::retry::Decision;

use super::Proxy;
use super::attempt::Attempt;
use super::hedge::hedged_attempt;
use super::job::Job;
use super::poison;
use super::reservation::Reservation;
use super::service::Service;

/// How a job ended. Decides how its admission permit and its claim are settled.
pub(super) enum Resolution<'a> {
    /// An upstream's answer, to be relayed to the caller.
    Answer(Box<(Attempt<'a>, Answer)>),
    /// The caller disconnected.
    CallerGone { may_have_run: bool },
    /// The entry answers the caller itself.
    LocalReply {
        answer: retry::Answer,
        reason: String,
        /// Time until the first upstream has rested, if all of them rest.
        rest_left: Option<Duration>,
        status: u16,
    },
    /// No upstream can be reached from here, and the job was sent to none.
    Unreached,
}

/// Attempts a job at upstreams until one answers or the retry policy stops, and settles the payments
/// for copies that can't arrive any more.
pub(super) async fn run_attempts<'a>(
    proxy: &'a Proxy,
    service: &'a Service,
    job: &mut Job,
    writer: &ResponseWriter,
) -> Resolution<'a> {
    let mut copies = retry::Copies::default();
    let resolution = attempt_all(proxy, service, job, writer, &mut copies).await;
    copies.silent().iter().for_each(|upstream| poison::note_abandoned(proxy, job, upstream));
    job.paid = copies.paid();
    if job.paid > 0 {
        service.policy(proxy.now()).close(&copies);
    }
    resolution
}

async fn attempt_all<'a>(
    proxy: &'a Proxy,
    service: &'a Service,
    job: &mut Job,
    writer: &ResponseWriter,
    copies: &mut retry::Copies,
) -> Resolution<'a> {
    let mut avoid = Vec::new();
    let mut last_failure = None;
    let mut may_have_run = false;
    let mut tries = 0;
    let mut sends = 0;
    let waited = proxy.now().saturating_sub(job.sent_at);
    service.policy(proxy.now()).record_first(waited);
    loop {
        let view = proxy.view.load_full();
        let upstreams = view.services.get(&job.service).cloned().unwrap_or_default();
        let upstreams = upstreams.as_ref();
        // If every other upstream is busy or already failed, retry one that failed before.
        let is_long = job.terms.long;
        let can_risk = job.is_resendable() && service.policy(proxy.now()).has_spare_retries();
        let take_trial = || Reservation::take_trial(proxy, service, upstreams, can_risk);
        let trial = (tries == 0).then(take_trial).flatten();
        let reservation = trial
            .or_else(|| {
                let request = Request { avoid: &avoid, is_repeatable: can_risk, is_long };
                Reservation::take(proxy, service, upstreams, &request)
            })
            .or_else(|| {
                let request = Request { is_long, ..Request::default() };
                Reservation::take(proxy, service, upstreams, &request)
            });
        let Some(reservation) = reservation else {
            let answer = failure_answer(may_have_run, job);
            let unavailable = || (format!("no upstream of `{}` is free", job.service), 503);
            let (reason, status) = last_failure.take().unwrap_or_else(unavailable);
            let rest_left = service.rest_left(proxy.now());
            return Resolution::LocalReply { answer, reason, rest_left, status };
        };
        tries += 1;
        let is_stream = job.payload.is_stream();
        let mut attempt = {
            let hedged =
                hedged_attempt(proxy, service, upstreams, job, reservation, &mut sends, copies)
                    .fuse();
            let gone = caller_gone(is_stream, writer).fuse();
            pin_mut!(hedged, gone);
            select! {
                attempt = hedged => attempt,
                () = gone => return Resolution::CallerGone { may_have_run: true },
            }
        };
        let rule_service = view.rules.as_ref().and_then(|rules| rules.service(&job.service));
        let outcome = attempt.outcome(proxy.boundary.as_ref(), rule_service);
        job.record_step(&attempt.upstream(), outcome, attempt.latency());
        sends += u32::from(attempt.is_sent());
        if !attempt.is_abandoned() {
            copies.arrive(&attempt.upstream());
        }
        poison::note_failure(proxy, job, &attempt);
        let Some(outcome) = outcome else {
            return attempt.into_answer().map_or_else(missing_answer, |(attempt, answer)| {
                service.policy(proxy.now()).record_latency(attempt.latency());
                Resolution::Answer(Box::new((attempt, answer)))
            });
        };
        // No upstream ended under what was not sent.
        let may_retry = !attempt.is_sent() || poison::allows_retry(proxy, job);
        let may_retry = may_retry && proxy.can_finish_job(job);
        let failed = retry::Attempt {
            body_kept: job.payload.is_available(),
            head_sent: false,
            idempotent: job.is_idempotent() && job.terms.retry,
            limit: if may_retry { job.terms.attempts } else { 0 },
            outcome,
            remaining: job.left(proxy.now()),
            sends,
            sent: attempt.is_sent(),
            tries,
        };
        may_have_run |= !failed.is_not_run();
        if attempt.is_upload_failure() {
            let reason = attempt.reason();
            return Resolution::LocalReply {
                answer: failure_answer(may_have_run, job),
                reason,
                rest_left: None,
                status: 400,
            };
        }
        let is_unsent = !may_have_run && sends == 0 && job.payload.is_available();
        if is_unsent && attempt.is_unconnected() && proxy.reach.is_lost(&job.service) {
            attempt.fail(outcome, job.terms.long);
            service.policy(proxy.now()).withdraw_first();
            return Resolution::Unreached;
        }
        let (decision, payment) = {
            let mut policy = service.policy(proxy.now());
            (policy.decide(&failed), policy.take_payment())
        };
        payment.into_iter().for_each(|payment| copies.add_payment(payment));
        match decision {
            Decision::Again { after } => {
                let kind = if failed.sent { "retry.sent" } else { "retry.unsent" };
                proxy.metrics.count(kind);
                avoid.push(attempt.upstream());
                last_failure = Some((attempt.reason(), status_of(outcome)));
                attempt.fail(outcome, job.terms.long);
                task::sleep(after).await;
            }
            Decision::Stop { answer } => {
                if matches!(outcome, retry::Outcome::Failed { .. }) {
                    return attempt
                        .into_answer()
                        .map_or_else(missing_answer, |(attempt, answer)| {
                            Resolution::Answer(Box::new((attempt, answer)))
                        });
                }
                let reason = attempt.reason();
                let status = status_of(outcome);
                attempt.fail(outcome, job.terms.long);
                let answer = correct_for_earlier_attempts(answer, may_have_run, job);
                let rest_left = service.rest_left(proxy.now());
                return Resolution::LocalReply { answer, reason, rest_left, status };
            }
        }
    }
}

/// Completes when the caller disconnects. Never completes for a streamed request body: there, a
/// broken upload shows that the caller is gone.
pub(super) async fn caller_gone(is_stream: bool, writer: &ResponseWriter) {
    if is_stream {
        futures::future::pending::<()>().await;
    }
    writer.caller_gone().await;
}

/// Corrects the answer for earlier attempts. The last attempt proves nothing about them: told
/// `not-run`, a caller would resend a request that an earlier attempt may have run.
fn correct_for_earlier_attempts(
    answer: retry::Answer,
    may_have_run: bool,
    job: &Job,
) -> retry::Answer {
    match answer {
        retry::Answer::NotRun => failure_answer(may_have_run, job),
        answer => answer,
    }
}

fn failure_answer(may_have_run: bool, job: &Job) -> retry::Answer {
    match (may_have_run, job.is_idempotent()) {
        (false, _) => retry::Answer::NotRun,
        (true, true) => retry::Answer::Failed,
        (true, false) => retry::Answer::Unknown,
    }
}

fn missing_answer<'a>() -> Resolution<'a> {
    let reason = "answer is missing".to_owned();
    let answer = retry::Answer::Unknown;
    Resolution::LocalReply { answer, reason, rest_left: None, status: 502 }
}

fn status_of(outcome: retry::Outcome) -> u16 {
    match outcome {
        retry::Outcome::Deadline | retry::Outcome::Silent => 504,
        retry::Outcome::RefusedNotRun => 503,
        _ => 502,
    }
}
