//! State machine of every process: the version held, and its spread.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;
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
use super::witness::Witness;
use super::witness::Witnesses;

/// Least time between two whole documents sent, so that a fleet that starts as a
/// whole can't queue hundreds of megabytes at one process; who gets none asks
/// another one, and there are twice as many after each second.
const WHOLE_GAP: Duration = Duration::from_millis(250);
/// Peers without a role in control that a starting process asks at a time.
const ASKED: usize = 5;
/// Known sources of a newer version that are remembered.
const SOURCE_LIMIT: usize = 16;

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
pub struct Holder {
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

impl Holder {
    /// Holder of a process that starts now. `kept` is what its disk holds, if it
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
                self.take_answer(now, from, ask, Answer { head, leads, standing }, outputs);
            }
            Message::Ask(ask) => self.answer(from, ask, outputs),
            Message::Digest(head) => self.compare(now, from, head, outputs),
            Message::Offer(head) => self.consider(now, from, head, outputs),
            Message::Patches(patches) => self.take_patches(now, from, &patches, outputs),
            Message::Want(base) => self.serve(now, from, base, outputs),
            Message::Whole(version) => self.take_whole(now, from, version, outputs),
        }
    }

    fn answer(&self, to: NodeId, ask: u64, outputs: &mut Vec<Output>) {
        let message =
            Message::Answer { ask, head: self.head, leads: self.leads, standing: self.standing };
        outputs.push(Output::Send { message, to });
    }

    /// Notes an answer to this process's own question. The number of the question
    /// keeps out an answer that was given before a restart, and may be older than
    /// what the process held since.
    fn take_answer(
        &mut self,
        now: Moment,
        from: NodeId,
        ask: u64,
        answer: Answer,
        outputs: &mut Vec<Output>,
    ) {
        if ask != self.ask {
            return;
        }
        let domain = self.peers.get(&from).map(|peer| peer.domain.clone()).unwrap_or_default();
        let Answer { head, leads, standing } = answer;
        self.witnesses.insert(from.clone(), Witness { domain, head, leads, standing });
        if let Some(head) = head {
            self.consider(now, from, head, outputs);
        }
    }

    fn compare(
        &mut self,
        now: Moment,
        from: NodeId,
        theirs: Option<Head>,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(head) = theirs {
            self.consider(now, from.clone(), head, outputs);
        }
        if theirs < self.head {
            self.bring(from, theirs, outputs);
        }
    }

    /// Notes what a peer holds, and asks for it if it is newer.
    fn consider(&mut self, now: Moment, from: NodeId, head: Head, outputs: &mut Vec<Output>) {
        if Some(head) >= self.head {
            self.note_known(&from);
        }
        if !self.is_newer(head) {
            return;
        }
        if self.sources.len() < SOURCE_LIMIT {
            self.sources.insert(from, head);
        }
        if self.want.is_none() {
            self.request(now, outputs);
        }
    }

    fn note_known(&mut self, peer: &NodeId) {
        if let Some(push) = &mut self.push {
            push.known.insert(peer.clone());
        }
    }

    fn request(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some((from, _)) = self.sources.iter().choose(&mut self.random) else { return };
        let to = from.clone();
        let base = if self.want_whole { None } else { self.head };
        outputs.push(Output::Send { message: Message::Want(base), to: to.clone() });
        self.want = Some(Want { at: now, from: to });
    }

    fn take_patches(
        &mut self,
        now: Moment,
        from: NodeId,
        patches: &[Patch],
        outputs: &mut Vec<Output>,
    ) {
        let Some(last) = patches.last() else { return };
        if !self.is_newer(last.head) {
            self.note_known(&from);
            return;
        }
        match self.patched(patches) {
            Some(version) => {
                let newer = patches.iter().filter(|patch| Some(patch.head) > self.head);
                newer.for_each(|patch| self.trail.push(patch.clone()));
                self.hold(now, version, Some(from), outputs);
            }
            None => self.consider(now, from, last.head, outputs),
        }
    }

    fn patched(&mut self, patches: &[Patch]) -> Option<Version> {
        let mut version = self.current.clone()?;
        for patch in patches.iter().filter(|patch| Some(patch.head) > self.head) {
            if patch.base.number != version.number {
                return None;
            }
            match patch.apply(&version) {
                Ok(next) => version = next,
                Err(_) => {
                    self.want_whole = true;
                    return None;
                }
            }
        }
        Some(version)
    }

    fn take_whole(
        &mut self,
        now: Moment,
        from: NodeId,
        version: Version,
        outputs: &mut Vec<Output>,
    ) {
        if self.is_newer(version.head()) {
            self.trail.clear();
            self.hold(now, version, Some(from), outputs);
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

    /// Brings a peer up to date that was seen to be behind.
    fn bring(&self, to: NodeId, base: Option<Head>, outputs: &mut Vec<Output>) {
        let Some(head) = self.head else { return };
        let patches = base.and_then(|base| self.trail.since(base));
        let small = patches.filter(|patches| self.is_small(patches));
        let message = small.map_or(Message::Offer(head), Message::Patches);
        outputs.push(Output::Send { message, to });
    }

    fn is_small(&self, patches: &[Patch]) -> bool {
        patches.iter().map(Patch::size).sum::<usize>() <= self.settings.push_bytes
    }

    fn serve(&mut self, now: Moment, to: NodeId, base: Option<Head>, outputs: &mut Vec<Output>) {
        let Some(version) = &self.current else { return };
        if base >= self.head {
            return;
        }
        if let Some(patches) = base.and_then(|base| self.trail.since(base)) {
            outputs.push(Output::Send { message: Message::Patches(patches), to });
            return;
        }
        if now < self.whole_at {
            return;
        }
        self.whole_at = now + WHOLE_GAP;
        outputs.push(Output::Send { message: Message::Whole(version.clone()), to });
    }

    fn run_timers(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.run_push(now, outputs);
        self.run_want(now, outputs);
        if self.standing == Standing::Starting {
            self.run_ask(now, outputs);
        }
        self.run_digest(now, outputs);
    }

    fn run_push(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some(mut push) = self.push.take_if(|push| push.at <= now) else { return };
        let Some(head) = self.head else { return };
        let count = push.left.min(self.settings.push_width);
        let others = self.peers.keys().filter(|id| !push.known.contains(*id));
        for to in others.cloned().choose_multiple(&mut self.random, count) {
            push.known.insert(to.clone());
            let last = self.trail.last().filter(|patch| patch.head == head);
            self.bring(to, last.map(|patch| patch.base), outputs);
        }
        push.left -= count;
        push.at = now + self.settings.push_gap;
        self.push = Some(push).filter(|push| push.left > 0);
    }

    /// Turns to another source when one does not answer.
    fn run_want(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let retry = self.settings.retry;
        if let Some(want) = self.want.take_if(|want| want.at + retry <= now) {
            if self.sources.len() > 1 {
                self.sources.remove(&want.from);
            }
            self.request(now, outputs);
        }
    }

    fn run_ask(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.ask_at > now || self.peers.is_empty() {
            return;
        }
        self.ask_at = now + self.settings.retry;
        let (control, others): (Vec<_>, Vec<_>) =
            self.peers.values().partition(|peer| peer.control);
        let others = others.choose_multiple(&mut self.random, ASKED).copied();
        for peer in control.into_iter().chain(others) {
            outputs.push(Output::Send { message: Message::Ask(self.ask), to: peer.id.clone() });
        }
    }

    fn run_digest(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.digest_at > now {
            return;
        }
        let period = self.settings.digest_period;
        self.digest_at = now + period.mul_f64(self.random.random_range(0.5..1.5));
        if let Some(to) = self.peers.keys().choose(&mut self.random) {
            outputs.push(Output::Send { message: Message::Digest(self.head), to: to.clone() });
        }
    }

    fn stand(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let standing = self.judge(now);
        if standing != self.standing {
            self.standing = standing;
            outputs.push(Output::Stand(standing));
        }
    }

    fn judge(&self, now: Moment) -> Standing {
        if self.standing == Standing::Starting && !self.is_confirmed(now) {
            return Standing::Starting;
        }
        let silent = now.saturating_sub(self.heard_at) >= self.settings.alone_after;
        if silent && !self.leads && !self.peers.is_empty() {
            Standing::ServingAlone
        } else {
            Standing::Serving
        }
    }

    /// Whether what is held can't be older than what this process held before it
    /// started, as far as control or several peers can tell.
    ///
    /// Without it, an entry that restarts beside a stale replica would take callers
    /// by a version that it had already left. The leader of control knows all that
    /// was accepted. Peers know what reached more than this process, since a change
    /// is everywhere within `control_wait`.
    fn is_confirmed(&self, now: Moment) -> bool {
        if self.leads {
            return true;
        }
        if self.witnesses.is_empty() || self.witnesses.highest() > self.head {
            return false;
        }
        if self.witnesses.has_leader() {
            return true;
        }
        let waited = now.saturating_sub(self.started_at);
        let known = self.head.is_some();
        let by_peers =
            waited >= self.settings.control_wait && self.witnesses.suffice(&self.settings);
        known && (by_peers || waited >= self.settings.cold_wait)
    }
}

/// What a peer answered.
struct Answer {
    head: Option<Head>,
    leads: bool,
    standing: Standing,
}
