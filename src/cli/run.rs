//! `hemlockfield run`: one process of the fleet.

use std::path::PathBuf;
use std::process::ExitCode;

use async_signal::Signal;
use async_signal::Signals;
use futures::StreamExt;
use futures::executor::block_on;

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
    crate::node::start_logs(&settings);
    crate::node::start_threads(&settings);
    block_on(async {
        // Listened for from before the first one: a second signal must not be lost.
        let mut signals = listen_for_signals();
        let node = Node::start(settings, found).await?;
        let leaving = node.leaving();
        runtime::spawn(async move {
            next_signal(&mut signals).await;
            leaving.drain();
            next_signal(&mut signals).await;
            leaving.end_now();
        });
        let cut = node.stopped().await;
        Ok(ExitCode::from(if cut == 0 { 0 } else { FINDING }))
    })
}

/// Listens for SIGTERM and SIGINT from now on.
pub(super) fn listen_for_signals() -> Option<Signals> {
    let listening = Signals::new([Signal::Term, Signal::Int]);
    let log = |error: &std::io::Error| {
        tracing::error!(target: "hemlockfield::node", "can't listen for signals: {error}");
    };
    listening.inspect_err(log).ok()
}

/// Waits for the next signal; for ever where none can be listened for.
pub(super) async fn next_signal(signals: &mut Option<Signals>) {
    match signals {
        Some(signals) => drop(signals.next().await),
        None => futures::future::pending::<()>().await,
    }
}
