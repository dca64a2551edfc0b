use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::channel::unbounded;
use async_std::net::TcpListener;

use crate::config::Version;
use crate::exchange::Connector;
use crate::exchange::Network;
use crate::id::ConfigNumber;
use crate::metrics::Metrics;
use crate::operator;
use crate::replay;
use crate::runtime;
use crate::settings::Settings;
use crate::timeline::FileRecorder;
use crate::timeline::Journal;
use crate::timeline::Kind;
use crate::traffic;
use crate::traffic::Proxy;
use crate::traffic::Source;
use crate::wire::Verdict;

use super::Error;
use super::Input;
use super::InputSender;
use super::builder;
use super::builder::Components;
use super::links;
use super::null_recorder::NullRecorder;
use super::thread::Thread;
use super::thread::Tickets;
use super::thread::wall_clock;

/// A running process.
pub struct Node {
    callers: Option<SocketAddr>,
    control: InputSender,
    ended: Receiver<()>,
    operators: Option<SocketAddr>,
    proxy: Arc<Proxy>,
    stop: Sender<()>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Handle to drain, stop or reconfigure a running process.
#[derive(Clone)]
pub struct Handle {
    control: InputSender,
    proxy: Arc<Proxy>,
    stop: Sender<()>,
}

impl Node {
    /// Starts a process. With `is_founding`, a control founds a new quorum of the controls in the
    /// settings, which is done once and on empty data folders.
    ///
    /// # Errors
    /// Fails if an address, a key or the data folder can't be used.
    pub async fn start(settings: Settings, is_founding: bool) -> Result<Self, Error> {
        Self::start_with(settings, is_founding, Arc::new(Network)).await
    }

    /// Starts a process that opens its connections to upstreams with `connector`.
    ///
    /// # Errors
    /// Fails if an address, a key or the data folder can't be used.
    pub async fn start_with(
        settings: Settings,
        is_founding: bool,
        connector: Arc<dyn Connector>,
    ) -> Result<Self, Error> {
        let started = Instant::now();
        let (control, inputs) = InputSender::new();
        let (stop, done) = unbounded::<()>();
        let callers = bind(settings.listen.callers).await?;
        let operators = bind(settings.listen.operators).await?;
        let peers = bind(settings.listen.peers).await?;
        let operator_address = operators.as_ref().map(local_address).transpose()?;
        let mut operation_listeners = Vec::new();
        for address in &settings.listen.orders {
            operation_listeners.extend(bind(Some(*address)).await?);
        }
        let caller_address = callers.as_ref().map(local_address).transpose()?;
        let metrics = Metrics::new(settings.metrics.as_ref())?;
        let recorder = replay::Recorder::open(settings.record.as_ref())?;
        let metrics_listener =
            bind(settings.metrics.as_ref().and_then(|metrics| metrics.listen)).await?;
        let boundary = builder::select_boundary(&settings);
        let proxy = Arc::new(Proxy::new(traffic::Setup {
            boundary: Arc::clone(&boundary),
            connector,
            control: control.clone(),
            done,
            metrics,
            recorder: recorder.clone(),
            settings: settings.clone(),
            started,
        }));
        let journal = Arc::new(open_journal(&settings)?);
        let event = |event: crate::timeline::Event| event.detail("started", "now");
        journal.record(wall_clock(), Kind::ProcessStarted, event);
        let now = started.elapsed();
        let components =
            builder::build(now, &settings, caller_address, is_founding, recorder, boundary)?;
        let Components { config_store, log, state, opener } = components;
        let transport = links::start(&settings, control.clone())?;
        let thread = Thread {
            transport,
            closed_at: None,
            control: control.clone(),
            config_store,
            inputs,
            journal,
            log,
            state,
            opener,
            proxy: Arc::clone(&proxy),
            started,
            tickets: Tickets::default(),
        };
        let (end, ended) = bounded::<()>(1);
        let thread = std::thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                thread.run();
                drop(end);
            })
            .map_err(Error::Thread)?;
        if let Some(listener) = operators {
            let state = operator::State { control: control.clone(), proxy: Arc::clone(&proxy) };
            runtime::spawn(async move {
                if let Err(error) = operator::app(state).listen(listener).await {
                    tracing::error!(target: "hemlockfield::node", "operator API stopped: {error}");
                }
            });
        }
        if let Some(listener) = metrics_listener {
            runtime::spawn(operator::serve_metrics(listener, Arc::clone(&proxy)));
        }
        for listener in operation_listeners {
            runtime::spawn(operator::serve_orders(listener, control.clone(), Arc::clone(&proxy)));
        }
        runtime::spawn(traffic::sweep_connections(Arc::clone(&proxy)));
        if let Some(listener) = callers {
            runtime::spawn(traffic::listen(listener, Arc::clone(&proxy), Source::Caller));
            runtime::spawn(traffic::watch_paths(Arc::clone(&proxy)));
            runtime::spawn(traffic::watch_upstreams(Arc::clone(&proxy)));
            runtime::spawn(traffic::poll_queues(Arc::clone(&proxy)));
            runtime::spawn(traffic::renew_quota(Arc::clone(&proxy)));
        }
        if let Some(listener) = peers {
            runtime::spawn(traffic::listen(listener, Arc::clone(&proxy), Source::Peer));
        }
        Ok(Self {
            callers: caller_address,
            control,
            ended,
            operators: operator_address,
            proxy,
            stop,
            thread: Some(thread),
        })
    }

    /// Address that callers connect to.
    pub fn caller_address(&self) -> Option<SocketAddr> {
        self.callers
    }

    /// Address that operators and announcing upstreams connect to.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Number of the configuration in force.
    pub fn configuration_number(&self) -> Option<ConfigNumber> {
        self.proxy.view.load().number
    }

    /// Submits a configuration. Returns whether it was accepted.
    pub async fn submit(&self, version: Version) -> bool {
        let (sender, receiver) = bounded(1);
        if !self.control.send(Input::Submit(version, sender)).await {
            return false;
        }
        let verdict = receiver.recv().await;
        matches!(verdict, Ok(Verdict::Accepted(_) | Verdict::AlreadyAccepted(_)))
    }

    /// Number of a service's upstreams that are available to this entry.
    pub fn upstream_count(&self, service: &str) -> usize {
        self.proxy.view.load().services.get(service).map_or(0, |found| found.members.len())
    }

    /// Handle to drain, stop or reconfigure this process.
    pub fn handle(&self) -> Handle {
        Handle {
            control: self.control.clone(),
            proxy: Arc::clone(&self.proxy),
            stop: self.stop.clone(),
        }
    }

    /// Starts the period after which no list that callers hold names this entry any more.
    /// Without it, leaving would take until the limit of the settings even on an idle entry.
    fn start_directory_expiry(&self) {
        let mut directory =
            self.proxy.directory.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        directory.leave(self.proxy.now());
    }

    /// Waits until the process has stopped. Returns the number of requests that were cut.
    pub async fn wait(mut self) -> usize {
        let limit = self.proxy.limit();
        self.proxy.drain_requested().await;
        self.start_directory_expiry();
        let left = async_std::future::timeout(limit, self.proxy.drained());
        let ended = self.proxy.done.recv();
        futures::pin_mut!(left, ended);
        futures::future::select(left, ended).await;
        let cut = self.proxy.in_flight.load(Ordering::Acquire);
        if cut > 0 {
            tracing::warn!(target: "hemlockfield::node", cut, "requests in flight were cut");
        }
        self.stop.close();
        self.control.send(Input::Stop).await;
        async_std::future::timeout(Duration::from_secs(2), self.ended.recv()).await.ok();
        if let Some(thread) = self.thread.take()
            && thread.is_finished()
        {
            thread.join().ok();
        }
        cut
    }
}

