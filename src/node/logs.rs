use tracing_subscriber::EnvFilter;

use crate::settings::Settings;

/// Writes logs as JSON lines to standard error, by the levels of the settings.
pub fn start_logs(settings: &Settings) {
    let filter = EnvFilter::new(settings.log.filter());
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .finish();
    if tracing::subscriber::set_global_default(subscriber).is_err() {
        tracing::debug!(target: "hemlockfield::node", "logs were started before");
    }
}

/// Starts as many traffic threads as the settings say; before the first task runs.
pub fn start_threads(settings: &Settings) {
    crate::runtime::set_threads(settings.traffic.threads);
}
