//! Processes of the world: their inputs, outputs, starts and ends.

use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::id::NodeId;
use hemlockfield::node::Output;
use hemlockfield::node::StateMachine;
use hemlockfield::node::core::Input;
use hemlockfield::reach;
use hemlockfield::timeline::Stamp;
use hemlockfield::wire::Envelope;
use hemlockfield::wire::Frame;
use hemlockfield::wire::Verdict;
use rand::Rng;

use super::Acknowledged;
use super::CONNECT_TIMEOUT;
use super::CONTROLS;
use super::DOMAINS;
use super::Event;
use super::LATENCY;
use super::Request;
use super::SWEEP;
use super::World;
use super::upstream_number;
use crate::fleet_model::process::Process;
use crate::fleet_model::process::Start;

impl World {
    pub(super) fn is_control(process: usize) -> bool {
        process < CONTROLS
    }

    pub(super) fn start(&mut self, process: usize, is_first: bool) {
        let controls = self.ids[..CONTROLS].to_vec();
        let start = Start {
            controls: &controls,
            domain: DOMAINS[process % DOMAINS.len()],
            id: &self.ids[process],
            is_first,
            link: self.plan.link,
            number: process,
            seed: self.random.random(),
        };
        let disk = self.disks.get(process).cloned();
        self.processes[process] = Some(Process::start(self.now, &start, disk));
        self.epochs[process] += 1;
        self.leaving.remove(&process);
        self.starts[process].push((self.now, true));
        let epoch = self.epochs[process];
        self.at(self.now, Event::Wake(process, epoch));
        if !Self::is_control(process) {
            self.at(self.now + SWEEP, Event::Sweep(process, epoch));
        }
    }

    /// Ends a process; what it has in flight is lost.
    pub(super) fn end(&mut self, process: usize, epoch: u32, down: Duration) {
        if self.epochs[process] != epoch || self.processes[process].take().is_none() {
            return;
        }
        self.epochs[process] += 1;
        self.starts[process].push((self.now, false));
        let now = self.now;
        let lost = self.requests.iter_mut().rev().take(1_000);
        let lost = lost.filter(|request| request.entry == process && request.ended.is_none());
        lost.for_each(|request| request.ended = Some((now, false)));
        self.at(self.now + down, Event::Start(process));
    }

    pub(super) fn input(&mut self, process: usize, input: Input) {
        let now = self.now;
        let Some(running) = &mut self.processes[process] else { return };
        let outputs = running.handle(now, input);
        let number = running.view.number;
        let epoch = self.epochs[process];
        if let Some(number) = number
            && self.in_force[process].last().is_none_or(|it| (it.1, it.2) != (epoch, number))
        {
            self.in_force[process].push((now, epoch, number));
        }
        self.carry_out(process, outputs);
        self.schedule(process);
    }

    pub(super) fn schedule(&mut self, process: usize) {
        let Some(running) = &mut self.processes[process] else { return };
        let due = running.core.next_at(self.now).max(self.now + Duration::from_millis(1));
        if due < running.wake_at {
            running.wake_at = due;
            self.at(due, Event::Wake(process, self.epochs[process]));
        }
    }

    pub(super) fn wake(&mut self, process: usize, epoch: u32) {
        let now = self.now;
        let Some(running) = &mut self.processes[process] else { return };
        if self.epochs[process] != epoch
            || (running.wake_at > now && running.wake_at != Moment::MAX)
        {
            return;
        }
        running.wake_at = Moment::MAX;
        self.input(process, Input::Tick);
    }

    pub(super) fn carry_out(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, _, frame) => self.send(from, &to, frame),
                Output::Verdict(ticket, verdict) => self.acknowledge(ticket, &verdict),
                _ => (),
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, to: &NodeId, frame: Frame) {
        let Some(to) = self.ids.iter().position(|id| id == to) else { return };
        let (isolated, until) = &self.isolated;
        if self.now < *until && (isolated.contains(&from) || isolated.contains(&to)) {
            return;
        }
        let bytes = Envelope { frame, stamp: Stamp::default() }.encode().expect("encoded");
        let is_lost = self.loss > 0.0 && self.random.random_bool(self.loss);
        let arrives_at = match (Self::is_control(from), Self::is_control(to)) {
            (true, false) => self.links[to].0.send(self.now, bytes.len(), is_lost),
            (false, true) => self.links[from].1.send(self.now, bytes.len(), is_lost),
            _ => self.now,
        };
        self.at(arrives_at + LATENCY, Event::Frame(from, to, bytes));
    }

    pub(super) fn acknowledge(&mut self, ticket: u64, verdict: &Verdict) {
        let Some((number, submitted_at)) = self.submitted.get(&ticket).copied() else { return };
        if !matches!(verdict, Verdict::Accepted(_) | Verdict::AlreadyAccepted(_)) {
            return;
        }
        self.acknowledged.push(Acknowledged { at: self.now, number, submitted_at });
        if let Some(routes) = self.waiting.pop() {
            self.submit(routes);
        }
    }

    /// Positions of the entries that callers are told of.
    pub(super) fn listed(&self) -> Vec<usize> {
        let control = self.processes[..CONTROLS].iter().flatten().next();
        let entries = control.map(|control| &control.view.entries);
        let position = |id: &NodeId| self.ids.iter().position(|other| other == id);
        entries
            .map(|it| it.iter().filter_map(|one| position(&one.id)).collect())
            .unwrap_or_default()
    }

    /// An entry looks for overdue requests, checks paths in doubt and reports what changed.
    pub(super) fn sweep(&mut self, process: usize, epoch: u32) {
        if self.epochs[process] != epoch {
            return;
        }
        let now = self.now;
        self.at(now + SWEEP, Event::Sweep(process, epoch));
        let Some(running) = &mut self.processes[process] else { return };
        let services = running.view.services.clone();
        running.monitor.set_asked(&running.view.asked.clone());
        let upstreams = |name: &_| {
            let seen = services.get(name)?;
            Some(reach::Upstreams { members: &seen.members, health: seen.as_ref() })
        };
        let checks = running.monitor.checks(now, upstreams);
        let mut inputs: Vec<Input> =
            running.monitor.report(now).map(Input::Reach).into_iter().collect();
        for name in services.keys() {
            let overdue = running.selector(now, name).map(|it| it.overdue(now)).unwrap_or_default();
            if !overdue.is_empty() {
                running.monitor.suspect(now, name);
            }
            for (upstream, mut ages) in overdue {
                ages.retain(|age| !running.monitor.excuses(now, name, *age));
                inputs.push(Input::Overdue(name.clone(), upstream, ages));
            }
        }
        let is_mine =
            |request: &&Request| request.entry == process && request.sent_at + SWEEP > now;
        let arrivals = self.requests.iter().rev().take(50).filter(is_mine).count();
        if arrivals > 0 {
            inputs.push(Input::Throughput(arrivals as u32, 0));
        }
        for check in checks {
            let is_open = !self.is_cut(process, upstream_number(&check.upstream));
            let takes = if is_open { 2 * LATENCY } else { CONNECT_TIMEOUT };
            let checked = Event::Checked { check, epoch, is_open, process, started: now };
            self.at(now + takes, checked);
        }
        inputs.into_iter().for_each(|input| self.input(process, input));
    }
}
