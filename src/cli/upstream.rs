//! `hemlockfield upstream`: a stand-in for an upstream.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use crate::upstream::FailureMode;
use crate::upstream::Server;
use crate::upstream::Setup;

use super::Error;
use super::run::listen_for_signals;
use super::run::next_signal;

/// Options of `upstream`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// address to listen on, such as 127.0.0.1:0
    #[options(no_short, default = "127.0.0.1:0")]
    pub listen: String,
    /// name of this upstream
    #[options(no_short)]
    pub name: Option<String>,
    /// service it belongs to
    #[options(no_short)]
    pub service: Option<String>,
    /// failure domain it is in
    #[options(no_short, default = "halle-nord")]
    pub domain: String,
    /// operators' address of an entry to announce itself to; may be repeated
    #[options(no_short)]
    pub entry: Vec<SocketAddr>,
    /// requests worked on at once
    #[options(no_short, default = "4")]
    pub slots: usize,
    /// milliseconds that a request takes
    #[options(no_short, default = "25")]
    pub work: u64,
    /// requests that may wait before it sheds
    #[options(no_short, default = "8")]
    pub queue: usize,
    /// gray mode: none, slow:8, error:0.5, cut:0.5, silent:0.5, flap:2:error:1
    #[options(no_short, default = "none")]
    pub gray: FailureMode,
    /// seconds of cold start
    #[options(no_short, default = "0")]
    pub warm_up: u64,
    /// factor on the work at the start, falling to 1 over the cold start
    #[options(no_short, default = "1.0")]
    pub cold: f64,
    /// seconds that an announcement counts
    #[options(no_short, default = "6")]
    pub lease: u64,
}

/// Runs until a signal comes: the first drains it, the second ends it.
pub(super) fn run(options: Options) -> Result<ExitCode, Error> {
    let name = options.name.ok_or(Error::Missing("--name"))?;
    let service = options.service.ok_or(Error::Missing("--service"))?;
    let listen = options.listen.parse().map_err(|_| Error::Value {
        allowed: "write an address such as `127.0.0.1:0`".to_owned(),
        option: "--listen",
        value: options.listen.clone(),
    })?;
    let mut setup = Setup::new(&name, &service, &options.domain, listen);
    setup.entries = options.entry;
    setup.slots = options.slots.max(1);
    setup.processing_time = Duration::from_millis(options.work);
    setup.queue = options.queue;
    setup.failure_mode = options.gray;
    setup.warm_up = Duration::from_secs(options.warm_up);
    setup.cold_start_factor = options.cold;
    setup.lease = Duration::from_secs(options.lease.max(1));
    async_std::task::block_on(async {
        let mut signals = listen_for_signals();
        let server = Server::start(setup).await?;
        println!("listening on {}", server.address());
        next_signal(&mut signals).await;
        server.drain();
        next_signal(&mut signals).await;
        server.stop().await;
        Ok(ExitCode::SUCCESS)
    })
}
