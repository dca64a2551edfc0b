//! The control thread: carries inputs to the core, and its outputs to disk and network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_std::channel::Sender;

use crate::clock::Epoch;
use crate::clock::Moment;
use crate::config::Version;
use crate::quorum::Record;
use crate::quota;
use crate::runtime;
use crate::storage::Log;
use crate::timeline::Event;
use crate::timeline::Journal;
use crate::timeline::Kind;
use crate::wire::Envelope;
use crate::wire::Verdict;

use super::Controller;
use super::Error;
use super::Inbox;
use super::Input;
use super::Status;
use super::config_store::ConfigStore;
use super::core;
use super::inbox::Outbox;
use super::input::Claimed;
use super::machine::Machine;
use super::probe::probe;
use super::traffic::Observation;
use super::traffic::Proxy;
use super::traffic::Trial;
use super::transport::Transport;

/// Inputs that are taken before the disk is synced once for all of them.
const BATCH: usize = 512;
/// Pause before a failed disk is tried again.
const REOPEN: Duration = Duration::from_secs(1);
/// Longest sleep: a machine that names no time is asked once a second.
const TICK_MAX: Duration = Duration::from_secs(1);
/// Shortest time between two ticks: bounds what ticks cost.
const TICK_MIN: Duration = Duration::from_millis(2);
/// Times that a view's making must be followed by, as rest: at thousands of upstreams one
/// takes milliseconds, and views may cost no more than a fiftieth of a core.
const VIEW_SHARE: u32 = 50;
/// Longest time between two views: a tenth of the 3 s after which an upstream that leaves
/// must get no new work.
const VIEW_MAX: Duration = Duration::from_millis(300);
/// Shortest time between two views: a burst of changes makes one.
const VIEW_MIN: Duration = Duration::from_millis(20);

/// Opens the log again.
pub(super) type Opener = Box<dyn Fn() -> Result<(Controller, Log), Error> + Send>;

/// State of the control thread.
pub(super) struct Thread {
    pub(super) transport: Box<dyn Transport>,
    /// For what asks an upstream on this thread's behalf.
    pub(super) closed_at: Option<Moment>,
    pub(super) control: Inbox,
    pub(super) config_store: Option<ConfigStore>,
    pub(super) inbox: Outbox,
    pub(super) journal: Arc<Journal>,
    pub(super) log: Option<Log>,
    pub(super) machine: Box<dyn Machine>,
    pub(super) opener: Option<Opener>,
    pub(super) proxy: Arc<Proxy>,
    pub(super) started: Instant,
    pub(super) tickets: Tickets,
}

/// Who waits for an answer, by ticket.
#[derive(Default)]
pub(super) struct Tickets {
    announced: BTreeMap<u64, Sender<Result<(), String>>>,
    changed: BTreeMap<u64, Sender<Result<u64, String>>>,
    claimed: BTreeMap<u64, Sender<Claimed>>,
    granted: BTreeMap<u64, Sender<quota::Grant>>,
    next: u64,
    read: BTreeMap<u64, Sender<Option<Option<Version>>>>,
    verdicts: BTreeMap<u64, Sender<Verdict>>,
}

impl Thread {
    /// Works until the process ends.
    pub(super) fn run(mut self) {
        let mut tick_at = Moment::ZERO;
        let mut view_at = Moment::ZERO;
        loop {
            let wait = tick_at.saturating_sub(self.now()).max(Duration::from_micros(100));
            let mut batch = Batch::default();
            match self.inbox.receive(wait) {
                Ok(Some(input)) => {
                    if self.take_all(input, &mut batch) {
                        self.flush(batch);
                        return;
                    }
                }
                Ok(None) => (),
                Err(()) => return,
            }
            self.take_observations(&mut batch);
            let now = self.now();
            if now >= tick_at {
                self.step(core::Input::Tick, &mut batch);
            }
            self.flush(batch);
            self.reopen(now);
            tick_at = self.machine.wake(now).clamp(now + TICK_MIN, now + TICK_MAX);
            if now >= view_at {
                let cost = self.publish(now);
                view_at = now + (cost * VIEW_SHARE).clamp(VIEW_MIN, VIEW_MAX);
            } else {
                tick_at = tick_at.min(view_at);
            }
        }
    }

    /// Takes what has come, up to a batch; whether the process ends.
    fn take_all(&mut self, first: Input, batch: &mut Batch) -> bool {
        let mut next = Some(first);
        let mut count = 0;
        while let Some(input) = next {
            let stops = matches!(input, Input::Stop);
            self.take(input, batch);
            if stops {
                return true;
            }
            count += 1;
            next = if count < BATCH { self.inbox.try_receive() } else { None };
        }
        false
    }

