//! Agents over the quorum log: replicas crash, entries restart and links are cut.

use std::collections::BTreeMap;
use std::time::Duration;

use hemlockfield::claim::Agent;
use hemlockfield::claim::Answer;
use hemlockfield::claim::Batcher;
use hemlockfield::claim::Command;
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
use hemlockfield::id::Index;
use hemlockfield::id::NodeId;
use hemlockfield::quorum;
use hemlockfield::quorum::Membership;
use hemlockfield::quorum::Recovered;
use hemlockfield::quorum::Replica;
use hemlockfield::quorum::Setup;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use super::cluster::ms;

const CONTROLS: [&str; 3] = ["c0", "c1", "c2"];
const ENTRIES: [&str; 3] = ["a", "b", "c"];
/// Number of log entries after which a replica takes a snapshot.
const SNAPSHOT_EVERY: Index = 20;
const STEP: Duration = Duration::from_millis(5);

#[derive(Deserialize, Serialize)]
enum Wire {
    Claim(Message),
    Quorum(quorum::Message),
}

/// Control VM; its disk survives a crash and syncs at once.
struct Control {
    batcher: Batcher,
    disk: Recovered,
    in_flight: Option<u64>,
    ledger: Ledger,
    replica: Option<Replica>,
    tickets: u64,
}

struct ReplicatedCluster {
    agents: BTreeMap<NodeId, Agent>,
    controls: BTreeMap<NodeId, Control>,
    granted: BTreeMap<Ticket, NodeId>,
    holders: BTreeMap<u64, Ticket>,
    keys: BTreeMap<Ticket, u64>,
    net: Net,
    now: Moment,
    random: ChaCha8Rng,
    responses: BTreeMap<Ticket, Option<Answer>>,
}

impl ReplicatedCluster {
    fn new(seed: u64) -> Self {
        let conditions =
            Conditions { loss: 0.05, duplication: 0.05, delay_min: ms(1), delay_max: ms(20) };
        let control = || Control {
            batcher: Batcher::default(),
            disk: Recovered::default(),
            in_flight: None,
            ledger: Ledger::new(Limits::default()),
            replica: None,
            tickets: 0,
        };
        let mut cluster = Self {
            agents: BTreeMap::new(),
            controls: CONTROLS.iter().map(|id| (NodeId::from(*id), control())).collect(),
            granted: BTreeMap::new(),
            holders: BTreeMap::new(),
            keys: BTreeMap::new(),
            net: Net::new(seed, conditions),
            now: ms(5),
            random: ChaCha8Rng::seed_from_u64(seed),
            responses: BTreeMap::new(),
        };
        CONTROLS.iter().for_each(|id| cluster.start_control(id));
        ENTRIES.iter().for_each(|id| cluster.start_entry(id));
        cluster.run(ms(5_000));
        cluster
    }

    fn start_control(&mut self, id: &str) {
        let seed = self.random.random();
        let Some(control) = self.controls.get_mut(id) else { return };
        let founders = Some(Membership::founding(CONTROLS.map(NodeId::from)));
        let setup = Setup { founders, ..Setup::new(id.into()) };
        control.replica = Some(Replica::new(setup, control.disk.clone(), seed));
        control.ledger = Ledger::new(Limits::default());
        control.batcher.clear();
        control.in_flight = None;
    }

    fn start_entry(&mut self, id: &str) {
        let incarnation = self.now.as_millis() as u64;
        self.agents.insert(id.into(), Agent::new(self.now, id.into(), incarnation));
        self.granted.retain(|_, entry| entry != id);
        self.agent(id, Input::Controls(CONTROLS.map(NodeId::from).to_vec()));
    }

