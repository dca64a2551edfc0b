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
use crate::quota::Meter;
use crate::quota::Subject;
use crate::quota::Take;
use crate::quota::Terms;
use crate::team::Team;

use super::Proxy;

/// Longest wait between checks, so that the loop notices when the process stops.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// This entry's quota of each team's rate limit.
pub(in crate::node) struct RateLimiter {
    meter: Mutex<Meter>,
    wakeup: (Sender<()>, Receiver<()>),
    terms: Terms,
    waiters: Mutex<Vec<Sender<()>>>,
}

/// A request counted against its team's rate limit.
pub(super) struct Charge {
    rate_limiter: Arc<RateLimiter>,
    at: Moment,
    subject: Subject,
}

impl RateLimiter {
    pub(super) fn new(id: NodeId, terms: Terms) -> Self {
        let incarnation = crate::node::incarnation();
        Self {
            meter: Mutex::new(Meter::new(id, incarnation, terms.window)),
            wakeup: bounded(1),
            terms,
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
        let most = self.terms.most(limit);
        let subject = Subject::Team(team.name.clone());
        let wait_until = proxy.now() + Meter::patience(budget);
        loop {
            let now = proxy.now();
            let (taken, answered) = self.take(now, &subject, number, most);
            match taken {
                Take::Passed(at) => {
                    return Ok(Some(Charge { rate_limiter: Arc::clone(self), at, subject }));
                }
                Take::Refused(after) => {
                    let text = format!(
                        "team `{}` exceeds its limit of {most} requests in a window",
                        team.name
                    );
                    return Err(Refusal::not_run(429, text, after));
                }
                Take::Wait if now < wait_until => {
                    self.wake_renewal();
                    timeout(wait_until - now, answered.recv()).await.ok();
                }
                Take::Wait => return Err(unconfirmed(team, Meter::BACK_UNCONFIRMED)),
                Take::Unconfirmed(after) => return Err(unconfirmed(team, after)),
            }
        }
    }

    /// Takes quota for a request. A request that has to wait is registered under the lock on the
    /// meter, so that it cannot miss the next grant.
    fn take(
        &self,
        now: Moment,
        subject: &Subject,
        number: ConfigNumber,
        most: u32,
    ) -> (Take, Receiver<()>) {
        let (sender, receiver) = bounded(1);
        let mut meter = self.meter();
        let taken = meter.take(now, subject, number, most);
        if taken == Take::Wait {
            let mut waiters = self.waiters();
            waiters.retain(|waiter| !waiter.is_closed());
            waiters.push(sender);
        }
        (taken, receiver)
    }

    /// Returns unneeded quota when the process leaves.
    pub(super) fn leave(&self, now: Moment) {
        self.meter().leave(now);
        self.wake_renewal();
    }

    fn wake_renewal(&self) {
        self.wakeup.0.try_send(()).ok();
    }

    fn meter(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiters(&self) -> MutexGuard<'_, Vec<Sender<()>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Charge {
    /// Returns the quota of a request that did not run and never will.
    pub(super) fn refund(self) {
        self.rate_limiter.meter().give_back(&self.subject, self.at);
    }
}

fn unconfirmed(team: &Team, after: Duration) -> Refusal {
    let text = format!("control can't confirm the quota of team `{}`", team.name);
    Refusal::not_run(503, text, after)
}

/// Requests quota from control whenever that is due, until the process stops.
pub(in crate::node) async fn renew_quota(proxy: Arc<Proxy>) {
    let rate_limiter = Arc::clone(&proxy.rate_limiter);
    while !proxy.done.is_closed() {
        let now = proxy.now();
        let ask = rate_limiter.meter().next(now);
        let Some(ask) = ask else {
            let due = rate_limiter.meter().wake().saturating_sub(now);
            timeout(due.min(MAX_WAIT), rate_limiter.wakeup.1.recv()).await.ok();
            continue;
        };
        let (sender, receiver) = bounded(1);
        proxy.try_notify(Input::Quota(ask, sender));
        let Ok(Ok(grant)) = timeout(Meter::AGAIN, receiver.recv()).await else { continue };
        rate_limiter.meter().grant(proxy.now(), &grant);
        for waiter in std::mem::take(&mut *rate_limiter.waiters()) {
            waiter.try_send(()).ok();
        }
    }
}
