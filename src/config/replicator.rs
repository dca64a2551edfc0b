//! State machine of every process: the version held, and its spread.

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
use super::trail::Trail;
use super::witness::Witnesses;

/// Push of the version held.
#[derive(Clone, Debug)]
struct Push {
    at: Moment,
    known: BTreeSet<NodeId>,
    left: usize,
}

/// Request for a newer version.
#[derive(Clone, Debug)]
struct Want {
    at: Moment,
    from: NodeId,
}

/// Holds the highest committed version and spreads it; never goes back.
///
/// Versions come from the log of a control replica or from a peer, which holds
/// only committed ones itself. So a higher number is always newer, from whoever
/// it comes, and a stale control replica or peer can only offer a lower one.
#[derive(Clone, Debug)]
pub struct Replicator {
    ask: u64,
    ask_at: Moment,
    current: Option<Version>,
    digest_at: Moment,
    head: Option<Head>,
    heard_at: Moment,
    leads: bool,
    me: NodeId,
    peers: BTreeMap<NodeId, Peer>,
    push: Option<Push>,
    random: ChaCha8Rng,
    settings: Settings,
    sources: BTreeMap<NodeId, Head>,
    splits: u64,
    standing: Standing,
    started_at: Moment,
    trail: Trail,
    want: Option<Want>,
    want_whole: bool,
    whole_at: Moment,
    witnesses: Witnesses,
}

impl Replicator {
    /// Replicator of a process that starts now. `kept` is what its disk holds, if it
    /// has one; the driver puts that in force itself.
    pub fn new(
        now: Moment,
        me: NodeId,
        settings: Settings,
        kept: Option<Version>,
        mut random: ChaCha8Rng,
    ) -> Self {
        Self {
            ask: random.random(),
            ask_at: now,
            digest_at: now + settings.digest_period,
            head: kept.as_ref().map(Version::head),
            current: kept,
            heard_at: now,
            leads: false,
            me,
            peers: BTreeMap::new(),
            push: None,
            random,
            settings,
            sources: BTreeMap::new(),
            splits: 0,
            standing: Standing::Starting,
            started_at: now,
            trail: Trail::default(),
            want: None,
            want_whole: false,
            whole_at: now,
            witnesses: Witnesses::default(),
        }
    }

    /// Takes an event and tells what to do.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Committed(version) => self.commit(now, version, &mut outputs),
            Input::Leads(leads) => self.leads = leads,
            Input::Peers(peers) => self.set_peers(peers),
            Input::Receive { from, message } => self.receive(now, from, message, &mut outputs),
            Input::Tick => {}
        }
        self.stand(now, &mut outputs);
        self.run_timers(now, &mut outputs);
        outputs
    }

    /// When the next [`Input::Tick`] is due.
    pub fn next_at(&self) -> Moment {
        let mut at = self.digest_at;
        if self.standing == Standing::Starting {
            at = at.min(self.ask_at);
        }
        if let Some(push) = &self.push {
            at = at.min(push.at);
        }
        if let Some(want) = &self.want {
            at = at.min(want.at + self.settings.retry);
        }
        at
    }

    /// The version held.
    pub fn current(&self) -> Option<&Version> {
        self.current.as_ref()
    }

    /// Short form of the version held.
    pub fn head(&self) -> Option<Head> {
        self.head
    }

    /// How often another document was seen under the number held. Anything but
    /// zero means that control was set up anew over a fleet that still ran.
    pub fn splits(&self) -> u64 {
        self.splits
    }

    /// What the process may do with callers.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    fn set_peers(&mut self, peers: Vec<Peer>) {
        let others = peers.into_iter().filter(|peer| peer.id != self.me);
        self.peers = others.map(|peer| (peer.id.clone(), peer)).collect();
    }

    fn commit(&mut self, now: Moment, version: Version, outputs: &mut Vec<Output>) {
        if !self.is_newer(version.head()) {
            return;
        }
        match &self.current {
            Some(base) => self.trail.push(Patch::between(base, &version)),
            None => self.trail.clear(),
        }
        self.hold(now, version, None, outputs);
    }

    fn receive(&mut self, now: Moment, from: NodeId, message: Message, outputs: &mut Vec<Output>) {
        self.heard_at = now;
        match message {
            Message::Answer { ask, head, leads, standing } => {
                self.take_answer(now, from, ask, start::Answer { head, leads, standing }, outputs);
            }
            Message::Ask(ask) => self.answer(from, ask, outputs),
            Message::Digest(head) => self.compare(now, from, head, outputs),
            Message::Offer(head) => self.consider(now, from, head, outputs),
            Message::Patches(patches) => self.take_patches(now, from, &patches, outputs),
            Message::Want(base) => self.serve(now, from, base, outputs),
            Message::Whole(version) => self.take_whole(now, from, version, outputs),
        }
    }

    /// The only place where the version held changes, and only upwards.
    fn hold(
        &mut self,
        now: Moment,
        version: Version,
        from: Option<NodeId>,
        outputs: &mut Vec<Output>,
    ) {
        let head = version.head();
        self.head = Some(head);
        self.current = Some(version.clone());
        self.want = None;
        self.want_whole = false;
        let known =
            self.sources.iter().filter(|(_, theirs)| **theirs >= head).map(|(id, _)| id.clone());
        let known = known.chain(from).collect();
        self.sources.retain(|_, theirs| *theirs > head);
        outputs.push(Output::Apply(version));
        if self.standing.serves() || self.leads {
            self.push = Some(Push { at: now, known, left: self.settings.fanout });
        }
    }

    fn is_newer(&mut self, head: Head) -> bool {
        let Some(held) = self.head else { return true };
        if head.number == held.number && head.hash != held.hash {
            self.splits += 1;
        }
        head.number > held.number
    }

    fn run_timers(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.run_push(now, outputs);
        self.run_want(now, outputs);
        if self.standing == Standing::Starting {
            self.run_ask(now, outputs);
        }
        self.run_digest(now, outputs);
    }
}
