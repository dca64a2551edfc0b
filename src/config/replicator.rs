//! State machine that runs in every process, keeps the latest version and passes it on.

mod fetch;
mod spread;
mod start;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::id::NodeId;

use super::Head;
use super::Input;
use super::Message;
use super::Output;
use super::Patch;
use super::Peer;
use super::Settings;
use super::Standing;
use super::Version;
use super::history::History;
use super::peer_answer::PeerAnswers;

/// An ongoing push of the version held.
#[derive(Clone, Debug)]
struct Push {
    at: Moment,
    known: BTreeSet<NodeId>,
    remaining: usize,
}

/// A request for a newer version that has not been answered.
#[derive(Clone, Debug)]
struct Request {
    at: Moment,
    from: NodeId,
}

/// Keeps the highest committed version and passes it on; never returns to a lower one.
///
/// Versions come from the log of a control replica or from a peer, which itself holds
/// only committed ones. A higher number is therefore always newer, whatever its source,
/// and a stale control replica or peer can only offer a lower one.
#[derive(Clone, Debug)]
pub struct Replicator {
    ask_id: u64,
    next_ask_at: Moment,
    current: Option<Version>,
    next_digest_at: Moment,
    head: Option<Head>,
    last_heard_at: Moment,
    is_leader: bool,
    own_id: NodeId,
    peers: BTreeMap<NodeId, Peer>,
    push: Option<Push>,
    random: ChaCha8Rng,
    settings: Settings,
    sources: BTreeMap<NodeId, Head>,
    hash_conflicts: u64,
    standing: Standing,
    started_at: Moment,
    history: History,
    request: Option<Request>,
    needs_document: bool,
    next_document_at: Moment,
    peer_answers: PeerAnswers,
}

impl Replicator {
    /// Creates the replicator of a process that starts now. `kept` is the version on its
    /// disk, if there is one; the driver puts that in force itself.
    pub fn new(
        now: Moment,
        own_id: NodeId,
        settings: Settings,
        kept: Option<Version>,
        mut random: ChaCha8Rng,
    ) -> Self {
        Self {
            ask_id: random.random(),
            next_ask_at: now,
            next_digest_at: now + settings.digest_period,
            head: kept.as_ref().map(Version::head),
            current: kept,
            last_heard_at: now,
            is_leader: false,
            own_id,
            peers: BTreeMap::new(),
            push: None,
            random,
            settings,
            sources: BTreeMap::new(),
            hash_conflicts: 0,
            standing: Standing::Starting,
            started_at: now,
            history: History::default(),
            request: None,
            needs_document: false,
            next_document_at: now,
            peer_answers: PeerAnswers::default(),
        }
    }

    /// Handles an event and returns the effects that the driver has to carry out.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Committed(version) => self.commit(now, version, &mut outputs),
            Input::Leads(leads) => self.is_leader = leads,
            Input::Peers(peers) => self.set_peers(peers),
            Input::Receive { from, message } => self.receive(now, from, message, &mut outputs),
            Input::Tick => {}
        }
        self.update_standing(now, &mut outputs);
        self.run_timers(now, &mut outputs);
        outputs
    }

    /// Time at which the next [`Input::Tick`] is due.
    pub fn next_at(&self) -> Moment {
        let mut at = self.next_digest_at;
        if self.standing == Standing::Starting {
            at = at.min(self.next_ask_at);
        }
        if let Some(push) = &self.push {
            at = at.min(push.at);
        }
        if let Some(request) = &self.request {
            at = at.min(request.at + self.settings.request_timeout);
        }
        at
    }

    /// The version held.
    pub fn current(&self) -> Option<&Version> {
        self.current.as_ref()
    }

    /// Number and hash of the version held.
    pub fn head(&self) -> Option<Head> {
        self.head
    }

    /// How often another document was seen under the number held. Any value but zero means
    /// that control was set up from scratch while the fleet kept running.
    pub fn hash_conflicts(&self) -> u64 {
        self.hash_conflicts
    }

    /// Whether the process may serve callers.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    fn set_peers(&mut self, peers: Vec<Peer>) {
        let others = peers.into_iter().filter(|peer| peer.id != self.own_id);
        self.peers = others.map(|peer| (peer.id.clone(), peer)).collect();
    }

    fn commit(&mut self, now: Moment, version: Version, outputs: &mut Vec<Output>) {
        if !self.is_newer(version.head()) {
            return;
        }
        match &self.current {
            Some(base) => self.history.push(Patch::between(base, &version)),
            None => self.history.clear(),
        }
        self.replace_current(now, version, None, outputs);
    }

    fn receive(&mut self, now: Moment, from: NodeId, message: Message, outputs: &mut Vec<Output>) {
        self.last_heard_at = now;
        match message {
            Message::Answer { ask, head, leads, standing } => {
                self.receive_answer(
                    now,
                    from,
                    ask,
                    start::Answer { head, is_leader: leads, standing },
                    outputs,
                );
            }
            Message::Ask(ask) => self.answer_ask(from, ask, outputs),
            Message::Digest(head) => self.receive_digest(now, from, head, outputs),
            Message::Offer(head) => self.receive_offer(now, from, head, outputs),
            Message::Patches(patches) => self.receive_patches(now, from, &patches, outputs),
            Message::Want(base) => self.answer_want(now, from, base, outputs),
            Message::Whole(version) => self.receive_document(now, from, version, outputs),
        }
    }

    /// Replaces the version held. Callers have checked that `version` is newer; no other
    /// method changes the version.
    fn replace_current(
        &mut self,
        now: Moment,
        version: Version,
        from: Option<NodeId>,
        outputs: &mut Vec<Output>,
    ) {
        let head = version.head();
        self.head = Some(head);
        self.current = Some(version.clone());
        self.request = None;
        self.needs_document = false;
        let known =
            self.sources.iter().filter(|(_, theirs)| **theirs >= head).map(|(id, _)| id.clone());
        let known = known.chain(from).collect();
        self.sources.retain(|_, theirs| *theirs > head);
        outputs.push(Output::Apply(version));
        if self.standing.serves() || self.is_leader {
            self.push = Some(Push { at: now, known, remaining: self.settings.fanout });
        }
    }

    fn is_newer(&mut self, head: Head) -> bool {
        let Some(held) = self.head else { return true };
        if head.number == held.number && head.hash != held.hash {
            self.hash_conflicts += 1;
        }
        head.number > held.number
    }

    fn run_timers(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.run_push(now, outputs);
        self.run_request(now, outputs);
        if self.standing == Standing::Starting {
            self.run_ask(now, outputs);
        }
        self.run_digest(now, outputs);
    }
}
