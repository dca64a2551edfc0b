//! Looks at upstreams at which requests were lost, and reports those that ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use rand::seq::IteratorRandom;

use crate::exchange::Connection;
use crate::id::UpstreamId;
use crate::node::Input;
use crate::poison::Evidence;
use crate::poison::Identity;
use crate::poison::Scope;
use crate::reach::Check;
use crate::runtime;
use crate::traffic::Proxy;

/// How long after the end of a connection its upstream is looked at: one that is ending may still accept
/// connections for a moment.
const PAUSE: Duration = Duration::from_millis(100);
/// How long after a look that found an upstream alive it is known whether that was a new one at its address.
const REPLACEMENT: Duration = Duration::from_secs(2);
/// Most other upstreams that are tried to tell the end of one from the loss of a path. Some of them may have
/// ended under the same request.
const MAX_OTHERS: usize = 5;
/// Longest wait for an upstream to look at, so that the loop notices when the process stops.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// An upstream that may have ended.
pub(super) struct Doubt {
    pub(super) address: SocketAddr,
    pub(super) check: Check,
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
            report_crash(&proxy, Scope::Service(service), suspects);
        }
        Finding::Alive => {
            proxy.metrics.count("upstream.alive");
            proxy.poison.checks().end(&upstream);
            task::sleep(REPLACEMENT).await;
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
    report_crash(proxy, Scope::Upstream(upstream), suspects);
}

fn report_crash(proxy: &Proxy, scope: Scope, suspects: Vec<Identity>) {
    if !suspects.is_empty() {
        proxy.notify(Input::Poison(Evidence::of_crash(scope, suspects)));
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
