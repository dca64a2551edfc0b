//! `hemlockfield replay`: replays recorded traces and compares them with expected outcomes.

use std::path::PathBuf;
use std::process::ExitCode;

use crate::replay::Trace;

use super::EXIT_FINDING;
use super::Error;

/// Options of `replay`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// trace files, in JSON lines
    #[options(free)]
    pub traces: Vec<PathBuf>,
    /// also print each decision
    #[options(no_short)]
    pub decisions: bool,
}

/// Prints for each expectation, with its line, whether it was met.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    if options.traces.is_empty() {
        return Err(Error::Missing("TRACE..."));
    }
    let mut code = ExitCode::SUCCESS;
    for path in &options.traces {
        let report = Trace::read(path)?.run();
        let name = path.display();
        if options.decisions {
            for placed in &report.outputs {
                let output = serde_json::to_string(&placed.output).unwrap_or_default();
                println!("{name}: {} µs: {} {output}", placed.at.as_micros(), placed.of);
            }
        }
        for finding in &report.findings {
            println!("{name}: {finding}");
        }
        if report.lost > 0 {
            println!("{name}: {} inputs were not recorded, decisions may differ", report.lost);
        }
        let broken = report.findings.iter().filter(|finding| !finding.held).count();
        let held = report.findings.len() - broken;
        println!("{name}: {held} held, {broken} broken, {} decisions", report.outputs.len());
        if broken > 0 {
            code = ExitCode::from(EXIT_FINDING);
        }
    }
    Ok(code)
}
