//! Restart after many changes, and appends with and without grouped syncs.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::clock::Moment;
use crate::quorum::Entry;
use crate::quorum::Input;
use crate::quorum::Membership;
use crate::quorum::Output;
use crate::quorum::Payload;
use crate::quorum::Record;
use crate::quorum::Recovered;
use crate::quorum::Replica;
use crate::quorum::Setup;
use crate::storage::Error;
use crate::storage::Folder;
use crate::storage::Log;

/// Changes before the restart.
const CHANGES: u64 = 100_000;
/// Bytes of one command: a key, an outcome and some text.
const COMMAND: usize = 128;
/// Distinct keys in the state, so that a snapshot is about 128 KB.
const KEYS: u64 = 1000;
/// Changes that share a sync while the log is filled.
const GROUP: u64 = 100;
/// Appends of one row of the grouping table.
const APPENDS: u64 = 2000;
/// Position at which snapshots are taken, so that a restart after [`CHANGES`]
/// finds nearly as many entries after the snapshot as there can be.
const PHASE: u64 = 100;
/// Name of the only replica.
const ME: &str = "control-1";

/// State of a small application: the newest command of each key.
type State = BTreeMap<u64, Vec<u8>>;

/// Replica, its log, its application, and a clock of their own.
struct Node {
    log: Log,
    now: Moment,
    replica: Replica,
    snapshot_every: u64,
    state: State,
}

/// Measures restarts and grouped syncs in `folder`, on the disk in question;
/// gives a small table. The first run on an empty folder fills it, each later one
/// restarts from it: only there the memory column is that of a fresh process.
pub fn run(folder: &Path) -> Result<String, Error> {
    let mut report = String::new();
    let _ = writeln!(report, "{CHANGES} changes of {COMMAND} bytes, {GROUP} a sync");
    let _ = writeln!(report, "snapshot every | log KB | restart ms | memory KB");
    let mut nodes = Vec::new();
    for snapshot_every in [1000, 10_000, u64::MAX] {
        let folder = folder.join(format!("restart-{snapshot_every}"));
        if !folder.exists() {
            fill(&folder, snapshot_every)?;
        }
        let (row, node) = restart(&folder, snapshot_every)?;
        report += &row;
        nodes.push(node);
    }
    let _ = writeln!(report, "records a sync | appends/s | ratio to one a sync");
    let mut base = 0.0;
    for group in [1, 10, 100, 1000] {
        let folder = folder.join(format!("appends-{group}"));
        let rate = appends(&folder, group)?;
        base = if group == 1 { rate } else { base };
        let _ = writeln!(report, "{group:14} | {rate:9.0} | {:.1}", rate / base);
    }
    Ok(report)
}

fn fill(folder: &Path, snapshot_every: u64) -> Result<(), Error> {
    let mut node = Node::open(folder, snapshot_every)?;
    node.elect()?;
    let mut outputs = Vec::new();
    for number in 1..=CHANGES {
        let input = Input::Propose { ticket: number, command: command(number) };
        outputs.extend(node.replica.handle(node.now, input));
        if number.is_multiple_of(GROUP) {
            node.carry(std::mem::take(&mut outputs))?;
        }
    }
    node.carry(outputs)
}

fn restart(folder: &Path, snapshot_every: u64) -> Result<(String, Node), Error> {
    let before = resident();
    let started = Instant::now();
    let mut node = Node::open(folder, snapshot_every)?;
    node.elect()?;
    let time = started.elapsed().as_secs_f64() * 1000.0;
    let memory = resident().saturating_sub(before);
    let length = node.log.length() / 1024;
    let whole = node.state.len() as u64 == KEYS && node.newest() == CHANGES;
    let note = if whole { "" } else { " (state is not whole)" };
    let every = if snapshot_every == u64::MAX { 0 } else { snapshot_every };
    let row = format!("{every:14} | {length:6} | {time:10.1} | {memory:9}{note}\n");
    Ok((row, node))
}

fn appends(folder: &Path, group: u64) -> Result<f64, Error> {
    let (mut log, _) = Log::open(Box::new(Folder::open(folder)?))?;
    let started = Instant::now();
    for index in 1..=APPENDS {
        let entry = Entry { index, term: 1, payload: Payload::Command(command(index)) };
        log.append(&[Record::Entry(entry)]);
        if index % group == 0 {
            log.sync()?;
        }
    }
    Ok(APPENDS as f64 / started.elapsed().as_secs_f64())
}

fn command(number: u64) -> Vec<u8> {
    let mut command = number.to_le_bytes().to_vec();
    command.resize(COMMAND, 0);
    command
}

fn number(command: &[u8]) -> u64 {
    command.first_chunk().copied().map_or(0, u64::from_le_bytes)
}

/// Resident memory of this process in KB; 0 where the system doesn't say.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().next());
    field.and_then(|field| field.parse().ok()).unwrap_or(0)
}

impl Node {
    fn open(folder: &Path, snapshot_every: u64) -> Result<Self, Error> {
        let (log, recovered) = Log::open(Box::new(Folder::open(folder)?))?;
        let mut setup = Setup::new(ME.into());
        if recovered == Recovered::default() {
            setup.founders = Some(Membership::founding([ME.into()]));
        }
        let replica = Replica::new(setup, recovered, 1);
        Ok(Self { log, now: Moment::ZERO, replica, snapshot_every, state: State::new() })
    }

    /// Number of the newest command.
    fn newest(&self) -> u64 {
        self.state.values().map(|command| number(command)).max().unwrap_or(0)
    }

    /// Passes virtual time until the replica leads and has committed.
    fn elect(&mut self) -> Result<(), Error> {
        for _ in 0..2 {
            self.now += Duration::from_secs(2);
            let outputs = self.replica.handle(self.now, Input::Tick);
            self.carry(outputs)?;
        }
        Ok(())
    }

    /// Carries outputs out until none are left, with one sync for all.
    fn carry(&mut self, mut outputs: Vec<Output>) -> Result<(), Error> {
        while !outputs.is_empty() {
            let mut newest = None;
            let mut next = Vec::new();
            for output in outputs {
                match output {
                    Output::Persist { number, records } => {
                        self.log.append(&records);
                        newest = Some(number);
                    }
                    Output::Commit { index, command, .. } => {
                        next.extend(self.apply(index, command));
                    }
                    Output::Install { snapshot } => {
                        self.state = postcard::from_bytes(&snapshot.bytes).unwrap_or_default();
                    }
                    _ => {}
                }
            }
            if let Some(number) = newest {
                self.log.sync()?;
                next.extend(self.replica.handle(self.now, Input::Synced { number }));
            }
            outputs = next;
        }
        Ok(())
    }

    fn apply(&mut self, index: u64, command: Vec<u8>) -> Vec<Output> {
        self.state.insert(number(&command) % KEYS, command);
        if self.snapshot_every == u64::MAX || index % self.snapshot_every != PHASE {
            return Vec::new();
        }
        let bytes = postcard::to_stdvec(&self.state).unwrap_or_default();
        self.replica.handle(self.now, Input::Snapshot { index, bytes })
    }
}
