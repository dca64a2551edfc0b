//! Paths to the upstreams, as the traffic threads use them.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::future::timeout;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::health::Observation;
use crate::id::ServiceId;
use crate::node::Input;
use crate::node::View;
use crate::reach::Check;
use crate::reach::Monitor;
use crate::reach::Peer;
use crate::reach::Peers;
use crate::reach::Status;

use super::Proxy;

/// Paths to the upstreams, shared by the traffic threads.
pub(super) struct Reach {
    monitor: Mutex<Monitor>,
    peers: Mutex<Peers>,
    signal: (Sender<()>, Receiver<()>),
}

impl Reach {
    pub(super) fn new(seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            monitor: Mutex::new(Monitor::new(random.clone())),
            peers: Mutex::new(Peers::new(random)),
            signal: bounded(1),
        }
    }

    /// Whether no upstream of a service can be reached.
    pub(super) fn is_lost(&self, service: &ServiceId) -> bool {
        self.monitor().is_lost(service)
    }

    /// Whether upstreams of a service that can't be reached still answer on open connections.
    pub(super) fn is_answering(&self, now: Moment, service: &ServiceId) -> bool {
        self.monitor().is_answering(now, service)
    }

    /// Whether a request that has waited for `age` may have waited because of the path.
    pub(super) fn excuses(&self, now: Moment, service: &ServiceId, age: Duration) -> bool {
        self.monitor().excuses(now, service, age)
    }

    /// Records that requests to a service wait unusually long.
    pub(super) fn suspect(&self, now: Moment, service: &ServiceId) {
        if self.monitor().suspect(now, service) {
            self.wake();
        }
    }

    /// Returns the observations that are evidence about their upstreams, see [`Monitor::judge`].
    pub(super) fn judge(&self, now: Moment, observation: Observation) -> Vec<Observation> {
        self.monitor().judge(now, observation)
    }

    /// Has the path watched again at once, as what controls ask may have changed.
    pub(super) fn wake(&self) {
        self.signal.0.try_send(()).ok();
    }

    /// Waits until the paths have to be watched again, at most `longest`.
    pub(super) async fn wait(&self, longest: Duration) {
        timeout(longest, self.signal.1.recv()).await.ok();
    }

    /// Chooses another entry for a request to a service.
    pub(super) fn choose_peer(
        &self,
        now: Moment,
        service: &ServiceId,
        view: &View,
    ) -> Option<Peer> {
        self.peers().choose(now, service, view.peers.iter().cloned())
    }

    /// Avoids an entry that did not reach the service, or was not reached.
    pub(super) fn avoid_peer(&self, now: Moment, peer: &Peer, service: &ServiceId) {
        self.peers().avoid(now, peer, service);
    }

    pub(super) fn monitor(&self) -> MutexGuard<'_, Monitor> {
        self.monitor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Proxy {
    /// Records an attempt from `started` to open a connection to an upstream.
    pub(super) fn record_attempt(&self, started: Moment, check: &Check, is_open: bool) {
        let now = self.now();
        let view = self.view.load();
        let Some(upstreams) = view.upstreams(&check.service) else { return };
        let mut monitor = self.reach.monitor();
        let before = monitor.status(&check.service);
        let released = match is_open {
            true => monitor.record_opened(now, started, check, upstreams),
            false => {
                monitor.record_failed(now, started, check, upstreams);
                Vec::new()
            }
        };
        let after = monitor.status(&check.service);
        drop(monitor);
        log_status(check, upstreams.members.len(), before, after);
        released.into_iter().for_each(|observation| self.record_observation(observation));
        if !is_open {
            self.reach.wake();
        }
    }

    /// Tells the control thread what has changed of the paths.
    pub(super) fn report_reach(&self) {
        let report = self.reach.monitor().report(self.now());
        if let Some(verdicts) = report {
            self.notify(Input::Reach(verdicts));
        }
    }
}

/// Logs an attempt that changed whether a path is lost, or what shows that a lost one is back.
fn log_status(check: &Check, members: usize, before: Status, after: Status) {
    if (before.is_lost, before.proofs) == (after.is_lost, after.proofs) {
        return;
    }
    let Status { is_lost, proofs, .. } = after;
    let unreached = before.unreached.max(after.unreached);
    tracing::info!(
        target: "hemlockfield::reach",
        service = %check.service, upstream = %check.upstream,
        is_lost, members, proofs, unreached, "path"
    );
}
