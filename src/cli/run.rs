//! `hemlockfield run`: runs one process of the fleet.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use async_signal::Signal;
use async_signal::Signals;
use futures::StreamExt;
use futures::executor::block_on;

use crate::node::Handle;
use crate::node::Node;
use crate::runtime;
use crate::settings::Settings;

use super::EXIT_FINDING;
use super::Error;

/// Options of `run`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// create the fleet's first membership of controls, once, on empty data folders
    #[options(no_short)]
    pub found: bool,
    /// settings file
    #[options(free)]
    pub settings: Option<PathBuf>,
}

/// Runs until a signal. The first one drains the process without aborting a request, the second
/// one stops it at once.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    let path = options.settings.clone().ok_or(Error::Missing("SETTINGS"))?;
    let found = options.found;
    let settings = Settings::load(&path)?;
    let _logs = crate::node::start_logs(&settings);
    crate::node::set_traffic_threads(&settings);
    block_on(async {
        // Registered before the process starts, so that no signal is lost.
        let mut signals = listen_for_signals();
        log_start(&settings);
        let node = Node::start(settings, found).await.inspect_err(|error| {
            tracing::error!(target: "hemlockfield::node", "can't start: {error}");
        })?;
        let handle = node.handle();
        runtime::spawn(async move {
            handle_signals(&mut signals, &path, &handle).await;
        });
        let cut = node.wait().await;
        tracing::info!(target: "hemlockfield::node", cut, "stopped");
        Ok(ExitCode::from(if cut == 0 { 0 } else { EXIT_FINDING }))
    })
}

/// Logs the start, from which a reader of the log knows the age of the process. A killed process
/// logs nothing, so without this line a restart would not be visible.
fn log_start(settings: &Settings) {
    let Settings { node, roles, .. } = settings;
    let version = env!("CARGO_PKG_VERSION");
    let domain = &node.failure_domain;
    tracing::info!(target: "hemlockfield::node", id = %node.id, %domain, ?roles, version, "started");
}

/// Drains the process at the first signal to end and stops it at the second one. SIGHUP, which
/// would end a process without a handler, reloads the settings.
async fn handle_signals(signals: &mut Option<Signals>, path: &Path, handle: &Handle) {
    let mut is_draining = false;
    loop {
        match next_signal(signals).await {
            Some(Signal::Hup) => reload(path, handle),
            Some(_) if is_draining => return handle.stop_now(),
            Some(_) => {
                is_draining = true;
                tracing::info!(target: "hemlockfield::node", "draining after a signal to end");
                handle.drain();
            }
            None => return,
        }
    }
}

/// Applies those settings that may change while the process runs. Invalid settings are logged
/// and change nothing.
fn reload(path: &Path, handle: &Handle) {
    match Settings::load(path) {
        Ok(settings) => {
            tracing::info!(target: "hemlockfield::settings", "settings reloaded");
            handle.reload(&settings);
        }
        Err(error) => {
            tracing::error!(target: "hemlockfield::settings", "settings not reloaded, keeping the previous ones: {error}");
        }
    }
}

/// Registers handlers for SIGTERM, SIGINT and SIGHUP.
pub(super) fn listen_for_signals() -> Option<Signals> {
    let listening = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let log = |error: &std::io::Error| {
        tracing::error!(target: "hemlockfield::node", "can't listen for signals: {error}");
    };
    listening.inspect_err(log).ok()
}

/// Waits for the next signal, forever if the handlers could not be registered.
pub(super) async fn next_signal(signals: &mut Option<Signals>) -> Option<Signal> {
    match signals {
        Some(signals) => signals.next().await.and_then(Result::ok),
        None => futures::future::pending().await,
    }
}
