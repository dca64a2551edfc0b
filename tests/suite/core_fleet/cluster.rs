//! A fleet of cores with simulated network, disks and clock.

mod queries;
mod requests;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::claim::Answer;
use hemlockfield::clock::Epoch;
use hemlockfield::clock::Moment;
use hemlockfield::config::Version;
use hemlockfield::controller::Controller;
use hemlockfield::fake::Conditions;
use hemlockfield::fake::Disk;
use hemlockfield::fake::Net;
use hemlockfield::fleet;
use hemlockfield::fleet::Member;
use hemlockfield::id::ConfigNumber;
use hemlockfield::id::NodeId;
use hemlockfield::id::UpstreamId;
use hemlockfield::node::ClaimDecision;
use hemlockfield::node::Core;
use hemlockfield::node::Output;
use hemlockfield::node::Setup;
use hemlockfield::node::View;
use hemlockfield::node::core::Input;
use hemlockfield::quorum;
use hemlockfield::quorum::Membership;
use hemlockfield::quorum::Record;
use hemlockfield::registry::Announcement;
use hemlockfield::registry::State;
use hemlockfield::replay::Recorder;
use hemlockfield::storage::Log;
use hemlockfield::timeline::Stamp;
use hemlockfield::wire::Envelope;
use hemlockfield::wire::Verdict;

pub(super) const SERVICE: &str = "hull-register";
/// Time after which the outcome of an unfinished claim is unknown: deadline and grace period.
pub(super) const CLAIM_LIMIT: Duration = Duration::from_secs(10);
/// Longest wait for an event in virtual time, far above what any takes.
const MAX_WAIT: Duration = Duration::from_secs(300);
const START_TIME: Epoch = Duration::from_secs(1_700_000_000);
const DOMAINS: [&str; 4] = ["halle-nord", "halle-sued", "keller-alt", "werft-ost"];

pub(super) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(super) fn id(name: &str) -> NodeId {
    name.into()
}

/// Rules with a floor of 70%, different for each number.
pub(super) fn rules(number: u64) -> String {
    format!(
        "services:\n  {SERVICE}: {{floor: 70%, sensitivity: 0.5}}\n\
         rules:\n  - name: lookup-{number}\n    when: {{path: /hulls/*}}\n    \
         then:\n      route: {{service: {SERVICE}}}\n      terms: {{idempotent: true}}\n"
    )
}

/// Data of a process that outlives it.
#[derive(Default)]
pub(super) struct Folder {
    pub(super) held: Option<Version>,
    pub(super) log: Option<Disk>,
}

struct Running {
    core: Core,
    log: Option<Log>,
    tick_at: Moment,
    view: View,
}

/// Controls `c1..`, entries `e1..` and upstreams that announce themselves to entries.
pub(super) struct Cluster {
    /// Numbers of the configurations that each process put in force, over all its starts.
    pub(super) applied: BTreeMap<NodeId, Vec<ConfigNumber>>,
    pub(super) claimed: BTreeMap<(NodeId, u64), ClaimDecision>,
    pub(super) changed: BTreeMap<(NodeId, u64), Result<u64, String>>,
    pub(super) folders: BTreeMap<NodeId, Folder>,
    pub(super) net: Net,
    pub(super) now: Moment,
    /// Announcement of each upstream, and the entry that it is sent to.
    pub(super) upstreams: BTreeMap<UpstreamId, (Announcement, NodeId)>,
    pub(super) verdicts: BTreeMap<(NodeId, u64), Verdict>,
    /// Entries whose probes get no answer.
    pub(super) cut_from_upstreams: BTreeSet<NodeId>,
    announce_at: Moment,
    controls: Vec<NodeId>,
    entries: Vec<NodeId>,
    running: BTreeMap<NodeId, Running>,
    seed: u64,
    paused: BTreeSet<NodeId>,
    ticket: u64,
}

impl Cluster {
    /// Starts the controls, which found a quorum, and the entries.
    pub(super) fn new(seed: u64, controls: usize, entries: usize) -> Self {
        let named = |prefix: &str, count: usize| -> Vec<NodeId> {
            (1..=count).map(|at| format!("{prefix}{at}").into()).collect()
        };
        let mut cluster = Self {
            announce_at: Moment::ZERO,
            cut_from_upstreams: BTreeSet::new(),
            applied: BTreeMap::new(),
            changed: BTreeMap::new(),
            claimed: BTreeMap::new(),
            controls: named("c", controls),
            entries: named("e", entries),
            folders: BTreeMap::new(),
            net: Net::new(seed, Conditions::reliable()),
            now: ms(10),
            running: BTreeMap::new(),
            seed,
            paused: BTreeSet::new(),
            ticket: 0,
            upstreams: BTreeMap::new(),
            verdicts: BTreeMap::new(),
        };
        cluster.controls.clone().iter().for_each(|control| cluster.start(control, true));
        cluster.entries.clone().iter().for_each(|entry| cluster.start(entry, false));
        cluster
    }

