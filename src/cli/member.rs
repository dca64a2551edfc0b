//! `hemlockfield member`: adds, replaces or removes a control.

use std::net::SocketAddr;
use std::process::ExitCode;

use http_types::Method;

use super::Error;
use super::FINDING;
use super::client;

/// Options of `member`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// operators' address of a control
    #[options(no_short)]
    pub node: Option<SocketAddr>,
    /// control to add, under a name that was never used before
    #[options(no_short)]
    pub add: Option<String>,
    /// control to remove, once the added one has caught up
    #[options(no_short)]
    pub remove: Option<String>,
    /// wait until a further loss would lose nothing, and say so
    #[options(no_short)]
    pub wait: bool,
}

/// Changes the controls and tells when the repair is done.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    let node = options.node.ok_or(Error::Missing("--node"))?;
    if options.add.is_none() && options.remove.is_none() && !options.wait {
        return Err(Error::Missing("--add, --remove or --wait"));
    }
    let mut query = Vec::new();
    query.extend(options.add.as_ref().map(|name| format!("add={name}")));
    query.extend(options.remove.as_ref().map(|name| format!("remove={name}")));
    query.extend(options.wait.then(|| "wait=true".to_owned()));
    let path = format!("/v1/members?{}", query.join("&"));
    let answer = client::ask(node, Method::Post, &path, String::new())?;
    println!("{}", answer.body.trim_end());
    Ok(ExitCode::from(if answer.status == 200 { 0 } else { FINDING }))
}
