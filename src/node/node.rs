use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::channel::unbounded;
use async_std::net::TcpListener;
use async_std::task;

use crate::config::Version;
use crate::directory::Directory;
use crate::fleet;
use crate::id::ConfigNumber;
use crate::id::NodeId;
use crate::quorum;
use crate::quorum::Membership;
use crate::replay;
use crate::settings::Role;
use crate::settings::Settings;
use crate::storage::Folder;
use crate::storage::Log;
use crate::timeline::FileRecorder;
use crate::timeline::Journal;
use crate::timeline::Kind;
use crate::timeline::Recorder;
use crate::wire::Verdict;

use super::Core;
use super::Error;
use super::Input;
use super::Office;
use super::core::Setup;
use super::held::Held;
use super::links;
use super::metrics::Metrics;
use super::nowhere::Nowhere;
use super::operators;
use super::operators::Operators;
use super::thread::Thread;
use super::thread::Tickets;
use super::thread::wall;
use super::traffic;
use super::traffic::Shared;

/// Inputs that may wait for the control thread: a quarter of a second of 40,000 outcomes
/// a second.
const INBOX: usize = 10_000;

/// A running process.
pub struct Node {
    callers: Option<SocketAddr>,
    control: Sender<Input>,
    ended: Receiver<()>,
    operators: SocketAddr,
    shared: Arc<Shared>,
    stop: Sender<()>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Makes a running process leave.
#[derive(Clone)]
pub struct Leaving {
    control: Sender<Input>,
    shared: Arc<Shared>,
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
        let (control, inbox) = bounded(INBOX);
        let (stop, done) = unbounded::<()>();
        let callers = bind(settings.listen.callers).await?;
        let operators = bind(Some(settings.listen.operators)).await?;
        let operators = operators.ok_or_else(|| unbound(settings.listen.operators))?;
        let operators_at = address_of(&operators)?;
        let callers_at = callers.as_ref().map(address_of).transpose()?;
        let directory = Directory::new(settings.node.region.clone(), settings.directory.lifetime);
        let metrics = Metrics::new(settings.metrics.as_ref().map(|metrics| metrics.statsd))?;
        let recorder = replay::Recorder::open(settings.record.as_ref())?;
        let shared = Arc::new(Shared::new(
            settings.clone(),
            started,
            control.clone(),
            done,
            directory,
            metrics,
            recorder.clone(),
        ));
        let journal = Arc::new(journal(&settings)?);
        let event = |event: crate::timeline::Event| event.detail("started", "now");
        journal.record(wall(), Kind::ProcessStarted, event);
        let me = me(&settings, callers_at);
        let (held, kept) = held(&settings)?;
        let (office, log) = office(&settings, found)?;
        let core = Core::new(
            started.elapsed(),
            Setup {
                controls: controls(&settings),
                kept,
                me,
                office,
                recorder,
                seeds: seeds(&settings),
                seed: rand::random(),
            },
        );
        let carrier = links::start(&settings, control.clone())?;
        let thread = Thread {
            carrier,
            control: control.clone(),
            core,
            held,
            inbox,
            journal,
            log,
            shared: Arc::clone(&shared),
            started,
            tickets: Tickets::default(),
        };
        let (end, ended) = bounded::<()>(1);
        let thread = std::thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                task::block_on(thread.run());
                drop(end);
            })
            .map_err(Error::Thread)?;
        let state = Operators { control: control.clone(), shared: Arc::clone(&shared) };
        task::spawn(async move {
            if let Err(error) = operators::app(state).listen(operators).await {
                tracing::error!(target: "hemlockfield::node", "operators' side ended: {error}");
            }
        });
        if let Some(listener) = callers {
            task::spawn(traffic::listen(listener, Arc::clone(&shared)));
        }
        task::spawn(traffic::tick(Arc::clone(&shared)));
        Ok(Self {
            callers: callers_at,
            control,
            ended,
            operators: operators_at,
            shared,
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
        self.operators
    }

    /// Number of the configuration in force here.
    pub fn configuration(&self) -> Option<ConfigNumber> {
        self.shared.view.load().number
    }

    /// Submits a configuration; tells whether it was accepted.
    pub async fn submit(&self, version: Version) -> bool {
        let (sender, receiver) = bounded(1);
        if self.control.send(Input::Submit(version, sender)).await.is_err() {
            return false;
        }
        let verdict = receiver.recv().await;
        matches!(verdict, Ok(Verdict::Accepted(_) | Verdict::AlreadyAccepted(_)))
    }

    /// Upstreams of a service that get new work from here.
    pub fn upstreams(&self, service: &str) -> usize {
        self.shared.view.load().services.get(service).map_or(0, |found| found.members.len())
    }

    /// What makes this process leave.
    pub fn leaving(&self) -> Leaving {
        Leaving {
            control: self.control.clone(),
            shared: Arc::clone(&self.shared),
            stop: self.stop.clone(),
        }
    }

    /// Starts the time after which no list that callers were given names this entry.
    /// Without it, leaving would end at the settings' limit only, however idle the entry.
    fn leave(&self) {
        let mut directory =
            self.shared.directory.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        directory.leave(self.shared.now());
    }

    /// Waits until the process has left; gives the requests that were cut.
    pub async fn stopped(mut self) -> usize {
        let limit = self.shared.limit();
        self.shared.drain_requested().await;
        self.leave();
        let left = async_std::future::timeout(limit, self.shared.drained());
        let ended = self.shared.done.recv();
        futures::pin_mut!(left, ended);
        futures::future::select(left, ended).await;
        let cut = self.shared.in_flight.load(Ordering::Acquire);
        if cut > 0 {
            tracing::warn!(target: "hemlockfield::node", cut, "requests in flight are cut");
        }
        self.stop.close();
        self.control.send(Input::Stop).await.ok();
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
        self.control.try_send(Input::Drain).ok();
        self.shared.request_drain();
    }

    /// Ends at once.
    pub fn end_now(&self) {
        self.shared.request_drain();
        self.stop.close();
    }
}

