//! Bytes that a leader holds for followers that are behind.

use std::collections::VecDeque;
use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::id::Index;
use hemlockfield::id::NodeId;
use hemlockfield::quorum::Body;
use hemlockfield::quorum::Input;
use hemlockfield::quorum::Limits;
use hemlockfield::quorum::Membership;
use hemlockfield::quorum::Message;
use hemlockfield::quorum::Output;
use hemlockfield::quorum::Recovered;
use hemlockfield::quorum::Replica;
use hemlockfield::quorum::Role;
use hemlockfield::quorum::Setup;

const COMMAND_BYTES: usize = 100 << 10;
const COMMANDS: usize = 35;
const STEP: Duration = Duration::from_millis(20);

/// Three replicas, of which the third one hears nothing until it is connected.
struct Trio {
    now: Moment,
    replicas: Vec<Replica>,
    /// What the third replica is sent, while it is cut off.
    unheard: Vec<Message>,
}

impl Trio {
    fn new() -> Self {
        let founders = Membership::founding([name(0), name(1), name(2)]);
        let replica = |at: usize| {
            let setup = Setup { founders: Some(founders.clone()), ..Setup::new(name(at)) };
            Replica::new(setup, Recovered::default(), at as u64)
        };
        let replicas = (0..3).map(replica).collect();
        let mut trio = Self { now: Moment::ZERO, replicas, unheard: Vec::new() };
        for _ in 0..200 {
            trio.now += STEP;
            trio.input(0, Input::Tick);
            trio.input(1, Input::Tick);
        }
        trio.unheard.clear();
        trio
    }

    /// Handles an input at one replica and all that follows at the two that are connected.
    fn input(&mut self, at: usize, input: Input) {
        let mut inputs = VecDeque::from([(at, input)]);
        while let Some((at, input)) = inputs.pop_front() {
            for output in self.replicas[at].handle(self.now, input) {
                match output {
                    Output::Persist { number, .. } => {
                        inputs.push_back((at, Input::Synced { number }));
                    }
                    Output::Send { to, message } if to == name(2) => self.unheard.push(message),
                    Output::Send { to, message } => {
                        let to = if to == name(0) { 0 } else { 1 };
                        inputs.push_back((to, Input::Receive { from: name(at), message }));
                    }
                    _ => (),
                }
            }
        }
    }

    fn leader(&self) -> usize {
        let is_leader = |at: &usize| self.replicas[*at].status(self.now).role == Role::Leader;
        (0..2).find(is_leader).expect("a leader")
    }

    /// Answers of the third replica to what the leader sends it, once only.
    fn answer(&mut self, body: impl Fn(u64) -> Body) {
        let leader = self.leader();
        let sent = self.unheard.pop().expect("a message");
        let round = match sent.body {
            Body::Append { round, .. } | Body::Chunk { round, .. } => round,
            _ => 0,
        };
        self.unheard.clear();
        let message = Message { body: body(round), disk: sent.to, term: sent.term, to: sent.disk };
        self.input(leader, Input::Receive { from: name(2), message });
    }
}

fn name(at: usize) -> NodeId {
    format!("c{}", at + 1).into()
}

fn bytes(messages: &[Message]) -> usize {
    let commands = messages.iter().map(|message| match &message.body {
        Body::Append { entries, .. } => entries.len() * COMMAND_BYTES,
        _ => 0,
    });
    commands.sum()
}

// A leader sent a follower that was behind all that it lacked at once; with large commands and some
// followers this was more than the leader's memory.
#[test]
fn send_entries_follower_behind() {
    let mut trio = Trio::new();
    let leader = trio.leader();
    for ticket in 0..COMMANDS as u64 {
        trio.input(leader, Input::Propose { ticket, command: vec![0; COMMAND_BYTES] });
        trio.now += STEP;
    }
    trio.unheard.clear();
    trio.now += Duration::from_millis(300);
    trio.input(leader, Input::Tick);
    let first: Index = 1;
    trio.answer(|round| Body::Mismatch { hint: 0, prev_index: first + COMMANDS as u64, round });
    while bytes(&trio.unheard) == 0 {
        trio.now += STEP;
        trio.input(leader, Input::Tick);
        if trio.unheard.iter().any(|it| matches!(it.body, Body::Append { .. })) {
            trio.answer(|round| Body::Appended { matched: first, round });
        }
    }
    let limit = Limits::default().window_bytes + 2 * COMMAND_BYTES;
    assert!(bytes(&trio.unheard) <= limit, "{} bytes in flight", bytes(&trio.unheard));
}