impl Handle {
    /// Withdraws the process from the callers' lists and stops it once it has drained.
    pub fn drain(&self) {
        if self.control.try_send(Input::Drain).is_err() {
            tracing::warn!(target: "hemlockfield::node", "drain not sent to the control thread");
        }
        self.proxy.request_drain();
    }

    /// Applies the settings that may change while the process runs, which are its seeds.
    pub fn reload(&self, settings: &Settings) {
        if self.control.try_send(Input::Seeds(builder::seed_ids(settings))).is_err() {
            tracing::warn!(target: "hemlockfield::node", "settings not sent to the control thread");
        }
    }

    /// Stops the process at once, without draining.
    pub fn stop_now(&self) {
        self.proxy.request_drain();
        self.stop.close();
    }
}

async fn bind(address: Option<SocketAddr>) -> Result<Option<TcpListener>, Error> {
    let Some(address) = address else { return Ok(None) };
    let bound = TcpListener::bind(address).await;
    bound.map(Some).map_err(|source| Error::Listen { address, source })
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().map_err(|source| Error::Listen { address: unknown, source })
}

fn open_journal(settings: &Settings) -> Result<Journal, Error> {
    let id = settings.node.id.clone();
    let Some(path) = &settings.timeline else {
        return Ok(Journal::new(id, Arc::new(NullRecorder)));
    };
    // If the folder can't be created, opening the file reports the cause.
    path.parent().and_then(|folder| std::fs::create_dir_all(folder).ok());
    let recorder = FileRecorder::open(path)?;
    let last = recorder.last();
    let journal = Journal::new(id, Arc::new(recorder));
    // If the VM's clock was set back, this run's events must not sort before the last run's.
    if let Some(last) = last {
        journal.observe(last, wall_clock());
    }
    Ok(journal)
}
