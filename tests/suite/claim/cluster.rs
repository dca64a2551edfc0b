//! Simulated cluster: agents and control replicas on the fake network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hemlockfield::claim::Agent;
use hemlockfield::claim::Answer;
use hemlockfield::claim::Batcher;
use hemlockfield::claim::Input;
use hemlockfield::claim::Ledger;
use hemlockfield::claim::Limits;
use hemlockfield::claim::Message;
use hemlockfield::claim::Outcome;
use hemlockfield::claim::Output;
use hemlockfield::claim::Request;
use hemlockfield::claim::Slot;
use hemlockfield::claim::Ticket;
use hemlockfield::clock::Epoch;
use hemlockfield::clock::Moment;
use hemlockfield::fake::Conditions;
use hemlockfield::fake::Net;
use hemlockfield::id::NodeId;

pub(super) const CLAIM_LIMIT: Duration = Duration::from_secs(30);
const EPOCH: Epoch = Duration::from_secs(1_000_000);
const CONTROLS: [&str; 3] = ["c0", "c1", "c2"];

pub(super) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Response of an agent to a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Response {
    Answer(Answer),
    Granted,
    Refused,
}

/// Agents and three control replicas that share one ledger instead of a replicated log.
pub(super) struct Cluster {
    pub(super) agents: BTreeMap<NodeId, Agent>,
    pub(super) leader: Option<usize>,
    pub(super) net: Net,
    pub(super) now: Moment,
    pub(super) responses: BTreeMap<(NodeId, Ticket), Response>,
    abandoned: BTreeSet<(NodeId, Ticket)>,
    batcher: Batcher,
    grants: BTreeMap<NodeId, Vec<(NodeId, Ticket)>>,
    keys: BTreeMap<(NodeId, Ticket), NodeId>,
    ledger: Ledger,
}

impl Cluster {
    pub(super) fn new(seed: u64, conditions: Conditions) -> Self {
        let mut cluster = Self {
            abandoned: BTreeSet::new(),
            agents: BTreeMap::new(),
            batcher: Batcher::default(),
            grants: BTreeMap::new(),
            keys: BTreeMap::new(),
            leader: Some(0),
            ledger: Ledger::new(Limits::default()),
            net: Net::new(seed, conditions),
            now: ms(10),
            responses: BTreeMap::new(),
        };
        ["a", "b", "c"].into_iter().for_each(|entry| cluster.start(entry, 1));
        cluster
    }

    /// Starts the process of an entry; an earlier process of that name loses its state.
    pub(super) fn start(&mut self, entry: &str, incarnation: u64) {
        let agent = Agent::new(self.now, entry.into(), incarnation);
        self.agents.insert(entry.into(), agent);
        self.input(entry, Input::Controls(CONTROLS.map(NodeId::from).to_vec()));
    }

    pub(super) fn kill(&mut self, entry: &str) {
        self.agents.remove(entry);
    }

    pub(super) fn begin(&mut self, entry: &str, ticket: Ticket, key: &str) {
        self.begin_by(entry, ticket, key, self.now + ms(5_000));
    }

    pub(super) fn begin_by(&mut self, entry: &str, ticket: Ticket, key: &str, deadline: Moment) {
        let request = self.request(key);
        self.keys.insert((entry.into(), ticket), key.into());
        self.input(entry, Input::Begin { deadline, request, ticket });
    }

    pub(super) fn request(&self, key: &str) -> Request {
        let slot = Slot { caller: "yard".into(), key: key.into(), service: "cert-office".into() };
        Request { digest: 7, limit: CLAIM_LIMIT, slot }
    }

    pub(super) fn finish(&mut self, entry: &str, ticket: Ticket) {
        self.input(entry, Input::Finish { outcome: Outcome::ran(201, None), ticket });
    }

    /// Reports that a granted request provably did not run.
    pub(super) fn abandon(&mut self, entry: &str, ticket: Ticket) {
        self.abandoned.insert((entry.into(), ticket));
        self.input(entry, Input::Abandon(ticket));
    }

    pub(super) fn response(&self, entry: &str, ticket: Ticket) -> Option<&Response> {
        self.responses.get(&(entry.into(), ticket))
    }

    /// Resends a request through an entry and returns the response.
    pub(super) fn resend(&mut self, entry: &str, ticket: Ticket, key: &str) -> Response {
        self.begin(entry, ticket, key);
        self.run(ms(3_000));
        self.response(entry, ticket).unwrap().clone()
    }

    /// Cuts the links of an entry to or from all control replicas.
    pub(super) fn cut(&mut self, entry: &str, to: bool, from: bool) {
        for control in CONTROLS {
            if to {
                self.net.cut(&entry.into(), &control.into());
            }
            if from {
                self.net.cut(&control.into(), &entry.into());
            }
        }
    }

    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(1);
            while let Some(delivery) = self.net.receive(self.now) {
                let message = postcard::from_bytes::<Message>(&delivery.bytes).unwrap();
                self.deliver(delivery.from, delivery.to, message);
            }
            self.sync();
            let ids = self.agents.keys().cloned().collect::<Vec<_>>();
            ids.iter().for_each(|id| self.input(id, Input::Tick));
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        let Some(position) = CONTROLS.iter().position(|id| *id == to) else {
            self.input(&to, Input::Receive { from, message });
            return;
        };
        let Message::Submit(actions) = message else { return };
        match self.leader {
            Some(leader) if leader == position => self.batcher.push(&from, actions),
            Some(leader) => {
                self.send(&to, &from, &Message::Redirect(Some(CONTROLS[leader].into())));
            }
            None => {}
        }
    }

    /// Every 4 ms, commits and applies the actions that reached the leader.
    fn sync(&mut self) {
        let Some(leader) = self.leader.filter(|_| self.now.as_millis().is_multiple_of(4)) else {
            return;
        };
        while let Some(command) = self.batcher.take() {
            let replies = self.ledger.apply(EPOCH + self.now, command.clone());
            for (to, message) in Batcher::receipts(&command, replies) {
                self.send(&CONTROLS[leader].into(), &to, &message);
            }
        }
    }

    fn send(&mut self, from: &NodeId, to: &NodeId, message: &Message) {
        self.net.send(self.now, from, to, postcard::to_stdvec(message).unwrap());
    }

    fn input(&mut self, entry: &str, input: Input) {
        let Some(agent) = self.agents.get_mut(entry) else { return };
        for output in agent.handle(self.now, input) {
            match output {
                Output::Answer { answer, ticket } => {
                    self.respond(entry, ticket, Response::Answer(answer));
                }
                Output::Granted(ticket) => self.grant(entry, ticket),
                Output::Refused { ticket, .. } => self.respond(entry, ticket, Response::Refused),
                Output::Send { message, to } => self.send(&entry.into(), &to, &message),
            }
        }
    }

    fn respond(&mut self, entry: &str, ticket: Ticket, response: Response) {
        let before = self.responses.insert((entry.into(), ticket), response);
        assert_eq!(before, None, "ticket {ticket} of `{entry}` got two responses");
    }

    /// Checks that a key is granted once, unless every earlier holder abandoned it.
    fn grant(&mut self, entry: &str, ticket: Ticket) {
        self.respond(entry, ticket, Response::Granted);
        let holder = (entry.into(), ticket);
        let holders = self.grants.entry(self.keys[&holder].clone()).or_default();
        let abandoned = &self.abandoned;
        assert!(
            holders.iter().all(|holder| abandoned.contains(holder)),
            "{holders:?}, then {holder:?}"
        );
        holders.push(holder);
    }
}
