//! Simulated cluster: VMs and a network in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::fake::Conditions;
use hemlockfield::fake::Net;
use hemlockfield::id::NodeId;
use hemlockfield::quorum::Body;
use hemlockfield::quorum::Entry;
use hemlockfield::quorum::Input;
use hemlockfield::quorum::Membership;
use hemlockfield::quorum::Message;
use hemlockfield::quorum::Output;
use hemlockfield::quorum::Payload;
use hemlockfield::quorum::Record;
use hemlockfield::quorum::Recovered;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::checker::CheckResult;
use super::checker::Checker;
use super::checker::ensure;
use super::mutant::Mutant;
use super::vm::Vm;

/// Prefix of errors that are violations of liveness, not of safety.
pub(super) const TIMEOUT_PREFIX: &str = "timed out";
/// Step of virtual time; all replicas tick once per step.
pub(super) const TICK: Duration = Duration::from_millis(25);
/// Number of commands after which the application takes a snapshot.
const SNAPSHOT_EVERY: usize = 10;

#[derive(Debug)]
pub(super) struct Cluster {
    pub(super) checker: Checker,
    pub(super) mutant: Option<Mutant>,
    pub(super) net: Net,
    pub(super) now: Moment,
    pub(super) random: ChaCha8Rng,
    pub(super) tickets: u64,
    pub(super) vms: BTreeMap<NodeId, Vm>,
}

impl Cluster {
    pub(super) fn new(seed: u64, size: usize, mutant: Option<Mutant>) -> Self {
        let names: Vec<NodeId> = (1..=size).map(|n| format!("control-{n}").into()).collect();
        let founders = Membership::founding(names.clone());
        let vm = |name: NodeId| Vm::new(name.clone(), Some(founders.clone()), seed);
        let mut cluster = Self {
            checker: Checker::default(),
            mutant,
            net: Net::new(seed, Conditions::reliable()),
            now: Moment::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            tickets: 0,
            vms: names.into_iter().map(|name| (name.clone(), vm(name))).collect(),
        };
        cluster.names().iter().for_each(|name| cluster.start(name));
        cluster
    }

