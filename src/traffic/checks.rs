//! Opens connections to upstreams without a request, to learn whether a path in doubt is there.

use std::sync::Arc;
use std::time::Duration;

use crate::exchange::Connection;
use crate::reach::Check;
use crate::runtime;

use super::Proxy;

/// Shortest time between two rounds of checks.
const MIN_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait between two rounds, so that the loop notices when the process stops.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// Checks paths in doubt, and tells the control thread of them, until the process stops.
pub(crate) async fn watch_paths(proxy: Arc<Proxy>) {
    while !proxy.done.is_closed() {
        start_checks(&proxy);
        proxy.report_reach();
        let now = proxy.now();
        let due = proxy.reach.monitor().wake(now);
        let longest = due.map(|at| at.saturating_sub(now)).unwrap_or(MAX_INTERVAL);
        proxy.reach.wait(longest.clamp(MIN_INTERVAL, MAX_INTERVAL)).await;
    }
}

fn start_checks(proxy: &Arc<Proxy>) {
    let view = proxy.view.load();
    let mut monitor = proxy.reach.monitor();
    monitor.set_asked(&view.asked);
    let checks = monitor.checks(proxy.now(), |service| view.upstreams(service));
    drop(monitor);
    for check in checks {
        runtime::spawn(run_check(Arc::clone(proxy), check));
    }
}

/// Opens a connection and keeps it for requests.
async fn run_check(proxy: Arc<Proxy>, check: Check) {
    let view = proxy.view.load_full();
    let service = view.services.get(&check.service);
    let Some(address) = service.and_then(|it| it.addresses.get(&check.upstream)).copied() else {
        return;
    };
    let started = proxy.now();
    let limit = proxy.settings.limits.connect;
    let opened = Connection::open(proxy.connector.as_ref(), address, limit).await;
    proxy.metrics.count(if opened.is_ok() { "path.check_opened" } else { "path.check_failed" });
    proxy.record_attempt(started, &check, opened.is_ok());
    if let Ok(connection) = opened {
        proxy.pool.put(address, connection);
    }
    proxy.reach.wake();
}
