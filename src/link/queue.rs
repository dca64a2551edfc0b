//! Bounded queue of frames for one peer.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;

/// Frames kept at most.
const FRAME_LIMIT: usize = 256;

/// Bounded queue of frames, which drops the oldest: a newer heartbeat or digest
/// says all that the older one said.
#[derive(Debug)]
pub(super) struct Queue {
    byte_limit: usize,
    bell: (Sender<()>, Receiver<()>),
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    bytes: usize,
    dropped: u64,
    frames: VecDeque<(Instant, Vec<u8>)>,
}

impl Queue {
    /// Queue of at most this many bytes; a frame larger than that passes alone.
    pub(super) fn new(byte_limit: usize) -> Self {
        Self { byte_limit, bell: channel::bounded(1), state: Mutex::default() }
    }

    /// Adds a frame; never waits.
    pub(super) fn push(&self, frame: Vec<u8>) {
        let mut state = self.state();
        state.bytes += frame.len();
        state.frames.push_back((Instant::now(), frame));
        while state.frames.len() > 1
            && (state.frames.len() > FRAME_LIMIT || state.bytes > self.byte_limit)
        {
            state.drop_first();
        }
        drop(state);
        // A full bell rings already.
        let _ = self.bell.0.try_send(());
    }

    /// Waits for a frame; `None` when the queue was closed.
    pub(super) async fn wait(&self) -> Option<()> {
        while self.is_empty() {
            self.bell.1.recv().await.ok()?;
        }
        (!self.bell.0.is_closed()).then_some(())
    }

    /// Drops frames older than `age`; true when others are left.
    pub(super) fn refresh(&self, age: Duration) -> bool {
        let mut state = self.state();
        while state.frames.front().is_some_and(|(at, _)| at.elapsed() > age) {
            state.drop_first();
        }
        !state.frames.is_empty()
    }

    /// Takes the first frame.
    pub(super) fn pop(&self) -> Option<Vec<u8>> {
        let mut state = self.state();
        let (_, frame) = state.frames.pop_front()?;
        state.bytes -= frame.len();
        Some(frame)
    }

    /// Counts a frame that was lost after it left the queue.
    pub(super) fn note_lost(&self) {
        self.state().dropped += 1;
    }

    /// Ends the waiting.
    pub(super) fn close(&self) {
        self.bell.0.close();
    }

    /// Frames dropped or lost.
    pub(super) fn dropped(&self) -> u64 {
        self.state().dropped
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Frames that wait.
    pub(super) fn len(&self) -> usize {
        self.state().frames.len()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn drop_first(&mut self) {
        if let Some((_, frame)) = self.frames.pop_front() {
            self.bytes -= frame.len();
            self.dropped += 1;
        }
    }
}
