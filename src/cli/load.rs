//! `hemlockfield load`: sends an open-loop load and reports what callers received.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use compact_str::CompactString;
use http::Method;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;

use crate::load;
use crate::load::Kind;
use crate::load::Plan;

use super::EXIT_FINDING;
use super::Error;
use super::client;

/// Options of `load`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// callers' address of an entry; may be repeated
    #[options(no_short)]
    pub entry: Vec<SocketAddr>,
    /// requests per second
    #[options(no_short, default = "100")]
    pub rate: f64,
    /// duration in seconds
    #[options(no_short, default = "10")]
    pub seconds: u64,
    /// number of callers
    #[options(no_short, default = "20")]
    pub callers: usize,
    /// kind of request, as NAME:WEIGHT:METHOD:HOST/PATH[:UP[:DOWN]] with sizes in bytes; may be repeated
    #[options(no_short)]
    pub kind: Vec<Kind>,
    /// time budget of each request, in milliseconds
    #[options(no_short, default = "5000")]
    pub budget: u64,
    /// use the given entries in turn, without asking any for its list of entries
    #[options(no_short)]
    pub direct: bool,
    /// resend requests that were answered as not-run or got no answer
    #[options(no_short)]
    pub resend: bool,
    /// random seed of the arrivals
    #[options(no_short, default = "1")]
    pub seed: u64,
    /// address of a test upstream whose runs are reconciled with the load; may be repeated
    #[options(no_short)]
    pub upstream: Vec<SocketAddr>,
}

/// Runs the load. A violated guarantee to callers is a finding.
pub(super) fn run(options: Options) -> Result<ExitCode, Error> {
    let plan = Plan {
        budget: Duration::from_millis(options.budget),
        callers: options.callers,
        directory: !options.direct,
        duration: Duration::from_secs(options.seconds),
        entries: options.entry,
        kinds: options.kind,
        rate: options.rate,
        resend: options.resend,
        seed: options.seed,
    };
    let tag = format!("load-{}-{}", std::process::id(), options.seed);
    let progress = progress();
    let mut report = async_std::task::block_on(load::run(&plan, &tag, &progress))?;
    progress.finish_and_clear();
    let mut runs = BTreeMap::new();
    for address in options.upstream {
        add_runs(address, &mut runs)?;
    }
    if !runs.is_empty() {
        report.reconcile(&runs);
    }
    println!("{report}");
    Ok(ExitCode::from(if report.is_clean() { 0 } else { EXIT_FINDING }))
}

/// Progress bar on standard error, hidden if that is no terminal.
pub(super) fn progress() -> ProgressBar {
    let bar = ProgressBar::new(0);
    let template = "{elapsed_precise} [{bar:40}] {pos}/{len} requests";
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
    bar
}

fn add_runs(address: SocketAddr, runs: &mut BTreeMap<CompactString, u32>) -> Result<(), Error> {
    let answer = client::ask(address, Method::GET, "/_runs", String::new())?;
    let failed = |error: serde_json::Error| Error::Ask { address, reason: error.to_string() };
    let counts: serde_json::Value = serde_json::from_str(&answer.body).map_err(failed)?;
    let found: BTreeMap<CompactString, u32> =
        serde_json::from_value(counts["runs"].clone()).map_err(failed)?;
    for (key, count) in found {
        *runs.entry(key).or_default() += count;
    }
    Ok(())
}
