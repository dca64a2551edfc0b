//! Finds out which upstreams ended under requests, and refuses requests in quarantine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::task;
use rand::seq::IteratorRandom;

use crate::balance::Rank;
use crate::clock::Moment;
use crate::config::Standing;
use crate::exchange::Connection;
use crate::id::DomainId;
use crate::id::UpstreamId;
use crate::node::Input;
use crate::node::View;
use crate::poison::Checks;
use crate::poison::Decision;
use crate::poison::Evidence;
use crate::poison::Fingerprint;
use crate::poison::How;
use crate::poison::Identity;
use crate::poison::Place;
use crate::poison::Trials;
use crate::reach::Check;
use crate::runtime;

use super::Proxy;
use super::attempt::Attempt;
use super::job::Job;

/// Upstreams that wait to be looked at. Those beyond are not; a fatal request ends others soon.
const MAX_CHECKS: usize = 64;
/// How long after the end of a connection its upstream is looked at: one that is ending may still accept
/// connections for a moment.
const PAUSE: Duration = Duration::from_millis(100);
/// How long after a look that found an upstream alive it is known whether that was a new one at its address.
const REBIRTH: Duration = Duration::from_secs(2);
/// Most other upstreams that are tried to tell the end of one from the loss of a path. Some of them may have
/// ended under the same request.
const MAX_OTHERS: usize = 5;
/// Longest wait for an upstream to look at, so that the loop notices when the process stops.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// An upstream that may have ended.
struct Doubt {
    address: SocketAddr,
    check: Check,
}

/// What a look at an upstream found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Finding {
    /// Something takes connections at its address.
    Alive,
    Ended,
    /// Neither it nor another upstream of its service takes connections: the path may be lost.
    Unconfirmed,
}

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
        note_loss(proxy, job, attempt, &attempt.reason());
    } else if attempt.is_unconnected() {
        start_look(proxy, job, attempt);
    }
}

/// Remembers a job whose answer an upstream began and did not end, and has the upstream looked at.
pub(super) fn note_cut(proxy: &Proxy, job: &Job, attempt: &Attempt<'_>) {
    note_loss(proxy, job, attempt, "answer was cut while it was passed on");
}

/// Remembers a job that was given up before any sign of an upstream, which may end under it later.
pub(super) fn note_abandoned(proxy: &Proxy, job: &Job, upstream: &UpstreamId) {
    log_loss(job, upstream, "given up");
    proxy.poison.checks().record(proxy.now(), upstream, job.identity(), How::GivenUp);
}

fn note_loss(proxy: &Proxy, job: &Job, attempt: &Attempt<'_>, reason: &str) {
    let upstream = attempt.upstream();
    log_loss(job, &upstream, reason);
    proxy.poison.checks().record(proxy.now(), &upstream, job.identity(), How::Broken);
    start_look(proxy, job, attempt);
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

fn log_loss(job: &Job, upstream: &UpstreamId, reason: &str) {
    tracing::info!(
        target: "hemlockfield::poison",
        id = %job.id,
        service = %job.service,
        %upstream,
        fingerprints = %format_args!("{:016x?}", job.identity().fingerprints()),
        reason,
        "answer lost"
    );
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

/// Looks at upstreams whose connections ended, until the process stops.
pub(crate) async fn watch_upstreams(proxy: Arc<Proxy>) {
    while !proxy.done.is_closed() {
        if let Ok(Ok(doubt)) = timeout(MAX_WAIT, proxy.poison.doubts.1.recv()).await {
            runtime::spawn(check(Arc::clone(&proxy), doubt));
        }
    }
}

/// Reports an upstream as ended if no connection to it can be opened, or a new one has its address.
async fn check(proxy: Arc<Proxy>, doubt: Doubt) {
    task::sleep(PAUSE).await;
    let finding = look(&proxy, &doubt).await;
    let Check { service, upstream } = doubt.check.clone();
    tracing::info!(target: "hemlockfield::poison", %service, %upstream, ?finding, "upstream looked at");
    match finding {
        Finding::Ended => {
            proxy.metrics.count("upstream.ended");
            report_end(&proxy, upstream);
        }
        Finding::Unconfirmed => {
            proxy.metrics.count("upstream.unconfirmed");
            let suspects = proxy.poison.checks().take_broken(proxy.now(), &upstream);
            report_crash(&proxy, Place::Service(service), suspects);
        }
        Finding::Alive => {
            proxy.metrics.count("upstream.alive");
            proxy.poison.checks().end(&upstream);
            task::sleep(REBIRTH).await;
            if is_replaced(&proxy, &doubt) {
                proxy.metrics.count("upstream.replaced");
                report_end(&proxy, upstream);
            }
        }
    }
}

/// Reports the end of an upstream with the jobs that were lost there.
fn report_end(proxy: &Proxy, upstream: UpstreamId) {
    let suspects = proxy.poison.checks().take(proxy.now(), &upstream);
    report_crash(proxy, Place::Upstream(upstream), suspects);
}

fn report_crash(proxy: &Proxy, place: Place, suspects: Vec<Identity>) {
    if !suspects.is_empty() {
        proxy.notify(Input::Poison(Evidence::of_crash(place, suspects)));
    }
}

async fn look(proxy: &Proxy, doubt: &Doubt) -> Finding {
    // Paths that are lost are checked already, by few connections.
    if proxy.reach.is_lost(&doubt.check.service) {
        return Finding::Unconfirmed;
    }
    if !is_ended(proxy, doubt.address).await {
        return Finding::Alive;
    }
    // An entry that lost its path to a service sees all of its upstreams end.
    match reaches_another(proxy, &doubt.check).await {
        true => Finding::Ended,
        false => Finding::Unconfirmed,
    }
}

/// Whether another upstream was announced at the address of this one, which is gone.
fn is_replaced(proxy: &Proxy, doubt: &Doubt) -> bool {
    let view = proxy.view.load();
    let mut all = view.services.values().flat_map(|service| &service.addresses);
    let is_known = all.clone().any(|(id, _)| *id == doubt.check.upstream);
    !is_known && all.any(|(_, address)| *address == doubt.address)
}

/// Whether this entry can connect to another upstream of the service.
async fn reaches_another(proxy: &Proxy, check: &Check) -> bool {
    let view = proxy.view.load_full();
    let Some(service) = view.services.get(&check.service) else { return false };
    let others = service.addresses.iter().filter(|(id, _)| **id != check.upstream);
    let others = others.map(|(_, address)| *address).choose_multiple(&mut rand::rng(), MAX_OTHERS);
    for address in others {
        if proxy.reach.is_lost(&check.service) {
            return false;
        }
        let limit = proxy.settings.limits.connect;
        if let Ok(connection) = Connection::open(proxy.connector.as_ref(), address, limit).await {
            proxy.pool.put(address, connection);
            return true;
        }
    }
    false
}

/// Whether an upstream takes no more connections. An idle one that is still open shows that it lives, and
/// costs the upstream nothing.
async fn is_ended(proxy: &Proxy, address: SocketAddr) -> bool {
    if proxy.pool.has_open(address).await {
        return false;
    }
    let limit = proxy.settings.limits.connect;
    let opened = Connection::open(proxy.connector.as_ref(), address, limit).await;
    let is_ended = opened.is_err();
    if let Ok(connection) = opened {
        proxy.pool.put(address, connection);
    }
    is_ended
}
