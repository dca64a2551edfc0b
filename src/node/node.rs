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
use crate::id::ConfigNumber;
use crate::replay;
use crate::runtime;
use crate::settings::Settings;
use crate::timeline::FileRecorder;
use crate::timeline::Journal;
use crate::timeline::Kind;
use crate::wire::Verdict;

use super::Error;
use super::Inbox;
use super::Input;
use super::links;
use super::make;
use super::make::Parts;
use super::metrics::Metrics;
use super::metrics_door;
use super::null_recorder::NullRecorder;
use super::operators;
use super::operators::Operators;
use super::orders;
use super::thread::Thread;
use super::thread::Tickets;
use super::thread::wall;
use super::traffic;
use super::traffic::Proxy;

/// A running process.
pub struct Node {
    callers: Option<SocketAddr>,
    control: Inbox,
    ended: Receiver<()>,
    operators: Option<SocketAddr>,
    proxy: Arc<Proxy>,
    stop: Sender<()>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Makes a running process leave.
#[derive(Clone)]
pub struct Leaving {
    control: Inbox,
    proxy: Arc<Proxy>,
    stop: Sender<()>,
}

impl Node {
    /// Starts a process. `found` makes the first membership of a new fleet's controls out
    /// of those in the settings; it is done once, on empty folders.
    ///
    /// # Errors
    /// When an address, a key or the data folder can't be used.
    pub async fn start(settings: Settings, found: bool) -> Result<Self, Error> {
        let started = Instant::now();
        let (control, inbox) = Inbox::new();
        let (stop, done) = unbounded::<()>();
        let callers = bind(settings.listen.callers).await?;
        let operators = bind(settings.listen.operators).await?;
        let operators_at = operators.as_ref().map(address_of).transpose()?;
        let mut order_listeners = Vec::new();
        for address in &settings.listen.orders {
            order_listeners.extend(bind(Some(*address)).await?);
        }
        let callers_at = callers.as_ref().map(address_of).transpose()?;
        let metrics = Metrics::new(settings.metrics.as_ref())?;
        let recorder = replay::Recorder::open(settings.record.as_ref())?;
        let measured = bind(settings.metrics.as_ref().and_then(|metrics| metrics.listen)).await?;
        let boundary = make::boundary(&settings);
        let proxy = Arc::new(Proxy::new(
            settings.clone(),
            started,
            Arc::clone(&boundary),
            control.clone(),
            done,
            metrics,
            recorder.clone(),
        ));
        let journal = Arc::new(journal(&settings)?);
        let event = |event: crate::timeline::Event| event.detail("started", "now");
        journal.record(wall(), Kind::ProcessStarted, event);
        let now = started.elapsed();
        let parts = make::parts(now, &settings, callers_at, found, recorder, boundary)?;
        let Parts { config_store, log, machine, opener } = parts;
        let transport = links::start(&settings, control.clone())?;
        let thread = Thread {
            transport,
            closed_at: None,
            control: control.clone(),
            config_store,
            inbox,
            journal,
            log,
            machine,
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
            let state = Operators { control: control.clone(), proxy: Arc::clone(&proxy) };
            runtime::spawn(async move {
                if let Err(error) = operators::app(state).listen(listener).await {
                    tracing::error!(target: "hemlockfield::node", "operators' side ended: {error}");
                }
            });
        }
        if let Some(listener) = measured {
            runtime::spawn(metrics_door::serve(listener, Arc::clone(&proxy)));
        }
        for listener in order_listeners {
            runtime::spawn(orders::serve(listener, control.clone(), Arc::clone(&proxy)));
        }
        if let Some(listener) = callers {
            runtime::spawn(traffic::listen(listener, Arc::clone(&proxy)));
            runtime::spawn(traffic::poll_queues(Arc::clone(&proxy)));
            runtime::spawn(traffic::renew_quota(Arc::clone(&proxy)));
        }
        Ok(Self {
            callers: callers_at,
            control,
            ended,
            operators: operators_at,
            proxy,
            stop,
            thread: Some(thread),
        })
    }

