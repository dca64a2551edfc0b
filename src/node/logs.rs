use std::io::stdout;

use tracing_appender::non_blocking::NonBlocking;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

use crate::settings::Settings;

/// Lines that wait for the output; more are lost and counted. Ten seconds of an entry at
/// 40 requests a second with ten lines each, at most 2 MB.
const LINES_MAX: usize = 4096;

/// What keeps the logs flowing; the last lines are written as it goes.
pub struct Logs {
    lost: tracing_appender::non_blocking::ErrorCounter,
    _guard: WorkerGuard,
}

impl Drop for Logs {
    fn drop(&mut self) {
        let lost = self.lost.dropped_lines();
        tracing::info!(target: "hemlockfield::node", lost, "logs end");
    }
}

/// Writes logs as JSON lines to standard output, by the levels of the settings, from a thread
/// of its own: an output that nobody reads would otherwise stop requests.
pub fn start_logs(settings: &Settings) -> Logs {
    let filter = EnvFilter::new(settings.log.filter());
    let (writer, guard): (NonBlocking, WorkerGuard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES_MAX).finish(stdout());
    let lost = writer.error_counter();
    let subscriber =
        tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(writer).finish();
    if tracing::subscriber::set_global_default(subscriber).is_err() {
        tracing::debug!(target: "hemlockfield::node", "logs were started before");
    }
    Logs { lost, _guard: guard }
}

/// Starts as many traffic threads as the settings say; before the first task runs.
pub fn start_threads(settings: &Settings) {
    crate::runtime::set_threads(settings.traffic.threads);
}
