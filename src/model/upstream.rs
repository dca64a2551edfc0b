use std::collections::VecDeque;

/// Slots and queue of a modelled upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    limit: usize,
    queue: VecDeque<usize>,
    running: usize,
    slots: usize,
}

impl Upstream {
    /// An idle upstream that queues up to `limit` requests.
    #[must_use]
    pub fn new(slots: usize, limit: usize) -> Self {
        Self { limit, queue: VecDeque::new(), running: 0, slots }
    }

    /// Slots without work.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.slots - self.running
    }

    /// Requests running and queued.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running + self.queue.len()
    }

    /// Requests queued.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether a request would be refused.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.idle() == 0 && self.queue.len() >= self.limit
    }

    /// Takes a request; true when it runs at once.
    pub fn take(&mut self, request: usize) -> bool {
        if self.idle() > 0 {
            self.running += 1;
            return true;
        }
        self.queue.push_back(request);
        false
    }

    /// Ends a request, and returns the queued one that runs in its place.
    pub fn end(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }
}
