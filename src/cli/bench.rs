//! `hemlockfield bench`: measures a slice and writes a small report.

use std::process::ExitCode;

use crate::bench;

use super::Error;

/// Options of `bench`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// what to measure; without it, the names are listed
    #[options(free)]
    pub name: Option<String>,
    /// seeds, or the seed, in place of the usual ones
    #[options(no_short)]
    pub seeds: Option<u64>,
}

/// Runs one measurement and prints its report.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    let names: Vec<&str> = bench::ALL.iter().map(|(name, ..)| *name).collect();
    let Some(wanted) = &options.name else {
        println!("{}", names.join("\n"));
        return Ok(ExitCode::SUCCESS);
    };
    let Some((_, seeds, bench)) = bench::ALL.iter().find(|(name, ..)| name == wanted) else {
        return Err(Error::Value {
            allowed: format!("allowed are `{}`", names.join("`, `")),
            option: "NAME",
            value: wanted.clone(),
        });
    };
    println!("{}", bench(options.seeds.unwrap_or(*seeds)));
    Ok(ExitCode::SUCCESS)
}
