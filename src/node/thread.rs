//! The control thread: feeds inputs to the control state and carries out its outputs.

mod batch;
mod event_log;

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
use crate::controller::Controller;
use crate::health::Observation;
use crate::link::Transport;
use crate::quota;
use crate::runtime;
use crate::storage::Log;
use crate::timeline::Event;
use crate::timeline::Journal;
use crate::timeline::Kind;
use crate::traffic::Proxy;
use crate::wire::Envelope;
use crate::wire::Frame;
use crate::wire::Verdict;

use self::batch::Batch;
use self::event_log::log_event;
use super::Error;
use super::Input;
use super::InputSender;
use super::Status;
use super::config_store::ConfigStore;
use super::core;
use super::input::ClaimDecision;
use super::input_channel::InputReceiver;
use super::probe::probe;
use super::state_machine::StateMachine;

/// Most inputs handled before one sync of the disk for all of them.
const MAX_BATCH: usize = 512;
/// Delay before a log closed by a disk failure is opened again.
const REOPEN_DELAY: Duration = Duration::from_secs(1);
/// Longest time between two ticks, in case the control state schedules none.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two ticks, which limits their CPU cost.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);
/// Pause after building a view, as a multiple of the time it took. With thousands of
/// upstreams a view takes milliseconds; views may use at most a fiftieth of a CPU core.
const VIEW_PAUSE_FACTOR: u32 = 50;
/// Longest time between two views: a tenth of the 3 s within which a draining upstream
/// must stop getting new requests.
const MAX_VIEW_PAUSE: Duration = Duration::from_millis(300);
/// Shortest time between two views, so that a burst of changes is published once.
const MIN_VIEW_PAUSE: Duration = Duration::from_millis(20);

/// A step that takes this long is counted. Nothing else is handled meanwhile, and on a tenth of a
/// core it takes ten times as long.
const SLOW_STEP: Duration = Duration::from_millis(5);

/// Reopens the log after a disk failure.
pub(super) type Opener = Box<dyn Fn() -> Result<(Controller, Log), Error> + Send>;

/// State of the control thread.
pub(super) struct Thread {
    pub(super) transport: Box<dyn Transport>,
    /// Time at which a disk failure closed the log.
    pub(super) closed_at: Option<Moment>,
    /// Returns the results of probes to this thread.
    pub(super) control: InputSender,
    pub(super) config_store: Option<ConfigStore>,
    pub(super) inputs: InputReceiver,
    pub(super) journal: Arc<Journal>,
    pub(super) log: Option<Log>,
    pub(super) state: Box<dyn StateMachine>,
    pub(super) opener: Option<Opener>,
    pub(super) proxy: Arc<Proxy>,
    pub(super) started: Instant,
    pub(super) tickets: Tickets,
}

/// Senders that wait for an answer, by ticket.
#[derive(Default)]
pub(super) struct Tickets {
    announcements: BTreeMap<u64, Sender<Result<(), String>>>,
    changes: BTreeMap<u64, Sender<Result<u64, String>>>,
    claims: BTreeMap<u64, Sender<ClaimDecision>>,
    grants: BTreeMap<u64, Sender<quota::Grant>>,
    next: u64,
    reads: BTreeMap<u64, Sender<Option<Option<Version>>>>,
    submissions: BTreeMap<u64, Sender<Verdict>>,
}

