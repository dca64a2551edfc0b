//! Remembers requests that were lost at upstreams, and refuses those in quarantine.

mod look;

pub(crate) use look::watch_upstreams;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;

use crate::balance::Rank;
use crate::clock::Moment;
use crate::config::Standing;
use crate::id::DomainId;
use crate::id::UpstreamId;
use crate::node::Input;
use crate::node::View;
use crate::poison::Cause;
use crate::poison::Checks;
use crate::poison::Decision;
use crate::poison::Evidence;
use crate::poison::Fingerprint;
use crate::poison::Trials;
use crate::reach::Check;

use self::look::Doubt;
use super::Proxy;
use super::attempt::Attempt;
use super::job::Job;

/// Upstreams that wait to be looked at. Those beyond are not; a fatal request ends others soon.
const MAX_CHECKS: usize = 64;
/// What the traffic threads know of requests under which upstreams end.
pub(super) struct Poison {
    doubts: (Sender<Doubt>, Receiver<Doubt>),
    trials: Arc<Mutex<Trials>>,
    checks: Mutex<Checks>,
}

/// The right of a job to be sent although requests like it are in quarantine.
pub(super) struct Trial {
    of: Fingerprint,
    trials: Arc<Mutex<Trials>>,
}

impl Trial {
    /// Leaves the trial to another request, as this one was not sent.
    pub(super) fn give_back(self) {
        self.trials.lock().unwrap_or_else(PoisonError::into_inner).give_back(self.of);
    }
}

impl Poison {
    pub(super) fn new() -> Self {
        Self { doubts: bounded(MAX_CHECKS), trials: Arc::default(), checks: Mutex::default() }
    }

    /// Takes the trial of a kind in the turn that began at `since`; `None` if it was made.
    fn take_trial(&self, view: &View, of: Fingerprint, since: Moment) -> Option<Trial> {
        let mut trials = self.trials.lock().unwrap_or_else(PoisonError::into_inner);
        trials.retain(|other| view.poison.is_listed(other));
        trials.try_take(of, since).then(|| Trial { of, trials: Arc::clone(&self.trials) })
    }

    fn checks(&self) -> MutexGuard<'_, Checks> {
        self.checks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Remembers a job that got no whole answer from an upstream, and has the upstream looked at if it ended
/// the connection. A failed connection shows something only where a job was lost before.
pub(super) fn note_failure(proxy: &Proxy, job: &Job, attempt: &Attempt<'_>) {
    if attempt.is_broken_off() {
        note_broken(proxy, job, attempt, &attempt.reason());
    } else if attempt.is_unconnected() {
        start_look(proxy, job, attempt);
    }
}

/// Remembers a job whose answer an upstream began and did not end, and has the upstream looked at.
pub(super) fn note_cut(proxy: &Proxy, job: &Job, attempt: &Attempt<'_>) {
    note_broken(proxy, job, attempt, "answer was cut while it was passed on");
}

/// Remembers a job that was given up before any sign of an upstream, which may end under it later.
pub(super) fn note_abandoned(proxy: &Proxy, job: &Job, upstream: &UpstreamId) {
    note_loss(proxy, job, upstream, Cause::GivenUp, "given up");
}

fn note_broken(proxy: &Proxy, job: &Job, attempt: &Attempt<'_>, reason: &str) {
    note_loss(proxy, job, &attempt.upstream(), Cause::Broken, reason);
    start_look(proxy, job, attempt);
}

fn note_loss(proxy: &Proxy, job: &Job, upstream: &UpstreamId, cause: Cause, reason: &str) {
    let identity = job.identity();
    tracing::info!(
        target: "hemlockfield::poison",
        id = %job.id,
        service = %job.service,
        %upstream,
        fingerprints = %format_args!("{:016x?}", identity.fingerprints()),
        reason,
        "answer lost"
    );
    proxy.poison.checks().record(proxy.now(), upstream, identity, cause);
}

fn start_look(proxy: &Proxy, job: &Job, attempt: &Attempt<'_>) {
    let upstream = attempt.upstream();
    let mut checks = proxy.poison.checks();
    if !checks.begin(proxy.now(), &upstream) {
        return;
    }
    let check = Check { service: job.service.clone(), upstream: upstream.clone() };
    let doubt = Doubt { address: attempt.address(), check };
    if proxy.poison.doubts.0.try_send(doubt).is_err() {
        checks.end(&upstream);
    }
}

/// Reports a whole answer to a suspected job.
pub(super) fn note_answer(proxy: &Proxy, job: &Job) {
    let view = proxy.view.load();
    if view.poison.is_empty() {
        return;
    }
    let identity = job.identity();
    if view.poison.is_suspected(&identity) {
        proxy.try_notify(Input::Poison(Evidence::of_answer(identity)));
    }
}

/// Whether a job may be sent to a second upstream.
pub(super) fn allows_retry(proxy: &Proxy, job: &Job) -> bool {
    let view = proxy.view.load();
    view.poison.is_empty() || view.poison.allows_retry(&job.identity())
}

/// When the caller of a job in quarantine may return; `None` if the job may be sent. A trial is sent
/// once.
pub(super) fn quarantine(proxy: &Proxy, view: &View, job: &mut Job) -> Option<Duration> {
    if view.poison.is_empty() {
        return None;
    }
    let is_turn = |of: Fingerprint, turn| {
        let entries = view.entries.iter().map(|entry| (&entry.id, &entry.domain));
        let key = format!("{of:016x}");
        let rank = Rank::of(&proxy.settings.node.id, entries, &key, &DomainId::default());
        view.standing == Standing::Serving && rank.is_listed() && rank.turn(turn) == 0
    };
    match view.poison.decide(proxy.now(), &job.identity(), is_turn) {
        Decision::Refuse { after } => Some(after),
        Decision::Send => None,
        Decision::Trial { of, since, after } => {
            job.terms.attempts = 1;
            job.terms.hedge = false;
            job.trial = proxy.poison.take_trial(view, of, since);
            job.trial.is_none().then_some(after)
        }
    }
}