    /// Where callers connect.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.callers
    }

    /// Where operators and announcing upstreams connect.
    pub fn operators(&self) -> SocketAddr {
        self.operators.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Number of the configuration in force here.
    pub fn configuration(&self) -> Option<ConfigNumber> {
        self.proxy.view.load().number
    }

    /// Submits a configuration; tells whether it was accepted.
    pub async fn submit(&self, version: Version) -> bool {
        let (sender, receiver) = bounded(1);
        if !self.control.send(Input::Submit(version, sender)).await {
            return false;
        }
        let verdict = receiver.recv().await;
        matches!(verdict, Ok(Verdict::Accepted(_) | Verdict::AlreadyAccepted(_)))
    }

    /// Upstreams of a service that get new work from here.
    pub fn upstreams(&self, service: &str) -> usize {
        self.proxy.view.load().services.get(service).map_or(0, |found| found.members.len())
    }

    /// What makes this process leave.
    pub fn leaving(&self) -> Leaving {
        Leaving {
            control: self.control.clone(),
            proxy: Arc::clone(&self.proxy),
            stop: self.stop.clone(),
        }
    }

    /// Starts the time after which no list that callers were given names this entry.
    /// Without it, leaving would end at the settings' limit only, however idle the entry.
    fn leave(&self) {
        let mut directory =
            self.proxy.directory.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        directory.leave(self.proxy.now());
    }

    /// Waits until the process has left; gives the requests that were cut.
    pub async fn stopped(mut self) -> usize {
        let limit = self.proxy.limit();
        self.proxy.drain_requested().await;
        self.leave();
        let left = async_std::future::timeout(limit, self.proxy.drained());
        let ended = self.proxy.done.recv();
        futures::pin_mut!(left, ended);
        futures::future::select(left, ended).await;
        let cut = self.proxy.in_flight.load(Ordering::Acquire);
        if cut > 0 {
            tracing::warn!(target: "hemlockfield::node", cut, "requests in flight are cut");
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

impl Leaving {
    /// Leaves the callers' lists, then ends when nothing needs this process any more.
    pub fn drain(&self) {
        if self.control.try_send(Input::Drain).is_err() {
            tracing::warn!(target: "hemlockfield::node", "control is not told of the leaving");
        }
        self.proxy.request_drain();
    }

    /// Takes over what settings may change while the process runs: its seeds.
    pub fn reload(&self, settings: &Settings) {
        if self.control.try_send(Input::Seeds(make::seed_ids(settings))).is_err() {
            tracing::warn!(target: "hemlockfield::node", "control is not told of the settings");
        }
    }

    /// Ends at once.
    pub fn end_now(&self) {
        self.proxy.request_drain();
        self.stop.close();
    }
}

async fn bind(address: Option<SocketAddr>) -> Result<Option<TcpListener>, Error> {
    let Some(address) = address else { return Ok(None) };
    let bound = TcpListener::bind(address).await;
    bound.map(Some).map_err(|source| Error::Listen { address, source })
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr, Error> {
    let none = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().map_err(|source| Error::Listen { address: none, source })
}

fn journal(settings: &Settings) -> Result<Journal, Error> {
    let id = settings.node.id.clone();
    let Some(path) = &settings.timeline else {
        return Ok(Journal::new(id, Arc::new(NullRecorder)));
    };
    // Opening the file says what is wrong where the folder can't be made.
    path.parent().and_then(|folder| std::fs::create_dir_all(folder).ok());
    let recorder = FileRecorder::open(path)?;
    let last = recorder.last();
    let journal = Journal::new(id, Arc::new(recorder));
    // A VM's clock that was set back over a restart must not put this run before the last.
    if let Some(last) = last {
        journal.observe(last, wall());
    }
    Ok(journal)
}
