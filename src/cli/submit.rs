//! `hemlockfield submit`: submits a numbered configuration.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use http::Method;

use crate::rule::Rules;

use super::EXIT_FINDING;
use super::Error;
use super::client;

/// Options of `submit`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// rules file
    #[options(free)]
    pub file: Option<PathBuf>,
    /// operators' address of a process
    #[options(no_short)]
    pub node: Option<SocketAddr>,
    /// number of the configuration, above the one in force
    #[options(no_short)]
    pub number: Option<u64>,
    /// id of this submission; resend with the same id until an answer comes
    #[options(no_short)]
    pub id: Option<String>,
}

/// Validates the rules, submits them and prints the answer.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    let file = options.file.clone().ok_or(Error::Missing("FILE"))?;
    let node = options.node.ok_or(Error::Missing("--node"))?;
    let number = options.number.ok_or(Error::Missing("--number"))?;
    let id = options.id.clone().ok_or(Error::Missing("--id"))?;
    let named = |source| Error::File { path: file.clone(), source };
    let text = fs::read_to_string(&file).map_err(named)?;
    if let Err(error) = Rules::parse_file(&file.display().to_string(), &text) {
        eprintln!("{error}");
        return Ok(ExitCode::from(EXIT_FINDING));
    }
    let path = format!("/v1/configuration/{number}?submission={id}");
    let answer = client::ask(node, Method::PUT, &path, text)?;
    println!("{}", answer.body.trim_end());
    Ok(ExitCode::from(if answer.status == 200 { 0 } else { EXIT_FINDING }))
}
