//! `hemlockfield bench`: measures a slice and prints a report.

use std::process::ExitCode;

use crate::bench;

use super::Error;

/// Options of `bench`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// name of the measurement; without it, all names are listed
    #[options(free)]
    pub name: Option<String>,
    /// number of seeds, or the seed, instead of the default
    #[options(no_short)]
    pub seeds: Option<u64>,
}

/// Runs one measurement and prints its report, or lists the names of all.
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
