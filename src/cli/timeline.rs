//! `hemlockfield timeline`: merges event files into one time line.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::timeline;

use super::Error;

/// Options of `timeline`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// event files
    #[options(free)]
    pub files: Vec<PathBuf>,
    /// write an HTML page with a lane for each process to this file
    #[options(no_short)]
    pub html: Option<PathBuf>,
    /// only events of this request
    #[options(no_short)]
    pub request: Option<String>,
    /// only events of this process
    #[options(no_short)]
    pub vm: Option<String>,
    /// only events about this upstream
    #[options(no_short)]
    pub upstream: Option<String>,
    /// only events about this configuration
    #[options(no_short)]
    pub configuration: Option<u64>,
}

/// Prints the events in causal order, or writes them as an HTML page.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    if options.files.is_empty() {
        return Err(Error::Missing("FILE..."));
    }
    let filter = timeline::Filter {
        configuration: options.configuration,
        request: options.request.as_deref().map(Into::into),
        upstream: options.upstream.as_deref().map(Into::into),
        vm: options.vm.as_deref().map(Into::into),
    };
    let report = timeline::Merge::read(&options.files, &filter);
    match &options.html {
        Some(path) => {
            let named = |source| Error::File { path: path.clone(), source };
            fs::write(path, report.html()).map_err(named)?;
        }
        None => print!("{}", report.text()),
    }
    Ok(ExitCode::SUCCESS)
}
