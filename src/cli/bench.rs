//! `hemlockfield bench`: measures a slice and writes a small report.

use std::process::ExitCode;

use super::Error;

/// Options of `bench`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// what to measure; without it, the names are listed
    #[options(free)]
    pub name: Option<String>,
}

/// Runs one measurement and prints its report.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    let names: Vec<&str> = crate::bench::ALL.iter().map(|(name, _)| *name).collect();
    let Some(wanted) = &options.name else {
        println!("{}", names.join("\n"));
        return Ok(ExitCode::SUCCESS);
    };
    let Some((_, bench)) = crate::bench::ALL.iter().find(|(name, _)| name == wanted) else {
        return Err(Error::Value {
            allowed: format!("allowed are `{}`", names.join("`, `")),
            option: "NAME",
            value: wanted.clone(),
        });
    };
    println!("{}", bench());
    Ok(ExitCode::SUCCESS)
}
