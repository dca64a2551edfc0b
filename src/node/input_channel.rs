//! Channel of inputs to the control thread.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;

use async_std::task;

use super::Input;

/// Capacity of the channel: seconds of request outcomes at full load.
const CAPACITY: usize = 10_000;
/// Delay before [`InputSender::send`] tries again on a full channel.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Sending end. The receiving thread blocks in the kernel and not in an async reactor: on an
/// idle process that costs one wake-up per input instead of three.
#[derive(Clone, Debug)]
pub struct InputSender {
    sender: mpsc::Sender<Input>,
    waiting: Arc<AtomicUsize>,
}

/// Receiving end.
#[derive(Debug)]
pub(crate) struct InputReceiver {
    receiver: mpsc::Receiver<Input>,
    waiting: Arc<AtomicUsize>,
}

/// Reason why an input was not sent.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The control thread has ended.
    Closed,
    /// The channel is full; the input is returned.
    Full(Box<Input>),
}

impl InputSender {
    pub(crate) fn new() -> (Self, InputReceiver) {
        let (sender, receiver) = mpsc::channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        (Self { sender, waiting: Arc::clone(&waiting) }, InputReceiver { receiver, waiting })
    }

    /// Sends an input unless the channel is full.
    pub(crate) fn try_send(&self, input: Input) -> Result<(), SendError> {
        if self.waiting.load(Ordering::Relaxed) >= CAPACITY {
            return Err(SendError::Full(Box::new(input)));
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        self.sender.send(input).map_err(|_| SendError::Closed)
    }

    /// Sends an input, waiting while the channel is full. Returns `false` if the control thread
    /// has ended.
    pub(crate) async fn send(&self, input: Input) -> bool {
        let mut next = input;
        loop {
            match self.try_send(next) {
                Ok(()) => return true,
                Err(SendError::Closed) => return false,
                Err(SendError::Full(input)) => next = *input,
            }
            task::sleep(RETRY_DELAY).await;
        }
    }
}

impl InputReceiver {
    /// Waits for the next input; `None` after `wait`, and an error once all senders are gone.
    pub(crate) fn receive(&self, wait: Duration) -> Result<Option<Input>, ()> {
        match self.receiver.recv_timeout(wait) {
            Ok(input) => Ok(Some(self.release_slot(input))),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err(()),
        }
    }

    /// Returns the next input if there is one.
    pub(crate) fn try_receive(&self) -> Option<Input> {
        self.receiver.try_recv().ok().map(|input| self.release_slot(input))
    }

    fn release_slot(&self, input: Input) -> Input {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        input
    }
}
