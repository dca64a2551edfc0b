//! `hemlockfield run`: one process of the fleet.

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

use super::Error;
use super::FINDING;

/// Options of `run`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// make the fleet's first membership of controls, once, on empty data folders
    #[options(no_short)]
    pub found: bool,
    /// file of settings
    #[options(free)]
    pub settings: Option<PathBuf>,
}

/// Runs until a signal: the first makes it leave without cutting a request, the second
/// ends it at once.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    let path = options.settings.clone().ok_or(Error::Missing("SETTINGS"))?;
    let found = options.found;
    let settings = Settings::load(&path)?;
    let _logs = crate::node::start_logs(&settings);
    crate::node::set_traffic_threads(&settings);
    block_on(async {
        // Listened for from before the first one: a second signal must not be lost.
        let mut signals = listen_for_signals();
        tell_start(&settings);
        let node = Node::start(settings, found).await.inspect_err(|error| {
            tracing::error!(target: "hemlockfield::node", "can't start: {error}");
        })?;
        let handle = node.handle();
        runtime::spawn(async move {
            obey(&mut signals, &path, &handle).await;
        });
        let cut = node.wait().await;
        tracing::info!(target: "hemlockfield::node", cut, "stopped");
        Ok(ExitCode::from(if cut == 0 { 0 } else { FINDING }))
    })
}

/// Writes the line from which a reader of the log counts the process's age. A process that was
/// killed says nothing, and without this line nothing shows when it was back.
fn tell_start(settings: &Settings) {
    let Settings { node, roles, .. } = settings;
    let version = env!("CARGO_PKG_VERSION");
    let domain = &node.failure_domain;
    tracing::info!(target: "hemlockfield::node", id = %node.id, %domain, ?roles, version, "started");
}

/// Leaves at the first signal to end, and ends at once at the second one; reads the settings
/// again at SIGHUP, which would end the process without a handler.
async fn obey(signals: &mut Option<Signals>, path: &Path, handle: &Handle) {
    let mut left = false;
    loop {
        match next_signal(signals).await {
            Some(Signal::Hup) => reload(path, handle),
            Some(_) if left => return handle.stop_now(),
            Some(_) => {
                left = true;
                tracing::info!(target: "hemlockfield::node", "asked to end: leaving");
                handle.drain();
            }
            None => return,
        }
    }
}

/// Takes over what may change while the process runs. Settings with a mistake are told and
/// change nothing.
fn reload(path: &Path, handle: &Handle) {
    match Settings::load(path) {
        Ok(settings) => {
            tracing::info!(target: "hemlockfield::settings", "read again");
            handle.reload(&settings);
        }
        Err(error) => {
            tracing::error!(target: "hemlockfield::settings", "the old ones stay: {error}");
        }
    }
}

/// Listens for SIGTERM, SIGINT and SIGHUP from now on.
pub(super) fn listen_for_signals() -> Option<Signals> {
    let listening = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let log = |error: &std::io::Error| {
        tracing::error!(target: "hemlockfield::node", "can't listen for signals: {error}");
    };
    listening.inspect_err(log).ok()
}

/// Waits for the next signal; for ever where none can be listened for.
pub(super) async fn next_signal(signals: &mut Option<Signals>) -> Option<Signal> {
    match signals {
        Some(signals) => signals.next().await.and_then(Result::ok),
        None => futures::future::pending().await,
    }
}