    fn take_observations(&mut self, batch: &mut Batch) {
        let (arrivals, bytes) = self.proxy.take_carried();
        if arrivals > 0 || bytes > 0 {
            self.step(core::Input::Carried(arrivals, bytes), batch);
        }
        for Observation { kind, latency, service, trial, upstream } in
            self.proxy.take_observations()
        {
            let input = match trial {
                Some(Trial { is_repeatable }) => {
                    core::Input::Tried { is_repeatable, kind, latency, service, upstream }
                }
                None => core::Input::Outcome(service, upstream, kind, latency),
            };
            self.step(input, batch);
        }
    }

    /// Takes up the log again that was given up when the disk failed.
    fn reopen(&mut self, now: Moment) {
        let due = self.closed_at.is_some_and(|at| now >= at + REOPEN);
        let Some(opener) = self.opener.as_ref().filter(|_| due) else { return };
        match opener() {
            Ok((controller, log)) => {
                tracing::info!(target: "hemlockfield::storage", "the disk is back");
                self.closed_at = None;
                self.log = Some(log);
                self.machine.open_controller(controller);
            }
            Err(error) => {
                tracing::warn!(target: "hemlockfield::storage", "the disk is not back: {error}");
                self.closed_at = Some(now);
            }
        }
    }

    fn take(&mut self, input: Input, batch: &mut Batch) {
        let input = match input {
            Input::Announce(announcement, sender) => {
                let ticket = self.tickets.next();
                self.tickets.announced.insert(ticket, sender);
                core::Input::Announce(ticket, announcement)
            }
            Input::Change(change, sender) => {
                let ticket = self.tickets.next();
                self.tickets.changed.insert(ticket, sender);
                core::Input::Change(ticket, change)
            }
            Input::Claim(ticket, request, budget, sender) => {
                self.tickets.claimed.insert(ticket, sender);
                core::Input::Claim(ticket, request, self.now() + budget)
            }
            Input::ClaimEnd(ticket, outcome) => core::Input::ClaimEnd(ticket, outcome),
            Input::Catalog(action, sender) => {
                let ticket = self.tickets.next();
                self.tickets.announced.insert(ticket, sender);
                core::Input::Catalog(ticket, action)
            }
            Input::Drain => core::Input::Drain,
            Input::Frame(from, bytes) => match Envelope::decode(&bytes) {
                Ok(envelope) => {
                    self.journal.observe(envelope.stamp, wall());
                    core::Input::Frame(from, envelope.frame)
                }
                Err(error) => {
                    tracing::warn!(target: "hemlockfield::link", peer = %from, "{error}");
                    return;
                }
            },
            Input::Overdue(service, upstream, ages) => {
                core::Input::Overdue(service, upstream, ages)
            }
            Input::Probed { draining, healthy, service, upstream } => {
                core::Input::Probed(service, upstream, draining, healthy)
            }
            Input::Quota(ask, sender) => {
                let ticket = self.tickets.next();
                self.tickets.granted.retain(|_, sender| !sender.is_closed());
                self.tickets.granted.insert(ticket, sender);
                core::Input::Quota(ticket, ask)
            }
            Input::Read(sender) => {
                let ticket = self.tickets.next();
                self.tickets.read.insert(ticket, sender);
                core::Input::Read(ticket)
            }
            Input::Seeds(seeds) => core::Input::Seeds(seeds),
            Input::Wake => return,
            Input::Status(sender) => {
                // What operators read as in force is so for callers too.
                self.publish(self.now());
                sender.try_send(self.status()).ok();
                return;
            }
            Input::Stop => core::Input::Stop,
            Input::Submit(version, sender) => {
                let ticket = self.tickets.next();
                self.tickets.verdicts.insert(ticket, sender);
                core::Input::Submit(ticket, version)
            }
        };
        self.step(input, batch);
    }

    fn step(&mut self, input: core::Input, batch: &mut Batch) {
        let now = self.now();
        let outputs = self.machine.handle(now, wall(), input);
        for output in outputs {
            self.carry_out(output, batch);
        }
    }

