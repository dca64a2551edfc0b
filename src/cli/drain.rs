//! `hemlockfield drain`: drains an entry without aborting a request.

use std::net::SocketAddr;
use std::process::ExitCode;

use http::Method;

use super::EXIT_FINDING;
use super::Error;
use super::client;

/// Options of `drain`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// operators' address of the entry
    #[options(no_short)]
    pub node: Option<SocketAddr>,
}

/// Asks the entry to drain. Its process exits when no request is in flight any more.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    let node = options.node.ok_or(Error::Missing("--node"))?;
    let answer = client::ask(node, Method::POST, "/v1/drain", String::new())?;
    println!("{}", answer.body.trim_end());
    Ok(ExitCode::from(if answer.status == 200 { 0 } else { EXIT_FINDING }))
}
