//! The way into the control thread.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;

use async_std::task;

use super::Input;

/// Inputs that may wait for the control thread: seconds of outcomes at full load.
const ROOM: usize = 10_000;
/// Pause before an input that must not be lost is offered again to a full inbox.
const AGAIN: Duration = Duration::from_millis(5);

/// The sending end. The thread behind it sleeps in the kernel and not in a reactor: at rest
/// that costs one wake-up for each input instead of three.
#[derive(Clone, Debug)]
pub struct Inbox {
    sender: mpsc::Sender<Input>,
    waiting: Arc<AtomicUsize>,
}

/// The receiving end.
#[derive(Debug)]
pub(super) struct Outbox {
    receiver: mpsc::Receiver<Input>,
    waiting: Arc<AtomicUsize>,
}

/// Why an input was not taken.
#[derive(Debug)]
pub(super) enum Refused {
    /// The control thread has ended.
    Closed,
    /// Too many are waiting; here it is back.
    Full(Box<Input>),
}

impl Inbox {
    pub(super) fn new() -> (Self, Outbox) {
        let (sender, receiver) = mpsc::channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        (Self { sender, waiting: Arc::clone(&waiting) }, Outbox { receiver, waiting })
    }

    /// Hands an input over, if there is room.
    pub(super) fn try_send(&self, input: Input) -> Result<(), Refused> {
        if self.waiting.load(Ordering::Relaxed) >= ROOM {
            return Err(Refused::Full(Box::new(input)));
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        self.sender.send(input).map_err(|_| Refused::Closed)
    }

    /// Hands an input over as soon as there is room; whether the control thread took it.
    pub(super) async fn send(&self, input: Input) -> bool {
        let mut next = input;
        loop {
            match self.try_send(next) {
                Ok(()) => return true,
                Err(Refused::Closed) => return false,
                Err(Refused::Full(input)) => next = *input,
            }
            task::sleep(AGAIN).await;
        }
    }
}

impl Outbox {
    /// The next input; `None` after `wait`. An error once nobody can send any more.
    pub(super) fn receive(&self, wait: Duration) -> Result<Option<Input>, ()> {
        match self.receiver.recv_timeout(wait) {
            Ok(input) => Ok(Some(self.taken(input))),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err(()),
        }
    }

    /// The next input, if one waits.
    pub(super) fn try_receive(&self) -> Option<Input> {
        self.receiver.try_recv().ok().map(|input| self.taken(input))
    }

    fn taken(&self, input: Input) -> Input {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        input
    }
}
