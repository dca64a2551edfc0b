//! Enforces the teams' rate limits with the quota that control granted to this entry.

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

use super::Proxy;

/// Longest wait between checks, so that the loop notices when the process stops.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// This entry's quota of each team's rate limit.
pub(crate) struct RateLimiter {
    limiter: Mutex<Limiter>,
    wakeup: (Sender<()>, Receiver<()>),
    config: Config,
    waiters: Mutex<Vec<Sender<()>>>,
}

/// A request counted against its team's rate limit.
pub(super) struct Charge {
    rate_limiter: Arc<RateLimiter>,
    at: Moment,
    subject: Subject,
}

impl RateLimiter {
    pub(super) fn new(id: NodeId, config: Config) -> Self {
        let incarnation = crate::node::incarnation();
        Self {
            limiter: Mutex::new(Limiter::new(id, incarnation, config.window)),
            wakeup: bounded(1),
            config,
            waiters: Mutex::default(),
        }
    }

    /// Counts a request against its team's rate limit in configuration `number`, waiting where
    /// control has to grant more quota first. `None` for a team without a limit.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        proxy: &Proxy,
        team: &Team,
        number: ConfigNumber,
        budget: Duration,
    ) -> Result<Option<Charge>, Refusal> {
        let Some(limit) = team.limit else { return Ok(None) };
        let most = self.config.allowance(limit);
        let subject = Subject::Team(team.name.clone());
        let wait_until = proxy.now() + Limiter::max_wait(budget);
        loop {
            let now = proxy.now();
            let (taken, answered) = self.take(now, &subject, number, most);
            match taken {
                Decision::Passed(at) => {
                    return Ok(Some(Charge { rate_limiter: Arc::clone(self), at, subject }));
                }
                Decision::Refused(after) => {
                    let text = format!("`{}` asks more than its {most} in a window", team.name);
                    return Err(Refusal::not_run(429, text, after));
                }
                Decision::Wait if now < wait_until => {
                    self.wake_renewal();
                    timeout(wait_until - now, answered.recv()).await.ok();
                }
                Decision::Wait => return Err(unconfirmed(team, Limiter::UNCONFIRMED_RETRY_AFTER)),
                Decision::Unconfirmed(after) => return Err(unconfirmed(team, after)),
            }
        }
    }

    /// Takes quota for a request. A request that has to wait is registered under the lock on the
    /// limiter, so that it cannot miss the next grant.
    fn take(
        &self,
        now: Moment,
        subject: &Subject,
        number: ConfigNumber,
        most: u32,
    ) -> (Decision, Receiver<()>) {
        let (sender, receiver) = bounded(1);
        let mut limiter = self.limiter();
        let taken = limiter.acquire(now, subject, number, most);
        if taken == Decision::Wait {
            let mut waiters = self.waiters();
            waiters.retain(|waiter| !waiter.is_closed());
            waiters.push(sender);
        }
        (taken, receiver)
    }

    /// Returns unneeded quota when the process leaves.
    pub(super) fn leave(&self, now: Moment) {
        self.limiter().leave(now);
        self.wake_renewal();
    }

    fn wake_renewal(&self) {
        self.wakeup.0.try_send(()).ok();
    }

    fn limiter(&self) -> MutexGuard<'_, Limiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiters(&self) -> MutexGuard<'_, Vec<Sender<()>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Charge {
    /// Returns the quota of a request that did not run and never will.
    pub(super) fn refund(self) {
        self.rate_limiter.limiter().refund(&self.subject, self.at);
    }
}

fn unconfirmed(team: &Team, after: Duration) -> Refusal {
    let text = format!("control can't confirm what `{}` may still ask", team.name);
    Refusal::not_run(503, text, after)
}

/// Requests quota from control whenever that is due, until the process stops.
pub(crate) async fn renew_quota(proxy: Arc<Proxy>) {
    let rate_limiter = Arc::clone(&proxy.rate_limiter);
    while !proxy.done.is_closed() {
        let now = proxy.now();
        let demand = rate_limiter.limiter().next_demand(now);
        let Some(demand) = demand else {
            let due = rate_limiter.limiter().wake().saturating_sub(now);
            timeout(due.min(MAX_WAIT), rate_limiter.wakeup.1.recv()).await.ok();
            continue;
        };
        let (sender, receiver) = bounded(1);
        proxy.try_notify(Input::Quota(demand, sender));
        let Ok(Ok(grant)) = timeout(Limiter::RESEND_INTERVAL, receiver.recv()).await else {
            continue;
        };
        rate_limiter.limiter().apply(proxy.now(), &grant);
        for waiter in std::mem::take(&mut *rate_limiter.waiters()) {
            waiter.try_send(()).ok();
        }
    }
}
