//! Three controls and an entry in virtual time, to which upstreams report events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::catalog::Action;
use hemlockfield::catalog::Change;
use hemlockfield::clock::Moment;
use hemlockfield::config::Version;
use hemlockfield::fake::Disk;
use hemlockfield::id::Incarnation;
use hemlockfield::id::NodeId;
use hemlockfield::id::ServiceId;
use hemlockfield::id::UpstreamId;
use hemlockfield::node::Output;
use hemlockfield::node::StateMachine;
use hemlockfield::node::core::Input;
use hemlockfield::registry::Announcement;
use hemlockfield::registry::State;
use hemlockfield::timeline::Stamp;
use hemlockfield::wire::Envelope;

use crate::fleet_model::process::Process;
use crate::fleet_model::process::Start;

/// Number of controls; the entry follows them.
pub(super) const CONTROLS: usize = 3;
const ENTRY: usize = CONTROLS;
const STEP: Duration = Duration::from_millis(5);
/// Time within which a fleet that has started elects a leader and its entry knows the configuration.
const START: Duration = Duration::from_secs(8);
const RULES: &str = "services:\n  hull: {floor: 70%}\nrules:\n  - name: lookup\n    when: {path: /hulls/*}\n    \
                     then:\n      route: {service: hull}\n";

/// An upstream that reports events.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) address: SocketAddr,
    pub(super) id: UpstreamId,
    pub(super) service: ServiceId,
}

impl Upstream {
    /// An announcement of one of its starts.
    pub(super) fn announce(&self, start: Incarnation, sequence: u64, state: State) -> Action {
        let announcement = Announcement {
            address: self.address,
            connections: 300,
            domain: "a".into(),
            incarnation: start,
            lease: Duration::ZERO,
            service: self.service.clone(),
            slots: 4,
            state,
            upstream: self.id.clone(),
            warm_up: Duration::ZERO,
        };
        Action::Announce(Change { announcement, sequence })
    }

    /// Its departure.
    pub(super) fn leave(&self) -> Action {
        Action::Leave(self.id.clone())
    }
}

/// Three controls, and an entry that shows what they tell entries.
pub(super) struct Controls {
    answers: BTreeMap<u64, Result<(), String>>,
    /// Controls that no other process reaches.
    cut: BTreeSet<usize>,
    frames: VecDeque<(Moment, usize, usize, Vec<u8>)>,
    /// Controls that stand still, with what arrives meanwhile.
    frozen: BTreeMap<usize, VecDeque<Input>>,
    ids: Vec<NodeId>,
    now: Moment,
    processes: Vec<Process>,
    ticket: u64,
}

impl Controls {
    /// Starts the processes and waits until a leader is elected and a configuration is in force.
    pub(super) fn start() -> Self {
        let ids: Vec<NodeId> = (0..=CONTROLS).map(|at| NodeId::from(format!("n{at}"))).collect();
        let controls = &ids[..CONTROLS];
        let start = |number: usize| Start {
            controls,
            domain: "a",
            id: &ids[number],
            is_first: true,
            link: 1e6,
            number,
            seed: number as u64 + 1,
        };
        let disk = |number: usize| (number < CONTROLS).then(|| Disk::new(number as u64));
        let processes = (0..=CONTROLS)
            .map(|number| Process::start(Moment::ZERO, &start(number), disk(number)))
            .collect();
        let mut fleet = Self {
            answers: BTreeMap::new(),
            cut: BTreeSet::new(),
            frames: VecDeque::new(),
            frozen: BTreeMap::new(),
            ids,
            now: Moment::ZERO,
            processes,
            ticket: 0,
        };
        fleet.run(START);
        fleet.input(0, Input::Submit(0, Version::new(1, "first".into(), RULES)));
        fleet.run(START);
        fleet
    }

