//! An upstream with slots, a queue and faults.

use std::collections::VecDeque;
use std::time::Duration;

use hemlockfield::clock::Moment;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Requests that wait while all slots are busy.
const QUEUE: usize = 9;
/// Mean time between two faults of an upstream, and how long one lasts.
const SOUND_SECONDS: std::ops::Range<f64> = 4.0..30.0;
const FAULT_SECONDS: std::ops::Range<f64> = 1.0..9.0;
/// Share of requests that a faulty upstream fails.
const FAULT_SHARE: f64 = 0.85;

/// What a faulty upstream does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    /// It closes the connection at once.
    Cuts,
    /// It never answers.
    Hangs,
}

/// How an upstream takes a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Taken {
    Failed(Fault),
    Queued,
    Refused,
    Started,
}

/// Time in which an upstream fails a share of all requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    pub(super) fault: Fault,
    pub(super) from: Moment,
    pub(super) share: f64,
    pub(super) until: Moment,
}

/// An upstream with slots, a queue and faults of its own.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    /// When requests arrived.
    pub(super) arrivals: Vec<Moment>,
    /// When it failed a request.
    pub(super) failures: Vec<Moment>,
    faults: Vec<(Moment, Moment, Fault)>,
    /// When it started.
    pub(super) born_at: Moment,
    /// Until when its work takes longer.
    pub(super) cold_until: Moment,
    outage: Option<Outage>,
    pub(super) queue: VecDeque<usize>,
    pub(super) running: u32,
    slots: u32,
}

impl Upstream {
    /// Draws an upstream that is at fault now and then, until `end`.
    pub(super) fn new(slots: u32, end: Moment, random: &mut ChaCha8Rng) -> Self {
        let mut faults = Vec::new();
        let mut at = Duration::from_secs_f64(random.random_range(0.0..SOUND_SECONDS.end));
        while at < end {
            let until = at + Duration::from_secs_f64(random.random_range(FAULT_SECONDS));
            let fault = if random.random_bool(0.5) { Fault::Cuts } else { Fault::Hangs };
            faults.push((at, until, fault));
            at = until + Duration::from_secs_f64(random.random_range(SOUND_SECONDS));
        }
        Self {
            arrivals: Vec::new(),
            born_at: Moment::ZERO,
            cold_until: Moment::ZERO,
            failures: Vec::new(),
            faults,
            outage: None,
            queue: VecDeque::new(),
            running: 0,
            slots,
        }
    }

    /// Fails a share of all requests for some time.
    pub(super) fn fail(&mut self, outage: Outage) {
        self.outage = Some(outage);
    }

    /// Takes a request that arrives now.
    pub(super) fn take(&mut self, now: Moment, request: usize, random: &mut ChaCha8Rng) -> Taken {
        self.arrivals.push(now);
        if let Some(outage) = self.outage
            && (outage.from..outage.until).contains(&now)
            && random.random_bool(outage.share)
        {
            self.failures.push(now);
            return Taken::Failed(outage.fault);
        }
        let current = self.faults.iter().find(|(from, to, _)| *from <= now && now < *to);
        if let Some((.., fault)) = current
            && random.random_bool(FAULT_SHARE)
        {
            self.failures.push(now);
            return Taken::Failed(*fault);
        }
        if self.running < self.slots {
            self.running += 1;
            return Taken::Started;
        }
        if self.queue.len() >= QUEUE {
            return Taken::Refused;
        }
        self.queue.push_back(request);
        Taken::Queued
    }

    /// Drops all that it holds.
    pub(super) fn restart(&mut self) {
        self.queue.clear();
        self.running = 0;
    }

    /// Frees a slot; returns the request that starts in it.
    pub(super) fn free(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }
}
