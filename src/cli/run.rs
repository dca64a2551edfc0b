//! `hemlockfield run`: one process of the fleet.

use std::path::PathBuf;
use std::process::ExitCode;

use async_signal::Signal;
use async_signal::Signals;
use async_std::task;
use futures::StreamExt;

use crate::node::Node;
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
    task::block_on(async {
        let node = Node::start(settings, found).await?;
        let leaving = node.leaving();
        let signals = task::spawn(async move {
            wait_for_signal().await;
            leaving.drain();
            wait_for_signal().await;
            leaving.end_now();
        });
        let cut = node.stopped().await;
        drop(signals);
        Ok(ExitCode::from(if cut == 0 { 0 } else { FINDING }))
    })
}

/// Waits for SIGTERM or SIGINT.
pub(super) async fn wait_for_signal() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => drop(signals.next().await),
        Err(error) => {
            tracing::error!(target: "hemlockfield::node", "can't listen for signals: {error}");
            futures::future::pending::<()>().await;
        }
    }
}
