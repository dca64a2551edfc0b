//! Carries one job to its end: claim, turn, attempts, answer.

use std::time::Duration;

use futures::FutureExt;
use futures::pin_mut;
use futures::select;

use crate::admission;
use crate::admission::Arrival;
use crate::exchange::Outcome;
use crate::exchange::Refusal;
use crate::exchange::ResponseWriter;
use crate::node::View;
use crate::retry;

use super::Shared;
use super::claims::Held;
use super::job::Job;
use super::queue::Turn;
use super::relay::pass_on;
use super::tries::End;
use super::tries::caller_gone;
use super::tries::run;

/// When to come back where no upstream is free, or none is there at all.
const BUSY: Duration = Duration::from_millis(500);
const ABSENT: Duration = Duration::from_secs(2);

/// Carries a job to its end.
pub(super) async fn dispatch(
    shared: &Shared,
    view: &View,
    mut job: Job,
    writer: &mut ResponseWriter,
) {
    let service = shared.service(&job.service);
    let upstreams = view.services.get(&job.service).cloned().unwrap_or_default();
    if upstreams.members.is_empty() {
        let text = format!("service `{}` has no upstream", job.service);
        job.give_back();
        decline(shared, &job, writer, &Refusal::not_run(503, text, ABSENT)).await;
        return;
    }
    service.catch_up(shared.now(), &upstreams);
    let held = match Held::ask(shared, &job).await {
        Ok(held) => held,
        Err(response) => {
            job.give_back();
            close_upload(&job, writer);
            if let Err(error) = writer.send(*response).await {
                tracing::debug!(target: "hemlockfield::exchange", "caller is gone: {error}");
            }
            return;
        }
    };
    let classes = view.rules.as_ref().map(|rules| rules.classes()).unwrap_or_default();
    let (turn, permit) = {
        let enter = service.queue.enter(shared, classes, arrival(&job)).fuse();
        let gone = caller_gone(job.payload.is_stream(), writer).fuse();
        pin_mut!(enter, gone);
        select! {
            entered = enter => entered,
            () = gone => {
                job.give_back();
                held.into_iter().for_each(Held::abandon);
                return;
            }
        }
    };
    if let Turn::Refuse(reason, after) = turn {
        job.give_back();
        held.into_iter().for_each(Held::abandon);
        shared.metrics.count("request.refused");
        let text = format!("service `{}` can't take more: {reason}", job.service);
        return decline(shared, &job, writer, &Refusal::not_run(503, text, after)).await;
    }
    let started = shared.now();
    let end = run(shared, &service, &upstreams, view, &mut job, writer).await;
    shared.metrics.time("request.upstream", shared.now().saturating_sub(started));
    match end {
        End::Answer(answered) => {
            let (tried, answer) = *answered;
            permit.finish(admission::Outcome::Served);
            job.log(shared, view, "answered", answer.response.status);
            pass_on(shared, &job, tried, answer, held, writer).await;
        }
        End::Gone { ran } => {
            permit.finish(admission::Outcome::Failed);
            job.log(shared, view, "caller is gone", 0);
            held.into_iter().for_each(|held| give_up(held, ran));
        }
        End::Told { answer, reason, status } => {
            let shed = answer == retry::Answer::NotRun;
            if shed {
                job.give_back();
            }
            let outcome = if shed { admission::Outcome::Shed } else { admission::Outcome::Failed };
            permit.finish(outcome);
            held.into_iter().for_each(|held| give_up(held, !shed));
            let refusal = tell(answer, reason, status);
            decline(shared, &job, writer, &refusal).await;
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

/// Sends an answer that is not an upstream's.
async fn decline(shared: &Shared, job: &Job, writer: &mut ResponseWriter, refusal: &Refusal) {
    close_upload(job, writer);
    job.log(shared, &shared.view.load(), &refusal.reason, refusal.status);
    if let Err(error) = writer.send(shared.boundary.refuse(refusal)).await {
        tracing::debug!(target: "hemlockfield::exchange", "caller is gone: {error}");
    }
}

/// What is left of an upload that nobody reads ends the connection with it.
fn close_upload(job: &Job, writer: &mut ResponseWriter) {
    if job.payload.is_stream() {
        writer.close_after();
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

/// The caller's answer where no upstream's is passed on.
fn tell(answer: retry::Answer, reason: String, status: u16) -> Refusal {
    match answer {
        retry::Answer::Failed => Refusal::new(status, Outcome::Failed, reason),
        retry::Answer::NotRun => {
            let status = if status == 400 { 400 } else { 503 };
            Refusal::not_run(status, reason, BUSY)
        }
        retry::Answer::Unknown => Refusal::new(status, Outcome::Unknown, reason),
    }
}
