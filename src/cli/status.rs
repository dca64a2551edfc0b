//! `hemlockfield status`: shows the status of a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use http::Method;

use super::EXIT_FINDING;
use super::Error;
use super::client;

/// Options of `status`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// operators' address of the process
    #[options(no_short)]
    pub node: Option<SocketAddr>,
}

/// Prints the status as JSON.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    let node = options.node.ok_or(Error::Missing("--node"))?;
    let answer = client::ask(node, Method::GET, "/v1/status", String::new())?;
    println!("{}", answer.body);
    Ok(ExitCode::from(if answer.status == 200 { 0 } else { EXIT_FINDING }))
}