    /// Advances virtual time by [`TICK`] and handles the messages and syncs that are due, in
    /// order.
    pub(super) fn step(&mut self) -> CheckResult {
        let end = self.now + TICK;
        while let Some(at) = self.next_event().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.deliver()?;
            self.sync_due()?;
        }
        self.now = end;
        for name in self.names() {
            if self.vms[&name].memory.is_none() && self.vms[&name].restart_at <= self.now {
                self.start(&name);
            }
            self.input(&name, Input::Tick)?;
        }
        Ok(())
    }

    pub(super) fn run(&mut self, time: Duration) -> CheckResult {
        let end = self.now + time;
        while self.now < end {
            self.step()?;
        }
        Ok(())
    }

    /// Runs until `done`; an error if it takes longer than `limit`.
    pub(super) fn run_until(
        &mut self,
        what: &str,
        limit: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> CheckResult {
        let end = self.now + limit;
        while !done(self) {
            ensure(self.now < end, || format!("{TIMEOUT_PREFIX}: {what}"))?;
            self.step()?;
        }
        Ok(())
    }

    fn next_event(&self) -> Option<Moment> {
        let sync = |vm: &Vm| Some(vm.memory.as_ref()?.sync?.0.max(vm.stalled_until));
        let syncs = self.vms.values().filter_map(sync);
        syncs.chain(self.net.next_at()).min()
    }

    fn deliver(&mut self) -> CheckResult {
        while let Some(delivery) = self.net.receive(self.now) {
            let message = postcard::from_bytes(&delivery.bytes).expect("decodes");
            let input = Input::Receive { from: delivery.from, message };
            self.input(&delivery.to, input)?;
        }
        Ok(())
    }

    fn sync_due(&mut self) -> CheckResult {
        for name in self.names() {
            let now = self.now;
            let Some(vm) = self.vms.get_mut(&name).filter(|vm| vm.stalled_until <= now) else {
                continue;
            };
            let Some(memory) = vm.memory.as_mut() else { continue };
            let Some((_, number)) = memory.sync.filter(|(at, _)| *at <= now) else { continue };
            memory.sync = None;
            memory.store.sync().expect("the fake disk has space");
            for record in std::mem::take(&mut memory.unsynced) {
                vm.synced.entry(vm.member_id.1).or_default().apply(record);
            }
            self.input(&name, Input::Synced { number })?;
        }
        Ok(())
    }

    /// Starts a VM; one with a damaged log gets an empty disk.
    pub(super) fn start(&mut self, name: &NodeId) {
        let seed = self.random.random();
        let mutant = self.mutant;
        let vm = self.vms.get_mut(name).expect("the VM exists");
        if vm.start(seed, mutant).is_err() {
            vm.lose_disk(seed, mutant);
            vm.start(seed, mutant).expect("an empty disk opens");
        }
    }

    pub(super) fn propose(&mut self, name: &NodeId) -> CheckResult {
        self.tickets += 1;
        let ticket = self.tickets;
        let command = format!("command {ticket}").into_bytes();
        self.checker.propose(ticket, command.clone());
        self.input(name, Input::Propose { ticket, command })
    }

    pub(super) fn read(&mut self, name: &NodeId) -> CheckResult {
        self.tickets += 1;
        self.checker.read(self.tickets);
        self.input(name, Input::Read { ticket: self.tickets })
    }

    /// Resumes a process whose stall is over. Its first input is a read that a caller sent
    /// during the stall.
    fn resume(&mut self, name: &NodeId) -> CheckResult {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(name) else { return Ok(()) };
        let is_over = vm.stalled_until > Duration::ZERO && vm.stalled_until <= now;
        if !is_over {
            return Ok(());
        }
        vm.stalled_until = Duration::ZERO;
        self.read(name)
    }

    pub(super) fn input(&mut self, name: &NodeId, input: Input) -> CheckResult {
        self.resume(name)?;
        let now = self.now;
        let running = self.vms.get_mut(name).filter(|vm| vm.stalled_until <= now);
        let Some(memory) = running.and_then(|vm| vm.memory.as_mut()) else {
            return Ok(());
        };
        let outputs = memory.replica.handle(now, input);
        outputs.into_iter().try_for_each(|output| self.output(name, output))
    }

    fn output(&mut self, name: &NodeId, output: Output) -> CheckResult {
        let vm = self.vms.get_mut(name).expect("the VM exists");
        let Some(memory) = vm.memory.as_mut() else { return Ok(()) };
        match output {
            Output::Accepted { ticket, index } => {
                self.checker.accept(ticket, index)?;
                self.check_synced(name, index)
            }
            Output::BecameLeader { term } => {
                let voted = vm.synced[&vm.member_id.1].term == term;
                ensure(voted, || format!("{name} leads term {term} before its vote is synced"))?;
                self.checker.become_leader(&vm.member_id, term, &memory.log)
            }
            Output::Changed { index, membership } => {
                memory.applied = index;
                self.checker.choose(index, None, &Payload::Change(membership))
            }
            Output::Commit { index, term, command } => self.apply(name, index, term, command),
            Output::Install { snapshot } => {
                memory.applied = snapshot.index;
                memory.commands = postcard::from_bytes(&snapshot.bytes).expect("decodes");
                Ok(())
            }
            Output::Persist { number, records } => self.persist(name, number, records),
            Output::Readable { ticket } => self.checker.readable(ticket, memory.applied),
            Output::Send { to, message } => {
                self.checker.send(name, &to, &message, &vm.synced[&vm.member_id.1])?;
                let message = self.mutant.map_or(message.clone(), |it| it.rewrite(message));
                let bytes = postcard::to_stdvec(&message).expect("encodes");
                self.net.send(self.now, name, &to, bytes);
                Ok(())
            }
            Output::Refused { .. } | Output::SteppedDown { .. } | Output::Uncertain { .. } => {
                Ok(())
            }
        }
    }

    fn apply(&mut self, name: &NodeId, index: u64, term: u64, command: Vec<u8>) -> CheckResult {
        self.checker.choose(index, Some(term), &Payload::Command(command.clone()))?;
        let memory =
            self.vms.get_mut(name).and_then(|vm| vm.memory.as_mut()).expect("the VM is up");
        memory.applied = index;
        memory.commands.push(command);
        if !memory.commands.len().is_multiple_of(SNAPSHOT_EVERY) {
            return Ok(());
        }
        let bytes = postcard::to_stdvec(&memory.commands).expect("encodes");
        self.input(name, Input::Snapshot { index, bytes })
    }

    fn persist(&mut self, name: &NodeId, number: u64, mut records: Vec<Record>) -> CheckResult {
        let wait = Duration::from_micros(self.random.random_range(0..20_000));
        let at = self.now + wait;
        let memory =
            self.vms.get_mut(name).and_then(|vm| vm.memory.as_mut()).expect("the VM is up");
        for record in &records {
            if let Record::Entry(entry) = record {
                let prev_term = prev_term(&memory.log, entry);
                self.checker.append(entry, prev_term)?;
            }
            memory.log.apply(record.clone());
        }
        if let Some(mutant) = self.mutant {
            mutant.tamper(&mut records);
        }
        memory.store.append(&records);
        memory.unsynced.extend(records);
        let at = memory.sync.map_or(at, |(earlier, _)| earlier);
        memory.sync = Some((at, number));
        if self.mutant == Some(Mutant::EarlySynced) {
            return self.input(name, Input::Synced { number });
        }
        Ok(())
    }
}

fn prev_term(log: &Recovered, entry: &Entry) -> u64 {
    let index = entry.index - 1;
    match &log.snapshot {
        Some(snapshot) if snapshot.index == index => snapshot.term,
        _ => log.entries.iter().find(|it| it.index == index).map_or(0, |it| it.term),
    }
}

/// Makes a vote or pre-vote request of a candidate with a log claim the longest possible one. An empty one
/// is left, since founders elect nobody with a log.
pub(super) fn inflate_log(message: &mut Message) {
    if let Body::PreVote { last_index, last_term } | Body::Vote { last_index, last_term } =
        &mut message.body
        && *last_index > 0
    {
        *last_index = u64::MAX;
        *last_term = u64::MAX;
    }
}
