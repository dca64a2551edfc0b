//! Finds out which upstreams ended under requests, and refuses requests in quarantine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::task;
use rand::seq::IteratorRandom;

use crate::balance::Rank;
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
use crate::poison::Trials;
use crate::reach::Check;
use crate::runtime;

use super::Proxy;
use super::attempt::Attempt;
use super::job::Job;

/// Upstreams that wait to be checked. Those beyond are not; a fatal request ends others soon.
const MAX_CHECKS: usize = 64;
/// How long after the end of a connection its upstream is checked: one that is ending may still accept
/// connections for a moment.
const PAUSE: Duration = Duration::from_millis(100);
/// Most other upstreams that are tried to tell the end of one from the loss of a path. Some of them may have
/// ended under the same request.
const MAX_OTHERS: usize = 5;
/// Longest wait for an upstream to check, so that the loop notices when the process stops.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// An upstream that may have ended.
struct Doubt {
    address: SocketAddr,
    check: Check,
}

/// What the traffic threads know of requests under which upstreams end.
pub(super) struct Poison {
    doubts: (Sender<Doubt>, Receiver<Doubt>),
    trials: Mutex<Trials>,
    checks: Mutex<Checks>,
}

impl Poison {
    pub(super) fn new() -> Self {
        Self { doubts: bounded(MAX_CHECKS), trials: Mutex::default(), checks: Mutex::default() }
    }

    fn take_suspects(&self, upstream: &UpstreamId) -> Vec<Fingerprint> {
        self.checks.lock().unwrap_or_else(PoisonError::into_inner).take(upstream)
    }
}

/// Has an upstream checked if its connection ended before any byte of an answer to a job.
pub(super) fn note_failure(proxy: &Proxy, job: &Job, attempt: &Attempt<'_>) {
    if !attempt.is_broken_off() {
        if attempt.is_lost() {
            log_loss(job, attempt, false);
        }
        return;
    }
    let (poison, upstream) = (&proxy.poison, attempt.upstream());
    log_loss(job, attempt, true);
    let mut checks = poison.checks.lock().unwrap_or_else(PoisonError::into_inner);
    if !checks.record(&upstream, job.fingerprint()) {
        return;
    }
    let check = Check { service: job.service.clone(), upstream: upstream.clone() };
    let doubt = Doubt { address: attempt.address(), check };
    if poison.doubts.0.try_send(doubt).is_err() {
        checks.take(&upstream);
    }
}

/// Logs that a job got no whole answer from an upstream, and whether the upstream is looked at for it.
fn log_loss(job: &Job, attempt: &Attempt<'_>, is_checked: bool) {
    tracing::info!(
        target: "hemlockfield::poison",
        id = %job.id,
        service = %job.service,
        upstream = %attempt.upstream(),
        fingerprint = %format_args!("{:016x}", job.fingerprint()),
        is_checked,
        reason = attempt.reason(),
        "answer lost"
    );
}

/// Reports a whole answer to a suspected job.
pub(super) fn note_answer(proxy: &Proxy, job: &Job) {
    let view = proxy.view.load();
    if !view.poison.is_empty() && view.poison.is_suspected(job.fingerprint()) {
        proxy.try_notify(Input::Poison(Evidence::of_answer(job.fingerprint())));
    }
}

/// Whether a job may be sent to a second upstream.
pub(super) fn allows_retry(proxy: &Proxy, job: &Job) -> bool {
    let view = proxy.view.load();
    view.poison.is_empty() || view.poison.allows_retry(job.fingerprint())
}

/// When the caller of a job in quarantine may return; `None` if the job may be sent. A trial is sent
/// once.
pub(super) fn quarantine(proxy: &Proxy, view: &View, job: &mut Job) -> Option<Duration> {
    if view.poison.is_empty() {
        return None;
    }
    let fingerprint = job.fingerprint();
    let is_turn = |turn| {
        let entries = view.entries.iter().map(|entry| (&entry.id, &entry.domain));
        let key = format!("{fingerprint:016x}");
        let rank = Rank::of(&proxy.settings.node.id, entries, &key, &DomainId::default());
        view.standing == Standing::Serving && rank.is_listed() && rank.turn(turn) == 0
    };
    match view.poison.decide(proxy.now(), fingerprint, is_turn) {
        Decision::Refuse { after } => Some(after),
        Decision::Send => None,
        Decision::Trial { since, after } => {
            let mut trials = proxy.poison.trials.lock().unwrap_or_else(PoisonError::into_inner);
            trials.retain(|other| view.poison.is_suspected(other));
            job.terms.attempts = 1;
            job.terms.hedge = false;
            (!trials.try_take(fingerprint, since)).then_some(after)
        }
    }
}

/// Checks upstreams whose connections ended, until the process stops.
pub(crate) async fn watch_upstreams(proxy: Arc<Proxy>) {
    while !proxy.done.is_closed() {
        if let Ok(Ok(doubt)) = timeout(MAX_WAIT, proxy.poison.doubts.1.recv()).await {
            runtime::spawn(check(Arc::clone(&proxy), doubt));
        }
    }
}

/// What a look at an upstream found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Finding {
    /// It takes connections.
    Alive,
    Ended,
    /// Neither it nor another upstream of its service takes connections: the path may be lost.
    Unconfirmed,
}

/// Reports an upstream as ended if no connection to it can be opened.
async fn check(proxy: Arc<Proxy>, doubt: Doubt) {
    let finding = look(&proxy, &doubt).await;
    let Check { service, upstream } = doubt.check;
    let suspects = proxy.poison.take_suspects(&upstream);
    let count = suspects.len();
    tracing::info!(
        target: "hemlockfield::poison", %service, %upstream, ?finding, suspects = count, "upstream looked at"
    );
    match finding {
        Finding::Alive => proxy.metrics.count("upstream.alive"),
        Finding::Unconfirmed => proxy.metrics.count("upstream.unconfirmed"),
        Finding::Ended => {
            proxy.metrics.count("upstream.ended");
            proxy.notify(Input::Poison(Evidence::of_crash(upstream, suspects)));
        }
    }
}

async fn look(proxy: &Proxy, doubt: &Doubt) -> Finding {
    if !is_ended(proxy, doubt.address).await {
        return Finding::Alive;
    }
    // An entry that lost its path to a service sees all of its upstreams end.
    match reaches_another(proxy, &doubt.check).await {
        true => Finding::Ended,
        false => Finding::Unconfirmed,
    }
}

/// Whether this entry can connect to another upstream of the service.
async fn reaches_another(proxy: &Proxy, check: &Check) -> bool {
    let view = proxy.view.load_full();
    let Some(service) = view.services.get(&check.service) else { return false };
    let others = service.addresses.iter().filter(|(id, _)| **id != check.upstream);
    let others = others.map(|(_, address)| *address).choose_multiple(&mut rand::rng(), MAX_OTHERS);
    for address in others {
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
    task::sleep(PAUSE).await;
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
