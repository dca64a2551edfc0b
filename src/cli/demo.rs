//! `hemlockfield demo`: runs the whole system in one process, with a gray failure.

use std::process::ExitCode;

use crate::demo;

use super::EXIT_FINDING;
use super::Error;
use super::load::progress;

/// Options of `demo`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
}

/// Runs the demo. A violated guarantee to callers is a finding.
pub(super) fn run(_: &Options) -> Result<ExitCode, Error> {
    let folder = std::env::temp_dir().join(format!("hemlockfield-demo-{}", std::process::id()));
    println!("three controls, three entries, eight upstreams; one falls silent, one cuts answers");
    let progress = progress();
    let outcome = async_std::task::block_on(demo::run(&folder, &progress))?;
    progress.finish_and_clear();
    println!("\ntime line:\n{}", outcome.timeline);
    println!("\nwhat callers received, upstreams taken in turn:\n{}", outcome.baseline);
    println!("\nwhat callers received, through hemlockfield:\n{}", outcome.hemlockfield);
    Ok(ExitCode::from(if outcome.hemlockfield.is_clean() { 0 } else { EXIT_FINDING }))
}