    fn begin(&mut self, entry: &str, ticket: Ticket, key: u64) {
        let slot = Slot {
            caller: "yard".into(),
            key: key.to_string().into(),
            service: "cert-office".into(),
        };
        let request = Request { digest: 7, limit: Duration::from_secs(20), slot };
        self.keys.insert(ticket, key);
        let deadline = self.now + ms(3_000);
        self.agent(entry, Input::Begin { deadline, request, ticket });
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            while let Some(delivery) = self.net.receive(self.now) {
                self.deliver(delivery.from, &delivery.to, &delivery.bytes);
            }
            CONTROLS.iter().for_each(|id| self.tick(id));
            ENTRIES.iter().for_each(|id| self.agent(id, Input::Tick));
        }
    }

    fn deliver(&mut self, from: NodeId, to: &NodeId, bytes: &[u8]) {
        match postcard::from_bytes(bytes).unwrap() {
            Wire::Claim(Message::Submit(actions)) => {
                let control = self.controls.get_mut(to).unwrap();
                let Some(replica) = &control.replica else { return };
                if replica.leader() == Some(to) {
                    control.batcher.push(&from, actions);
                } else {
                    let message = Message::Redirect(replica.leader().cloned());
                    self.send(to, &from, &Wire::Claim(message));
                }
            }
            Wire::Claim(message) => self.agent(to, Input::Receive { from, message }),
            Wire::Quorum(message) => self.quorum(to, quorum::Input::Receive { from, message }),
        }
    }

    fn tick(&mut self, id: &str) {
        self.quorum(id, quorum::Input::Tick);
        let at = Duration::from_secs(1_000_000) + self.now;
        let Some(control) = self.controls.get_mut(id).filter(|control| control.in_flight.is_none())
        else {
            return;
        };
        if control.replica.is_none() {
            return;
        }
        let Some(command) = control.batcher.take() else { return };
        control.tickets += 1;
        control.in_flight = Some(control.tickets);
        let command = postcard::to_stdvec(&(at, command)).unwrap();
        let ticket = control.tickets;
        self.quorum(id, quorum::Input::Propose { command, ticket });
    }

    fn quorum(&mut self, id: &str, input: quorum::Input) {
        let Some(control) = self.controls.get_mut(id) else { return };
        let Some(replica) = &mut control.replica else { return };
        for output in replica.handle(self.now, input) {
            self.carry_out(id, output);
        }
    }

    fn carry_out(&mut self, id: &str, output: quorum::Output) {
        let control = self.controls.get_mut(id).unwrap();
        match output {
            quorum::Output::Persist { number, records } => {
                records.into_iter().for_each(|record| control.disk.apply(record));
                self.quorum(id, quorum::Input::Synced { number });
            }
            quorum::Output::Commit { command, index, .. } => self.apply(id, index, &command),
            quorum::Output::Install { snapshot } => {
                control.ledger = Ledger::decode(&snapshot.bytes).unwrap();
            }
            quorum::Output::Send { message, to } => {
                self.send(&id.into(), &to, &Wire::Quorum(message));
            }
            quorum::Output::Accepted { .. }
            | quorum::Output::Refused { .. }
            | quorum::Output::Uncertain { .. } => {
                control.in_flight = None;
            }
            quorum::Output::SteppedDown { .. } => control.batcher.clear(),
            _ => {}
        }
    }

    fn apply(&mut self, id: &str, index: Index, command: &[u8]) {
        let (at, command) = postcard::from_bytes::<(Epoch, Command)>(command).unwrap();
        let control = self.controls.get_mut(id).unwrap();
        let replies = control.ledger.apply(at, command.clone());
        let leads = control
            .replica
            .as_ref()
            .is_some_and(|replica| replica.leader().is_some_and(|leader| leader == id));
        let bytes = index.is_multiple_of(SNAPSHOT_EVERY).then(|| control.ledger.encode().unwrap());
        if leads {
            for (to, message) in Batcher::receipts(&command, replies) {
                self.send(&id.into(), &to, &Wire::Claim(message));
            }
        }
        if let Some(bytes) = bytes {
            self.quorum(id, quorum::Input::Snapshot { bytes, index });
        }
    }

    fn send(&mut self, from: &NodeId, to: &NodeId, wire: &Wire) {
        self.net.send(self.now, from, to, postcard::to_stdvec(wire).unwrap());
    }

    fn agent(&mut self, entry: &str, input: Input) {
        let Some(agent) = self.agents.get_mut(entry) else { return };
        for output in agent.handle(self.now, input) {
            match output {
                Output::Answer { answer, ticket } => {
                    drop(self.responses.insert(ticket, Some(answer)));
                }
                Output::Granted(ticket) => self.grant(entry, ticket),
                Output::Refused { ticket, .. } => drop(self.responses.insert(ticket, None)),
                Output::Send { message, to } => {
                    self.send(&entry.into(), &to, &Wire::Claim(message));
                }
            }
        }
    }

    /// Checks that no other claim holds the key; only an abandon frees it.
    fn grant(&mut self, entry: &str, ticket: Ticket) {
        let holder = self.holders.insert(self.keys[&ticket], ticket);
        assert_eq!(
            holder, None,
            "key {} was granted again, to ticket {ticket}",
            self.keys[&ticket]
        );
        self.granted.insert(ticket, entry.into());
    }

    /// One random step: a request, its end, a crash, a restart or a change of the network.
    fn random_step(&mut self, ticket: Ticket) {
        let entry = *ENTRIES.choose(&mut self.random).unwrap();
        let control = *CONTROLS.choose(&mut self.random).unwrap();
        let key = self.random.random_range(0..ticket / 4 + 1);
        match self.random.random_range(0..20) {
            0 => self.start_entry(entry),
            1 => self.controls.get_mut(control).unwrap().replica = None,
            2 | 3 => CONTROLS.iter().for_each(|id| self.restart_control(id)),
            4 => self.net.cut(&entry.into(), &control.into()),
            5 => self.net.cut(&control.into(), &entry.into()),
            6 => self.net.cut(&control.into(), &CONTROLS[(ticket % 3) as usize].into()),
            7 | 8 => self.net.heal_all(),
            9..=12 => self.end_request(),
            _ => self.begin(entry, ticket, key),
        }
        let pause = self.random.random_range(0..800);
        self.run(ms(pause));
    }

    fn restart_control(&mut self, id: &str) {
        if self.controls[id].replica.is_none() {
            self.start_control(id);
        }
    }

    /// Ends one granted request, or abandons it as not run.
    fn end_request(&mut self) {
        let Some((ticket, entry)) = self.granted.pop_first() else { return };
        if self.random.random_bool(0.3) {
            self.holders.remove(&self.keys[&ticket]);
            self.agent(&entry, Input::Abandon(ticket));
        } else {
            self.agent(&entry, Input::Finish { outcome: Outcome::ran(201, None), ticket });
        }
    }
}

/// Callers resend requests with keys through three entries, while control VMs crash and
/// restart, entries restart, and links are cut in one or both directions. No key may be
/// granted twice without an abandon by its holder, which is checked at each grant. After the
/// faults end, a new key is granted, and a resend of each held key gets an answer instead of
/// a refusal as not run.
#[test]
fn begin_over_replicated_log() {
    for seed in 0..30 {
        let mut cluster = ReplicatedCluster::new(seed);
        (1..=80).for_each(|ticket| cluster.random_step(ticket));
        cluster.net.heal_all();
        CONTROLS.iter().for_each(|id| cluster.restart_control(id));
        cluster.run(ms(15_000));
        cluster.begin("a", 1_000, 1_000);
        let held = cluster.holders.keys().copied().collect::<Vec<_>>();
        (1_001..).zip(&held).for_each(|(ticket, key)| cluster.begin("b", ticket, *key));
        cluster.run(ms(3_000));
        assert!(cluster.granted.contains_key(&1_000), "seed {seed}");
        let answered = |ticket| matches!(cluster.responses.get(&ticket), Some(Some(_)));
        assert!((1_001..).zip(&held).all(|(ticket, _)| answered(ticket)), "seed {seed}");
    }
}