    fn carry_out(&mut self, output: core::Output, batch: &mut Batch) {
        match output {
            core::Output::Announced(ticket, result) => {
                answer(self.tickets.announced.remove(&ticket), result);
            }
            core::Output::Apply(version) => {
                if let Some(config_store) = &mut self.config_store {
                    config_store.save(&version);
                }
            }
            core::Output::Changed(ticket, result) => {
                answer(self.tickets.changed.remove(&ticket), result);
            }
            core::Output::Claimed(ticket, claimed) => {
                answer(self.tickets.claimed.remove(&ticket), claimed);
            }
            core::Output::Event(event) => self.record(event),
            core::Output::Granted(ticket, grant) => {
                answer(self.tickets.granted.remove(&ticket), grant);
            }
            core::Output::Persist(number, records) => batch.persist(number, records),
            core::Output::Probe { address, path, service, upstream } => {
                let control = self.control.clone();
                runtime::spawn(probe(control, address, path, service, upstream));
            }
            core::Output::Read(ticket, version) => {
                answer(self.tickets.read.remove(&ticket), version);
            }
            core::Output::Send(to, address, frame) => {
                let stamp = self.journal.stamp(wall());
                match (Envelope { frame, stamp }).encode() {
                    Ok(bytes) => self.transport.send(&to, address, bytes),
                    Err(error) => tracing::error!(target: "hemlockfield::link", "{error}"),
                }
            }
            core::Output::Verdict(ticket, verdict) => {
                answer(self.tickets.verdicts.remove(&ticket), verdict);
            }
        }
    }

    /// Syncs what the batch wants on disk, and goes on with what that allows.
    fn flush(&mut self, mut batch: Batch) {
        while let Some(number) = batch.number.take() {
            let records = std::mem::take(&mut batch.records);
            let Some(log) = &mut self.log else { return };
            log.append(&records);
            if let Err(error) = log.sync() {
                self.lose_disk(&error);
                return;
            }
            self.step(core::Input::Synced(number), &mut batch);
        }
    }

    /// Stops control's part: what a failed sync has kept, nobody can tell, so that
    /// nothing may be voted or acknowledged on it. Callers are still served.
    fn lose_disk(&mut self, error: &crate::storage::Error) {
        tracing::error!(target: "hemlockfield::storage", "control stops here: {error}");
        self.log = None;
        self.closed_at = Some(self.now());
        self.machine.close_controller(error.to_string());
    }

    fn record(&self, event: Event) {
        log_event(&event);
        if let Some(by) = event.detail.get("by") {
            self.proxy.metrics.count(&format!("{}.{by}", event.kind.name()));
        }
        let Event { vm: _, kind, .. } = event.clone();
        self.journal.record(wall(), kind, |stamped| Event { stamp: stamped.stamp, ..event });
    }

    /// Gives the traffic threads a new view where something has changed; tells what the
    /// making of it took.
    fn publish(&mut self, now: Moment) -> Duration {
        if let Some(view) = self.machine.view(now, &self.proxy.view.load()) {
            self.proxy.set_view(view);
        }
        let cost = self.now().saturating_sub(now);
        self.proxy.open_claims.store(self.machine.open_claims(), Ordering::Release);
        self.transport.set_neighbours(&self.machine.neighbours());
        cost
    }

    fn status(&self) -> Status {
        Status::of(self.machine.report(self.now()), &self.proxy, self.transport.as_ref())
    }

    fn now(&self) -> Moment {
        self.started.elapsed()
    }
}

impl Tickets {
    fn next(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

#[derive(Default)]
struct Batch {
    number: Option<u64>,
    records: Vec<Record>,
}

impl Batch {
    fn persist(&mut self, number: u64, records: Vec<Record>) {
        self.number = Some(number);
        self.records.extend(records);
    }
}

/// Time since the Unix epoch, by this VM's clock.
pub(super) fn wall() -> Epoch {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn answer<T>(sender: Option<Sender<T>>, value: T) {
    if let Some(sender) = sender {
        sender.try_send(value).ok();
    }
}

fn log_event(event: &Event) {
    let kind = event.kind.name();
    let upstream = event.upstream.as_deref().unwrap_or_default();
    let peer = event.peer.as_deref().unwrap_or_default();
    let service = event.service.as_deref().unwrap_or_default();
    let detail = format!("{:?}", event.detail);
    match event.kind {
        Kind::Ejected | Kind::MemberFailed => {
            tracing::warn!(
                target: "hemlockfield::node",
                kind, service, upstream, peer, detail, "event"
            );
        }
        _ => tracing::info!(
            target: "hemlockfield::node",
            kind, service, upstream, peer, detail, "event"
        ),
    }
}
