//! Bounded send queue of one peer.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;

/// Largest number of queued frames.
const MAX_FRAMES: usize = 256;

/// Bounded queue of frames that drops the oldest ones, because a newer heartbeat or digest
/// replaces an older one.
#[derive(Debug)]
pub(super) struct Queue {
    byte_limit: usize,
    wakeup: (Sender<()>, Receiver<()>),
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    bytes: usize,
    dropped: u64,
    frames: VecDeque<(Instant, Vec<u8>)>,
}

impl Queue {
    /// Creates a queue of at most `byte_limit` bytes. A larger frame is queued only by itself.
    pub(super) fn new(byte_limit: usize) -> Self {
        Self { byte_limit, wakeup: channel::bounded(1), state: Mutex::default() }
    }

    /// Adds a frame without waiting and drops the oldest frames above the limits.
    pub(super) fn push(&self, frame: Vec<u8>) {
        let mut state = self.state();
        state.bytes += frame.len();
        state.frames.push_back((Instant::now(), frame));
        while state.frames.len() > 1
            && (state.frames.len() > MAX_FRAMES || state.bytes > self.byte_limit)
        {
            state.drop_oldest();
        }
        drop(state);
        // A full channel already holds a wake-up.
        let _ = self.wakeup.0.try_send(());
    }

    /// Waits for a frame. `None` once the queue is closed.
    pub(super) async fn wait(&self) -> Option<()> {
        while self.is_empty() {
            self.wakeup.1.recv().await.ok()?;
        }
        (!self.wakeup.0.is_closed()).then_some(())
    }

    /// Drops frames older than `age`. Returns whether any are left.
    pub(super) fn drop_expired(&self, age: Duration) -> bool {
        let mut state = self.state();
        while state.frames.front().is_some_and(|(at, _)| at.elapsed() > age) {
            state.drop_oldest();
        }
        !state.frames.is_empty()
    }

    /// Removes and returns the oldest frame.
    pub(super) fn pop(&self) -> Option<Vec<u8>> {
        let mut state = self.state();
        let (_, frame) = state.frames.pop_front()?;
        state.bytes -= frame.len();
        Some(frame)
    }

    /// Counts a frame that was lost after its removal from the queue.
    pub(super) fn count_lost(&self) {
        self.state().dropped += 1;
    }

    /// Closes the queue, which ends [`Self::wait`].
    pub(super) fn close(&self) {
        self.wakeup.0.close();
    }

    /// Returns the number of frames dropped or lost.
    pub(super) fn dropped(&self) -> u64 {
        self.state().dropped
    }

    /// Whether no frame is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of queued frames.
    pub(super) fn len(&self) -> usize {
        self.state().frames.len()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn drop_oldest(&mut self) {
        if let Some((_, frame)) = self.frames.pop_front() {
            self.bytes -= frame.len();
            self.dropped += 1;
        }
    }
}
