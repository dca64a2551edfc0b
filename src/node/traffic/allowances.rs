//! Lets requests pass as far as their team's allowance goes, and asks control for more.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::future::timeout;

use crate::clock::Moment;
use crate::exchange::Refusal;
use crate::id::ConfigNumber;
use crate::id::NodeId;
use crate::node::Input;
use crate::quota::Config;
use crate::quota::Decision;
use crate::quota::Limiter;
use crate::quota::Subject;
use crate::team::Team;

use super::Shared;

/// Longest time between two looks, so that the end of the process is seen.
const LONGEST: Duration = Duration::from_secs(5);

/// What this entry holds of the teams' allowances.
pub(in crate::node) struct Allowances {
    meter: Mutex<Limiter>,
    poke: (Sender<()>, Receiver<()>),
    terms: Config,
    waiting: Mutex<Vec<Sender<()>>>,
}

/// A request that passed.
pub(super) struct Passed {
    allowances: Arc<Allowances>,
    at: Moment,
    subject: Subject,
}

impl Allowances {
    pub(super) fn new(id: NodeId, terms: Config) -> Self {
        let incarnation = crate::node::incarnation();
        Self {
            meter: Mutex::new(Limiter::new(id, incarnation, terms.window)),
            poke: bounded(1),
            terms,
            waiting: Mutex::default(),
        }
    }

    /// Lets a team's request pass, by the configuration of this number; waits where control has
    /// to be asked. `None` for a team that may ask as much as it wants.
    pub(super) async fn pass(
        self: &Arc<Self>,
        shared: &Shared,
        team: &Team,
        number: ConfigNumber,
        budget: Duration,
    ) -> Result<Option<Passed>, Refusal> {
        let Some(limit) = team.limit else { return Ok(None) };
        let most = self.terms.allowance(limit);
        let subject = Subject::Team(team.name.clone());
        let until = shared.now() + Limiter::max_wait(budget);
        loop {
            let now = shared.now();
            let (taken, answered) = self.take(now, &subject, number, most);
            match taken {
                Decision::Passed(at) => {
                    return Ok(Some(Passed { allowances: Arc::clone(self), at, subject }));
                }
                Decision::Refused(after) => {
                    let text = format!("`{}` asks more than its {most} in a window", team.name);
                    return Err(Refusal::not_run(429, text, after));
                }
                Decision::Wait if now < until => {
                    self.look_soon();
                    timeout(until - now, answered.recv()).await.ok();
                }
                Decision::Wait => return Err(unconfirmed(team, Limiter::UNCONFIRMED_RETRY_AFTER)),
                Decision::Unconfirmed(after) => return Err(unconfirmed(team, after)),
            }
        }
    }

    /// What becomes of a request; one that waits is told of the next answer, which can't come
    /// before it is on the list.
    fn take(
        &self,
        now: Moment,
        subject: &Subject,
        number: ConfigNumber,
        most: u32,
    ) -> (Decision, Receiver<()>) {
        let (sender, receiver) = bounded(1);
        let mut meter = self.meter();
        let taken = meter.acquire(now, subject, number, most);
        if taken == Decision::Wait {
            let mut waiting = self.waiting();
            waiting.retain(|sender| !sender.is_closed());
            waiting.push(sender);
        }
        (taken, receiver)
    }

    /// The process leaves.
    pub(super) fn leave(&self, now: Moment) {
        self.meter().leave(now);
        self.look_soon();
    }

    fn look_soon(&self) {
        self.poke.0.try_send(()).ok();
    }

    fn meter(&self) -> MutexGuard<'_, Limiter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiting(&self) -> MutexGuard<'_, Vec<Sender<()>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Passed {
    /// It did not run, and never will.
    pub(super) fn give_back(self) {
        self.allowances.meter().refund(&self.subject, self.at);
    }
}

fn unconfirmed(team: &Team, after: Duration) -> Refusal {
    let text = format!("control can't confirm what `{}` may still ask", team.name);
    Refusal::not_run(503, text, after)
}

/// Asks control for other parts whenever that is due, for as long as the process serves.
pub(in crate::node) async fn ask_for_more(shared: Arc<Shared>) {
    let allowances = Arc::clone(&shared.allowances);
    while !shared.done.is_closed() {
        let now = shared.now();
        let ask = allowances.meter().next_demand(now);
        let Some(ask) = ask else {
            let due = allowances.meter().wake().saturating_sub(now);
            timeout(due.min(LONGEST), allowances.poke.1.recv()).await.ok();
            continue;
        };
        let (sender, receiver) = bounded(1);
        shared.tell(Input::Quota(ask, sender));
        let Ok(Ok(grant)) = timeout(Limiter::RESEND_INTERVAL, receiver.recv()).await else {
            continue;
        };
        allowances.meter().apply(shared.now(), &grant);
        for waiting in std::mem::take(&mut *allowances.waiting()) {
            waiting.try_send(()).ok();
        }
    }
}