impl Thread {
    /// Runs until the process stops.
    pub(super) fn run(mut self) {
        let mut tick_at = Moment::ZERO;
        let mut view_at = Moment::ZERO;
        loop {
            let wait = tick_at.saturating_sub(self.now()).max(Duration::from_micros(100));
            let mut batch = Batch::default();
            match self.inputs.receive(wait) {
                Ok(Some(input)) => {
                    if self.handle_all(input, &mut batch) {
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
            tick_at =
                self.state.next_at(now).clamp(now + MIN_TICK_INTERVAL, now + MAX_TICK_INTERVAL);
            if now >= view_at {
                let cost = self.publish(now);
                view_at = now + (cost * VIEW_PAUSE_FACTOR).clamp(MIN_VIEW_PAUSE, MAX_VIEW_PAUSE);
            } else {
                tick_at = tick_at.min(view_at);
            }
        }
    }

    /// Handles the waiting inputs, up to a batch. Returns whether the process stops.
    fn handle_all(&mut self, first: Input, batch: &mut Batch) -> bool {
        let mut next = Some(first);
        let mut count = 0;
        while let Some(input) = next {
            let stops = matches!(input, Input::Stop);
            self.handle(input, batch);
            if stops {
                return true;
            }
            count += 1;
            next = if count < MAX_BATCH { self.inputs.try_receive() } else { None };
        }
        false
    }

    fn take_observations(&mut self, batch: &mut Batch) {
        let (arrivals, bytes) = self.proxy.take_throughput();
        if arrivals > 0 || bytes > 0 {
            self.step(core::Input::Throughput(arrivals, bytes), batch);
        }
        for Observation { is_trial, kind, latency, service, upstream } in
            self.proxy.take_observations()
        {
            let input = match is_trial {
                true => core::Input::TrialOutcome(service, upstream, kind, latency),
                false => core::Input::Outcome(service, upstream, kind, latency),
            };
            self.step(input, batch);
        }
    }

    /// Reopens the log some time after a disk failure closed it.
    fn reopen(&mut self, now: Moment) {
        let due = self.closed_at.is_some_and(|at| now >= at + REOPEN_DELAY);
        let Some(opener) = self.opener.as_ref().filter(|_| due) else { return };
        match opener() {
            Ok((controller, log)) => {
                tracing::info!(target: "hemlockfield::storage", "log reopened");
                self.closed_at = None;
                self.log = Some(log);
                self.state.open_controller(controller);
            }
            Err(error) => {
                tracing::warn!(target: "hemlockfield::storage", "log can't be reopened: {error}");
                self.closed_at = Some(now);
            }
        }
    }

    fn handle(&mut self, input: Input, batch: &mut Batch) {
        let input = match input {
            Input::Announce(announcement, sender) => {
                let ticket = self.tickets.next();
                self.tickets.announcements.insert(ticket, sender);
                core::Input::Announce(ticket, announcement)
            }
            Input::ChangeMembers(change, sender) => {
                let ticket = self.tickets.next();
                self.tickets.changes.insert(ticket, sender);
                core::Input::ChangeMembers(ticket, change)
            }
            Input::Claim(ticket, request, budget, sender) => {
                self.tickets.claims.insert(ticket, sender);
                core::Input::Claim(ticket, request, self.now() + budget)
            }
            Input::ClaimEnd(ticket, outcome) => core::Input::ClaimEnd(ticket, outcome),
            Input::Catalog(action, sender) => {
                let ticket = self.tickets.next();
                self.tickets.announcements.insert(ticket, sender);
                core::Input::Catalog(ticket, action)
            }
            Input::Drain => core::Input::Drain,
            Input::Frame(from, bytes) => match Envelope::decode(&bytes) {
                Ok(envelope) => {
                    self.journal.observe(envelope.stamp, wall_clock());
                    self.count_received(&envelope.frame, bytes.len());
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
                self.tickets.grants.retain(|_, sender| !sender.is_closed());
                self.tickets.grants.insert(ticket, sender);
                core::Input::Quota(ticket, ask)
            }
            Input::Poison(evidence) => core::Input::Poison(evidence),
            Input::Reach(verdicts) => core::Input::Reach(verdicts),
            Input::ReadConfiguration(sender) => {
                let ticket = self.tickets.next();
                self.tickets.reads.insert(ticket, sender);
                core::Input::ReadConfiguration(ticket)
            }
            Input::Seeds(seeds) => core::Input::Seeds(seeds),
            Input::TrialBegan(service, upstream) => core::Input::TrialBegan(service, upstream),
            Input::Wake => return,
            Input::Status(sender) => {
                // The status must not be newer than the view that callers are served by.
                self.publish(self.now());
                sender.try_send(self.status()).ok();
                return;
            }
            Input::Stop => core::Input::Stop,
            Input::UpstreamLimit(upstream, limit) => core::Input::UpstreamLimit(upstream, limit),
            Input::Submit(version, sender) => {
                let ticket = self.tickets.next();
                self.tickets.submissions.insert(ticket, sender);
                core::Input::Submit(ticket, version)
            }
        };
        self.step(input, batch);
    }

    fn step(&mut self, input: core::Input, batch: &mut Batch) {
        let now = self.now();
        let outputs = self.state.handle(now, wall_clock(), input);
        let spent = self.now().saturating_sub(now);
        if spent >= SLOW_STEP {
            self.proxy.metrics.time("control.slow_step", spent);
        }
        for output in outputs {
            self.carry_out(output, batch);
        }
    }

    fn carry_out(&mut self, output: core::Output, batch: &mut Batch) {
        match output {
            core::Output::Announced(ticket, result) => {
                answer(self.tickets.announcements.remove(&ticket), result);
            }
            core::Output::Apply(version) => {
                if let Some(config_store) = &mut self.config_store {
                    config_store.save(&version);
                }
            }
            core::Output::MembersChanged(ticket, result) => {
                answer(self.tickets.changes.remove(&ticket), result);
            }
            core::Output::ClaimDecision(ticket, claimed) => {
                answer(self.tickets.claims.remove(&ticket), claimed);
            }
            core::Output::Event(event) => self.record(event),
            core::Output::QuotaGranted(ticket, grant) => {
                answer(self.tickets.grants.remove(&ticket), grant);
            }
            core::Output::Persist(number, records) => batch.persist(number, records),
            core::Output::Probe { address, path, service, upstream } => {
                let control = self.control.clone();
                runtime::spawn(probe(control, address, path, service, upstream));
            }
            core::Output::Configuration(ticket, version) => {
                answer(self.tickets.reads.remove(&ticket), version);
            }
            core::Output::Send(to, address, frame) => {
                let stamp = self.journal.stamp(wall_clock());
                match (Envelope { frame, stamp }).encode() {
                    Ok(bytes) => self.transport.send(&to, address, bytes),
                    Err(error) => tracing::error!(target: "hemlockfield::link", "{error}"),
                }
            }
            core::Output::Verdict(ticket, verdict) => {
                answer(self.tickets.submissions.remove(&ticket), verdict);
            }
        }
    }

    /// Writes and syncs the records of the batch, then handles the syncs as inputs.
    fn flush(&mut self, mut batch: Batch) {
        while let Some(number) = batch.number.take() {
            let records = std::mem::take(&mut batch.records);
            let Some(log) = &mut self.log else { return };
            log.append(&records);
            if let Err(error) = log.sync() {
                self.close_log(&error);
                return;
            }
            self.step(core::Input::Synced(number), &mut batch);
        }
    }

    /// Closes the log after a failed sync. It is unknown which records such a sync has stored,
    /// so that no vote or acknowledgement may rely on them. Callers are still served.
    fn close_log(&mut self, error: &crate::storage::Error) {
        tracing::error!(target: "hemlockfield::storage", "log closed: {error}");
        self.log = None;
        self.closed_at = Some(self.now());
        self.state.close_controller(error.to_string());
    }

    /// Counts the bytes that other processes send, and those of frames with a configuration, which
    /// can fill the link of an entry.
    fn count_received(&self, frame: &Frame, bytes: usize) {
        self.proxy.metrics.add("received.bytes", bytes as u64);
        if frame.has_configuration() {
            self.proxy.metrics.add("received.configuration_bytes", bytes as u64);
        }
    }

    fn record(&self, event: Event) {
        log_event(&event);
        if event.kind == Kind::ConfigurationApplied {
            self.proxy.metrics.gauge("configuration", event.configuration.unwrap_or_default());
        }
        if let Some(by) = event.detail.get("by") {
            self.proxy.metrics.count(&format!("{}.{by}", event.kind.name()));
        }
        let Event { vm: _, kind, .. } = event.clone();
        self.journal.record(wall_clock(), kind, |stamped| Event { stamp: stamped.stamp, ..event });
    }

    /// Publishes a new view to the traffic threads if something has changed. Returns the time
    /// that it took.
    fn publish(&mut self, now: Moment) -> Duration {
        if let Some(view) = self.state.view(now, &self.proxy.view.load()) {
            self.proxy.set_view(view);
        }
        let cost = self.now().saturating_sub(now);
        self.proxy.open_claims.store(self.state.open_claims(), Ordering::Release);
        self.transport.set_neighbours(&self.state.neighbours());
        cost
    }

    fn status(&self) -> Status {
        Status::of(self.state.report(self.now()), &self.proxy, self.transport.as_ref())
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

/// Time since the Unix epoch by the VM's clock.
pub(super) fn wall_clock() -> Epoch {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn answer<T>(sender: Option<Sender<T>>, value: T) {
    if let Some(sender) = sender {
        sender.try_send(value).ok();
    }
}
