//! `hemlockfield upstream`: runs a test upstream.

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
    /// service that it belongs to
    #[options(no_short)]
    pub service: Option<String>,
    /// failure domain that it is in
    #[options(no_short, default = "halle-nord")]
    pub domain: String,
    /// operators' address of an entry to announce itself to; may be repeated
    #[options(no_short)]
    pub entry: Vec<SocketAddr>,
    /// requests handled concurrently
    #[options(no_short, default = "4")]
    pub slots: usize,
    /// milliseconds that handling a request takes
    #[options(no_short, default = "25")]
    pub work: u64,
    /// requests that may wait before further ones are shed
    #[options(no_short, default = "8")]
    pub queue: usize,
    /// gray mode: none, slow:8, error:0.5, cut:0.5, silent:0.5, flap:2:error:1
    #[options(no_short, default = "none")]
    pub gray: FailureMode,
    /// duration of the cold start in seconds
    #[options(no_short, default = "0")]
    pub warm_up: u64,
    /// factor on the handling time at the start, falling to 1 over the cold start
    #[options(no_short, default = "1.0")]
    pub cold: f64,
    /// seconds for which an announcement is valid
    #[options(no_short, default = "6")]
    pub lease: u64,
}

/// Runs until a signal. The first one drains the upstream, the second one stops it.
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
        let upstream = Server::start(setup).await?;
        println!("listening on {}", upstream.address());
        next_signal(&mut signals).await;
        upstream.drain();
        next_signal(&mut signals).await;
        upstream.stop().await;
        Ok(ExitCode::SUCCESS)
    })
}