    /// Starts a fleet and waits until configuration 1 is in force everywhere.
    pub(super) fn with_configuration(seed: u64, controls: usize, entries: usize) -> Self {
        let mut cluster = Self::new(seed, controls, entries);
        assert_eq!(cluster.submit("e1", 1, "first"), Verdict::Accepted(1));
        cluster
            .run_until("configuration 1 everywhere", |cluster| cluster.all_have_configuration(1));
        cluster
    }

    pub(super) fn controls(&self) -> Vec<NodeId> {
        self.controls.clone()
    }

    pub(super) fn entries(&self) -> Vec<NodeId> {
        self.entries.clone()
    }

    /// Starts or restarts a process on its data folder.
    pub(super) fn start(&mut self, id: &NodeId, is_founding: bool) {
        self.seed += 1;
        let folder = self.folders.entry(id.clone()).or_default();
        let (controller, log) = if id.starts_with('c') {
            let disk = folder.log.get_or_insert_with(|| Disk::new(self.seed)).clone();
            let (log, recovered) = Log::open(Box::new(disk)).unwrap();
            let mut setup = quorum::Setup::new(id.clone());
            if is_founding {
                setup.founders = Some(Membership::founding(self.controls.clone()));
            }
            (Some(Controller::new(setup, recovered, self.seed)), Some(log))
        } else {
            (None, None)
        };
        let stored = folder.held.clone();
        let setup = Setup {
            controls: self.controls.clone(),
            stored,
            me: self.record(id),
            controller,
            recorder: Recorder::open(None).unwrap(),
            seeds: self.seeds(id),
            seed: self.seed,
        };
        let core = Core::new(self.now, setup);
        let running = Running { core, log, tick_at: self.now, view: View::default() };
        self.running.insert(id.clone(), running);
    }

    /// Starts a control that no settings name.
    pub(super) fn start_new_control(&mut self, id: &NodeId) {
        self.controls.push(id.clone());
        self.start(id, false);
    }

    /// Kills a process as SIGKILL does; data that was not synced is lost.
    pub(super) fn kill(&mut self, id: &NodeId) {
        self.running.remove(id);
        self.paused.remove(id);
        if let Some(disk) = &self.folders[id].log {
            disk.crash();
        }
    }

    /// Kills a process and deletes its data folder.
    pub(super) fn destroy(&mut self, id: &NodeId) {
        self.kill(id);
        self.folders.insert(id.clone(), Folder::default());
    }

    /// Pauses a process as SIGSTOP does; frames sent to it are lost.
    pub(super) fn pause(&mut self, id: &NodeId) {
        self.paused.insert(id.clone());
    }

    /// Cuts the network between a process and all others, in one direction or both.
    pub(super) fn isolate(&mut self, id: &NodeId, can_receive: bool, can_send: bool) {
        let others: Vec<NodeId> = self.controls.iter().chain(&self.entries).cloned().collect();
        for other in others.iter().filter(|other| *other != id) {
            if !can_receive {
                self.net.cut(other, id);
            }
            if !can_send {
                self.net.cut(id, other);
            }
        }
    }

    pub(super) fn input(&mut self, id: &NodeId, input: Input) {
        let Some(running) = self.running.get_mut(id) else { return };
        let mut outputs = running.core.handle(self.now, START_TIME + self.now, input);
        loop {
            let synced = self.carry_out(id, outputs);
            let Some(number) = synced else { break };
            let Some(running) = self.running.get_mut(id) else { break };
            outputs = running.core.handle(self.now, START_TIME + self.now, Input::Synced(number));
        }
        let Some(running) = self.running.get_mut(id) else { return };
        if let Some(view) = running.core.view(self.now, &running.view) {
            running.view = view;
        }
    }

