//! Descriptors of connections: frees those of idle ones, and tells whether any is left for a new one.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::task;

use crate::clock::Moment;

use super::Proxy;

/// Time for which a failed accept says that this process takes no new connections. While descriptors
/// are short, accepts fail many times in it.
const FAILED_SPAN: Duration = Duration::from_millis(500);
/// Interval between sweeps of the idle connections to upstreams.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// When accepting a connection last failed.
#[derive(Debug, Default)]
pub(super) struct Accepts {
    failed_at: Mutex<Option<Moment>>,
}

/// Closes idle connections to upstreams that would not be reused, until the process stops.
pub(crate) async fn sweep_connections(proxy: Arc<Proxy>) {
    while !proxy.done.is_closed() {
        proxy.pool.sweep().await;
        task::sleep(SWEEP_INTERVAL).await;
    }
}

impl Proxy {
    /// Records that a connection could not be accepted, usually because no descriptor is left, and
    /// closes the idle connections to upstreams, which hold some.
    pub(crate) fn record_failed_accept(&self, error: &io::Error) {
        if error.kind() == io::ErrorKind::ConnectionAborted {
            return;
        }
        let closed = self.pool.clear();
        self.metrics.count("accept.failed");
        tracing::warn!(target: "hemlockfield::exchange", closed, "accept failed: {error}");
        let failed_at = &self.accepts.failed_at;
        *failed_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(self.now());
    }

    /// Whether this process takes new connections.
    pub(crate) fn accepts_connections(&self) -> bool {
        let failed_at = *self.accepts.failed_at.lock().unwrap_or_else(PoisonError::into_inner);
        failed_at.is_none_or(|at| self.now().saturating_sub(at) >= FAILED_SPAN)
    }
}