    /// Advances the clock.
    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            while self.frames.front().is_some_and(|frame| frame.0 <= self.now) {
                let (_, from, to, bytes) = self.frames.pop_front().unwrap();
                let frame = Envelope::decode(&bytes).unwrap().frame;
                self.input(to, Input::Frame(self.ids[from].clone(), frame));
            }
            for at in 0..self.processes.len() {
                if !self.frozen.contains_key(&at)
                    && self.processes[at].core.next_at(self.now) <= self.now
                {
                    self.input(at, Input::Tick);
                }
            }
        }
    }

    /// Advances the clock by milliseconds.
    pub(super) fn run_ms(&mut self, span: u64) {
        self.run(Duration::from_millis(span));
    }

    /// Reports an event to a control; returns the ticket of its answer.
    pub(super) fn report(&mut self, control: usize, event: &Action) -> u64 {
        self.ticket += 1;
        let ticket = self.ticket;
        self.input(control, Input::Catalog(ticket, event.clone()));
        ticket
    }

    /// Whether the event was acknowledged; `None` without an answer.
    pub(super) fn is_acknowledged(&self, ticket: u64) -> Option<bool> {
        self.answers.get(&ticket).map(Result::is_ok)
    }

    /// Reports an event to each control in turn until one acknowledges it.
    pub(super) fn report_until_acknowledged(&mut self, first: usize, event: &Action) {
        let controls = (first..first + 2 * CONTROLS).map(|at| at % CONTROLS);
        for control in controls {
            let ticket = self.report(control, event);
            self.run_ms(300);
            if self.is_acknowledged(ticket) == Some(true) {
                return;
            }
        }
        panic!("nobody acknowledges {event:?}");
    }

    /// The control that leads.
    pub(super) fn leader(&self) -> usize {
        let leads = |at: &usize| {
            let report = self.processes[*at].core.report(self.now);
            let log = report.control.and_then(|control| control.log);
            log.is_some_and(|log| log.role == hemlockfield::quorum::Role::Leader)
        };
        let leaders: Vec<usize> = (0..CONTROLS).filter(leads).collect();
        assert_eq!(leaders.len(), 1, "{leaders:?}");
        leaders[0]
    }

    /// Cuts a control off from all other processes, or heals the cut.
    pub(super) fn set_cut(&mut self, control: usize, is_cut: bool) {
        if is_cut {
            self.cut.insert(control);
        } else {
            self.cut.remove(&control);
        }
    }

    /// Stops a control as SIGSTOP does.
    pub(super) fn freeze(&mut self, control: usize) {
        self.frozen.insert(control, VecDeque::new());
    }

    /// Drops events that lie at a control that stands still.
    pub(super) fn drop_lying(&mut self, control: usize, tickets: &BTreeSet<u64>) {
        let is_dropped =
            |input: &Input| matches!(input, Input::Catalog(ticket, _) if tickets.contains(ticket));
        if let Some(waiting) = self.frozen.get_mut(&control) {
            waiting.retain(|input| !is_dropped(input));
        }
    }

    /// Continues a control, which reads the events or the frames first that lie there.
    pub(super) fn wake(&mut self, control: usize, reads_events_first: bool) {
        let inputs = self.frozen.remove(&control).unwrap_or_default();
        let is_event = |input: &Input| matches!(input, Input::Catalog(..));
        let (events, frames): (Vec<_>, Vec<_>) = inputs.into_iter().partition(is_event);
        let ordered = if reads_events_first { [events, frames] } else { [frames, events] };
        ordered.into_iter().flatten().for_each(|input| self.input(control, input));
    }

    /// Upstreams that the entry may send requests to.
    pub(super) fn usable(&self) -> BTreeSet<UpstreamId> {
        let services = self.processes[ENTRY].view.services.values();
        services.flat_map(|service| service.addresses.keys().cloned()).collect()
    }

    fn input(&mut self, at: usize, input: Input) {
        if let Some(waiting) = self.frozen.get_mut(&at) {
            waiting.push_back(input);
            return;
        }
        for output in self.processes[at].handle(self.now, input) {
            match output {
                Output::Announced(ticket, result) => {
                    self.answers.insert(ticket, result);
                }
                Output::Send(to, _, frame) => {
                    let to = self.ids.iter().position(|id| *id == to).unwrap();
                    if !self.cut.contains(&at) && !self.cut.contains(&to) {
                        let bytes = Envelope { frame, stamp: Stamp::default() }.encode().unwrap();
                        self.frames.push_back((self.now + STEP, at, to, bytes));
                    }
                }
                _ => (),
            }
        }
    }
}