    /// Advances the clock by `span`.
    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the clock until `happened`; `what` names the event in the panic message.
    pub(super) fn run_until(&mut self, what: &str, happened: impl Fn(&Self) -> bool) {
        let end = self.now + MAX_WAIT;
        while !happened(self) {
            assert!(self.now < end, "timed out waiting for {what}");
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += ms(5);
        while let Some(delivery) = self.net.receive(self.now) {
            if self.paused.contains(&delivery.to) {
                continue;
            }
            let envelope = Envelope::decode(&delivery.bytes).unwrap();
            self.input(&delivery.to, Input::Frame(delivery.from, envelope.frame));
        }
        let now = self.now;
        let is_due = |(id, it): &(&NodeId, &Running)| {
            let due = it.tick_at <= now || it.core.next_at() <= now;
            due && !self.paused.contains(*id)
        };
        let due: Vec<NodeId> =
            self.running.iter().filter(is_due).map(|(id, _)| id.clone()).collect();
        for id in due {
            self.input(&id, Input::Tick);
            if let Some(running) = self.running.get_mut(&id) {
                running.tick_at = now + Member::TICK;
            }
        }
        if self.announce_at <= now {
            self.announce_at = now + Duration::from_secs(5);
            self.renew_announcements();
        }
    }

    fn renew_announcements(&mut self) {
        for (announcement, entry) in self.upstreams.clone().into_values() {
            let ticket = self.next_ticket();
            self.input(&entry, Input::Announce(ticket, announcement));
        }
    }

    /// Carries out the outputs of a core. Returns the number of the records that were synced.
    fn carry_out(&mut self, from: &NodeId, outputs: Vec<Output>) -> Option<u64> {
        let mut synced = None;
        let mut probed = Vec::new();
        for output in outputs {
            match output {
                Output::Announced(..)
                | Output::Event(_)
                | Output::QuotaGranted(..)
                | Output::Configuration(..) => (),
                Output::Apply(version) => self.store_configuration(from, version),
                Output::MembersChanged(ticket, result) => {
                    self.changed.insert((from.clone(), ticket), result);
                }
                Output::ClaimDecision(ticket, claimed) => {
                    let before = self.claimed.insert((from.clone(), ticket), claimed);
                    assert_eq!(before, None, "`{from}` got a second answer to claim {ticket}");
                }
                Output::Persist(number, records) => {
                    synced = Some(self.persist(from, number, &records));
                }
                Output::Probe { service, upstream, .. } => probed.push((service, upstream)),
                Output::Send(to, _, frame) => {
                    let bytes = Envelope { frame, stamp: Stamp::default() }.encode().unwrap();
                    self.net.send(self.now, from, &to, bytes);
                }
                Output::Verdict(ticket, verdict) => {
                    self.verdicts.insert((from.clone(), ticket), verdict);
                }
            }
        }
        for (service, upstream) in probed {
            let Some((announcement, _)) = self.upstreams.get(&upstream) else { continue };
            let answers = !self.cut_from_upstreams.contains(from);
            let draining = answers.then_some(announcement.state == State::Draining);
            self.input(from, Input::Probed(service, upstream, draining, answers));
        }
        synced
    }

    fn persist(&mut self, id: &NodeId, number: u64, records: &[Record]) -> u64 {
        let log = self.running.get_mut(id).and_then(|running| running.log.as_mut()).unwrap();
        log.append(records);
        log.sync().unwrap();
        number
    }

    /// Stores a configuration as the control thread does. Its number must never decrease.
    fn store_configuration(&mut self, id: &NodeId, version: Version) {
        let numbers = self.applied.entry(id.clone()).or_default();
        let before = numbers.last().copied().unwrap_or(0);
        assert!(version.number >= before, "`{id}` went back from {before} to {}", version.number);
        numbers.push(version.number);
        self.folders.get_mut(id).unwrap().held = Some(version);
    }

    fn next_ticket(&mut self) -> u64 {
        self.ticket += 1;
        self.ticket
    }

    fn record(&self, id: &NodeId) -> fleet::Record {
        let control = id.starts_with('c');
        let role = if control { fleet::Role::Control } else { fleet::Role::Entry };
        fleet::Record {
            id: id.clone(),
            incarnation: (START_TIME + self.now).as_micros() as u64,
            meta: fleet::Meta {
                callers: address(id, 0),
                config: 0,
                domain: DOMAINS[index_of(id) % DOMAINS.len()].into(),
                links: address(id, 1),
                region: "regensburg".into(),
                roles: [role].into(),
                state: fleet::State::Starting,
            },
        }
    }

    fn seeds(&self, me: &NodeId) -> Vec<fleet::Seed> {
        let others = self.controls.iter().chain(&self.entries).filter(|id| *id != me);
        others.map(|id| fleet::Seed { address: address(id, 1), id: id.clone() }).collect()
    }
}

/// Whether the answer to a resend says that the request has run, is running or may have run.
pub(super) fn may_have_run(claimed: &ClaimDecision) -> bool {
    let ClaimDecision::Answer(answer) = claimed else { return false };
    matches!(answer, Answer::InProgress { .. } | Answer::Unknown | Answer::Done(_))
}

fn index_of(id: &NodeId) -> usize {
    id[1..].parse().unwrap()
}

fn address(id: &NodeId, port: u16) -> SocketAddr {
    let group = if id.starts_with('c') { 1 } else { 2 };
    SocketAddr::from(([127, 1, group, index_of(id) as u8], 7_000 + port))
}