async fn bind(address: Option<SocketAddr>) -> Result<Option<TcpListener>, Error> {
    let Some(address) = address else { return Ok(None) };
    let bound = TcpListener::bind(address).await;
    bound.map(Some).map_err(|source| Error::Listen { address, source })
}

fn unbound(address: SocketAddr) -> Error {
    Error::Listen { address, source: std::io::ErrorKind::AddrNotAvailable.into() }
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr, Error> {
    let none = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().map_err(|source| Error::Listen { address: none, source })
}

fn journal(settings: &Settings) -> Result<Journal, Error> {
    let recorder: Arc<dyn Recorder> = match &settings.timeline {
        Some(path) => {
            // Opening the file says what is wrong where the folder can't be made.
            path.parent().and_then(|folder| std::fs::create_dir_all(folder).ok());
            Arc::new(FileRecorder::open(path)?)
        }
        None => Arc::new(Nowhere),
    };
    Ok(Journal::new(settings.node.id.clone(), recorder))
}

fn me(settings: &Settings, callers: Option<SocketAddr>) -> fleet::Record {
    let roles: BTreeSet<fleet::Role> = settings.roles.iter().map(role).collect();
    fleet::Record {
        id: settings.node.id.clone(),
        incarnation: super::incarnation(),
        meta: fleet::Meta {
            callers: callers.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0))),
            config: 0,
            domain: settings.node.failure_domain.clone(),
            links: settings.listen.links,
            region: settings.node.region.clone(),
            roles,
            state: fleet::State::Starting,
        },
    }
}

fn role(role: &Role) -> fleet::Role {
    match role {
        Role::Control => fleet::Role::Control,
        Role::Entry => fleet::Role::Entry,
    }
}

fn controls(settings: &Settings) -> Vec<NodeId> {
    let own = settings.has(Role::Control).then(|| settings.node.id.clone());
    let peers = settings.peers.iter().filter(|peer| peer.roles.contains(&Role::Control));
    own.into_iter().chain(peers.map(|peer| peer.id.clone())).collect()
}

fn seeds(settings: &Settings) -> Vec<fleet::Seed> {
    let seed =
        |peer: &crate::settings::Peer| fleet::Seed { address: peer.links, id: peer.id.clone() };
    settings.peers.iter().map(seed).collect()
}

fn held(settings: &Settings) -> Result<(Option<Held>, Option<crate::config::Version>), Error> {
    let Some(data) = &settings.data else { return Ok((None, None)) };
    let (held, kept) = Held::open(&data.join("held"))?;
    Ok((Some(held), kept))
}

fn office(settings: &Settings, found: bool) -> Result<(Option<Office>, Option<Log>), Error> {
    let Some(data) = settings.data.as_deref().filter(|_| settings.has(Role::Control)) else {
        return Ok((None, None));
    };
    let folder = data.join("log");
    let (log, recovered) = open(&folder)?;
    let mut setup = quorum::Setup::new(settings.node.id.clone());
    if found {
        if recovered.identity.is_some() {
            return Err(Error::Founded(folder));
        }
        setup.founders = Some(Membership::founding(controls(settings)));
    }
    Ok((Some(Office::new(setup, recovered, rand::random())), Some(log)))
}

fn open(folder: &Path) -> Result<(Log, quorum::Recovered), Error> {
    let disk = Folder::open(folder)?;
    Ok(Log::open(Box::new(disk))?)
}
