//! Bytes that a control holds, writes and reads, however many changes it has accepted.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::config::Version;
use hemlockfield::controller::Controller;
use hemlockfield::controller::Input;
use hemlockfield::controller::Output;
use hemlockfield::fake;
use hemlockfield::quorum;
use hemlockfield::quorum::Membership;
use hemlockfield::quorum::Record;
use hemlockfield::storage;
use hemlockfield::storage::Log;
use rstest::rstest;

const WALL: Duration = Duration::from_secs(1_700_000_000);
const TICK: Duration = Duration::from_millis(50);
/// Routes of the configuration, and bytes of one.
const ROUTES: usize = 1_400;
const ROUTE_BYTES: usize = 130;
/// Most bytes of a log file beside a state of this size: what is written until a snapshot is due, and
/// the entry that makes it due.
const MAX_LOG_BYTES: u64 = 6 << 20;

/// How much of the configuration a change concerns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Size {
    OneRoute,
    AllRoutes,
}

/// A control that forms the quorum alone, with its disk.
struct Alone {
    controller: Controller,
    disk: fake::Disk,
    log: Log,
    now: Moment,
    /// Most bytes of documents that one step put out.
    largest_step: usize,
    /// Most bytes of the log file.
    longest_log: u64,
    ticket: u64,
}

impl Alone {
    fn start(disk: fake::Disk) -> Self {
        let (log, recovered) = Log::open(Box::new(disk.clone())).expect("opens");
        let mut setup = quorum::Setup::new("c1".into());
        setup.founders = recovered.identity.is_none().then(|| Membership::founding(["c1".into()]));
        let controller = Controller::new(setup, recovered, 7);
        let (now, ticket) = (Moment::ZERO, 0);
        let mut alone =
            Self { controller, disk, log, now, largest_step: 0, longest_log: 0, ticket };
        for _ in 0..100 {
            alone.handle(Input::Tick);
            alone.now += TICK;
        }
        assert!(alone.controller.is_leader());
        alone
    }

    fn restart(self) -> Self {
        Self::start(self.disk)
    }

    fn handle(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let outputs = self.controller.handle(self.now, WALL, input);
            let documents = outputs.iter().filter_map(|output| match output {
                Output::Committed(version) => Some(version.document.len()),
                _ => None,
            });
            self.largest_step = self.largest_step.max(documents.sum());
            for output in outputs {
                if let Output::Persist(number, records) = output {
                    self.log.append(&records);
                    self.log.sync().expect("syncs");
                    inputs.push(Input::Synced(number));
                }
            }
            self.longest_log = self.longest_log.max(self.log.length());
        }
    }

    fn submit(&mut self, number: u64, size: Size) {
        self.ticket += 1;
        let version = Version::new(number, format!("s-{number}").into(), &document(number, size));
        self.handle(Input::Submit("c1".into(), self.ticket, version));
        assert_eq!(self.in_force(), Some(number));
    }

    fn in_force(&self) -> Option<u64> {
        self.controller.in_force().map(|version| version.number)
    }
}

fn document(number: u64, size: Size) -> String {
    let route = |at: usize| {
        let is_changed = size == Size::AllRoutes || at == number as usize % ROUTES;
        let changed = if is_changed { number } else { 0 };
        let route = format!("{{\"name\":\"route-{at}\",\"timeout\":{changed},");
        format!("{route:x<width$}}}\n", width = ROUTE_BYTES - 2)
    };
    (0..ROUTES).map(route).collect()
}

// A restarted control put out one document for each change since its snapshot, exceeded its memory and
// was ended at each start, although its log was small.
#[rstest]
fn handle_restart_many_changes(#[values(300, 1_400)] changes: u64) {
    let mut control = Alone::start(fake::Disk::new(1));
    (1..=changes).for_each(|number| control.submit(number, Size::OneRoute));
    let mut control = control.restart();
    control.now += TICK;
    assert_eq!(control.in_force(), Some(changes));
    let one = document(changes, Size::OneRoute).len();
    assert!(control.largest_step <= one, "{} of documents in a step", control.largest_step);
}

// The log of changes that concern every route grew with their number until the control could read it
// no more.
#[rstest]
fn handle_large_changes(#[values(60, 240)] changes: u64) {
    let mut control = Alone::start(fake::Disk::new(1));
    (1..=changes).for_each(|number| control.submit(number, Size::AllRoutes));
    assert!(control.longest_log <= MAX_LOG_BYTES, "{} bytes", control.longest_log);
    let control = control.restart();
    assert_eq!(control.in_force(), Some(changes));
}

