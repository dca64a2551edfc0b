use std::io::stdout;

use tracing_appender::non_blocking::NonBlocking;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

use crate::settings::Settings;

/// Lines buffered for the output; more are dropped and counted. Enough for ten seconds of an
/// entry at 40 requests per second with ten lines each, in at most 2 MB.
const MAX_BUFFERED_LINES: usize = 4096;

/// Guard of the logging thread; dropping it flushes the buffered lines.
pub struct LogGuard {
    lost: tracing_appender::non_blocking::ErrorCounter,
    _guard: WorkerGuard,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let lost = self.lost.dropped_lines();
        tracing::info!(target: "hemlockfield::node", lost, "logs end");
    }
}

/// Starts logging JSON lines to standard output, at the levels of the settings. A thread of
/// its own writes them: otherwise an output that nobody reads would block requests.
pub fn start_logs(settings: &Settings) -> LogGuard {
    let filter = EnvFilter::new(settings.log.filter());
    let (writer, guard): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(stdout());
    let lost = writer.error_counter();
    let subscriber =
        tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(writer).finish();
    if tracing::subscriber::set_global_default(subscriber).is_err() {
        tracing::debug!(target: "hemlockfield::node", "logging was started before");
    }
    LogGuard { lost, _guard: guard }
}

/// Sets the number of traffic threads from the settings. Must be called before the first task.
pub fn set_traffic_threads(settings: &Settings) {
    crate::runtime::set_threads(settings.traffic.threads);
}
