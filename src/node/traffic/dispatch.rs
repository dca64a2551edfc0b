//! Carries one job to its end: claim, turn, attempts, answer.

use std::time::Duration;

use futures::FutureExt;
use futures::pin_mut;
use futures::select;

use crate::admission;
use crate::admission::Arrival;
use crate::exchange;
use crate::exchange::Outlet;
use crate::exchange::refuse;
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