// Records of an earlier build's log that is larger than a control may become.
fn long_log(entries: u64, size: usize) -> fake::Disk {
    let disk = fake::Disk::new(1);
    let (mut log, _) = Log::open(Box::new(disk.clone())).expect("opens");
    let founders = Membership::founding(["c1".into()]);
    let identity = quorum::Identity { disk: quorum::FOUNDER_DISK, founders };
    log.append(&[Record::Identity(identity), Record::Ballot { term: 1, vote: None }]);
    for index in 1..=entries {
        let payload = quorum::Payload::Command(vec![0xFF; size]);
        log.append(&[Record::Entry(quorum::Entry { index, term: 1, payload })]);
        log.sync().expect("syncs");
    }
    disk
}

// A control copied the whole log of an earlier build while it committed it, and exceeded its memory.
#[test]
fn handle_commits_long_log() {
    let disk = long_log(400, 100 << 10);
    let (_, recovered) = Log::open(Box::new(disk)).expect("opens");
    let mut replica = quorum::Replica::new(quorum::Setup::new("c1".into()), recovered, 7);
    let mut now = Moment::ZERO;
    let mut largest = 0;
    let mut committed = 0;
    while committed < 400 && now < Duration::from_secs(60) {
        now += Duration::from_millis(5);
        let mut inputs = vec![quorum::Input::Tick];
        while let Some(input) = inputs.pop() {
            let outputs = replica.handle(now, input);
            let commands = outputs.iter().filter_map(|output| match output {
                quorum::Output::Commit { command, .. } => Some(command.len()),
                _ => None,
            });
            let commands: Vec<usize> = commands.collect();
            committed += commands.len();
            largest = largest.max(commands.iter().sum());
            inputs.extend(outputs.iter().filter_map(|output| match output {
                quorum::Output::Persist { number, .. } => {
                    Some(quorum::Input::Synced { number: *number })
                }
                _ => None,
            }));
        }
    }
    assert_eq!(committed, 400);
    assert!(largest <= 5 << 20, "{largest} bytes in a step");
}

// A log of an earlier build was in memory three times while it was opened, and while the control made a
// snapshot of a part of it.
#[test]
fn open_and_compact_long_log() {
    let size = 100 << 10;
    let disk = long_log(400, size);
    let (mut log, recovered) = Log::open(Box::new(disk.clone())).expect("opens");
    assert_eq!(recovered.entries.len(), 400);
    let membership = Membership::founding(["c1".into()]);
    let snapshot = quorum::Snapshot { bytes: vec![1; 100], index: 100, membership, term: 1 };
    log.append(&[Record::Snapshot(Arc::new(snapshot))]);
    log.sync().expect("syncs");
    drop(log);
    let (_, after) = Log::open(Box::new(disk.clone())).expect("opens");
    let kept = recovered.entries.into_iter().skip(100).collect::<VecDeque<_>>();
    assert_eq!((after.term, after.entries), (1, kept));
    let largest = disk.longest_read().max(disk.longest_append());
    assert!(largest <= 1 << 20, "{largest} bytes at once");
}

// A snapshot that finds no room on the disk keeps what was accepted, and is taken once there is room.
#[test]
fn handle_snapshot_disk_full() {
    let mut control = Alone::start(fake::Disk::new(1));
    (1..=10).for_each(|number| control.submit(number, Size::AllRoutes));
    control.disk.set_capacity(control.log.length() + (300 << 10));
    let version = |number| Version::new(number, "s".into(), &document(number, Size::AllRoutes));
    for number in 11..=40 {
        let input = Input::Submit("c1".into(), 1, version(number));
        let outputs = control.controller.handle(control.now, WALL, input);
        let records = outputs.into_iter().find_map(|output| match output {
            Output::Persist(_, records) => Some(records),
            _ => None,
        });
        control.log.append(&records.expect("records"));
        let Err(error) = control.log.sync() else { continue };
        assert!(matches!(error, storage::Error::Full { .. }), "{error}");
        break;
    }
    control.disk.set_capacity(u64::MAX);
    let mut control = control.restart();
    assert!(control.in_force() >= Some(10));
    (41..=80).for_each(|number| control.submit(number, Size::AllRoutes));
    assert!(control.longest_log <= MAX_LOG_BYTES, "{} bytes", control.longest_log);
}
