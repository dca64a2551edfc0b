use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Arrival;
use super::Input;
use super::Outcome;
use super::Output;
use super::Queue;
use super::Reason;
use crate::clock::Moment;
use crate::id::CallerId;
use crate::id::ClassId;
use crate::id::Key;

/// One request of a simulation.
#[derive(Clone, Debug)]
pub struct Job {
    /// When it arrives.
    pub at: Moment,
    /// Caller that sends it.
    pub caller: CallerId,
    /// Class of the request.
    pub class: ClassId,
    /// What the request is about.
    pub key: Option<Key>,
    /// Whether it is marked as long.
    pub long: bool,
    /// How long the caller waits for the complete response.
    pub timeout: Duration,
    /// How long it holds a slot of a healthy upstream.
    pub service_time: Duration,
}

/// What a caller received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// The complete response in time.
    Answered {
        /// Time since the request.
        after: Duration,
    },
    /// Nothing by the deadline.
    Late {
        /// Whether it ran, so that its outcome is unknown.
        ran: bool,
    },
    /// A refusal before anything ran.
    Refused {
        /// Time since the request.
        after: Duration,
        /// Why it was refused.
        reason: Reason,
        /// When the caller should retry.
        retry_after: Duration,
    },
}

/// Runs requests through a [`Queue`] to one service in virtual time. Requests beyond the slots of
/// the service wait inside it, in order.
#[derive(Clone, Debug, Default)]
pub struct Simulation {
    /// Requests, in any order.
    pub jobs: Vec<Job>,
    /// Start, end and factor of a period in which the service is slower.
    pub slowdown: Option<(Moment, Moment, u32)>,
    /// Slots of the service.
    pub slots: usize,
}

#[derive(Clone, Copy)]
enum Event {
    Arrive,
    Deadline,
    End,
}

struct Runner<'a> {
    busy: usize,
    events: BTreeMap<(Moment, u64), (Event, usize)>,
    dispositions: Vec<Option<Disposition>>,
    upstream_queue: VecDeque<usize>,
    queue: &'a mut dyn Queue,
    /// Whether each request was sent to the service, and whether it holds a slot there.
    ran: Vec<bool>,
    holds_slot: Vec<bool>,
    sequence: u64,
    simulation: &'a Simulation,
}

impl Simulation {
    /// Adds requests between `from` and `until` as a Poisson process with `rate` arrivals per
    /// second.
    pub fn add_arrivals(
        &mut self,
        rng: &mut ChaCha8Rng,
        rate: f64,
        from: Moment,
        until: Moment,
        make: &dyn Fn(&mut ChaCha8Rng, Moment) -> Job,
    ) {
        let mut at = from;
        loop {
            let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(gap);
            if at >= until {
                return;
            }
            let job = make(rng, at);
            self.jobs.push(job);
        }
    }

    /// Runs all requests through `queue`. Returns their dispositions in the order of `jobs`.
    pub fn run(&self, queue: &mut dyn Queue) -> Vec<Disposition> {
        let count = self.jobs.len();
        let mut runner = Runner {
            busy: 0,
            events: BTreeMap::new(),
            dispositions: vec![None; count],
            holds_slot: vec![false; count],
            upstream_queue: VecDeque::new(),
            queue,
            ran: vec![false; count],
            sequence: 0,
            simulation: self,
        };
        for (index, job) in self.jobs.iter().enumerate() {
            runner.schedule(job.at, Event::Arrive, index);
            runner.schedule(job.at + job.timeout, Event::Deadline, index);
        }
        runner.process_events();
        runner
            .dispositions
            .into_iter()
            .map(|disposition| disposition.unwrap_or(Disposition::Late { ran: false }))
            .collect()
    }

    fn service_time(&self, now: Moment, index: usize) -> Duration {
        let service_time = self.jobs[index].service_time;
        match self.slowdown {
            Some((from, until, factor)) if from <= now && now < until => service_time * factor,
            _ => service_time,
        }
    }
}

impl Runner<'_> {
    fn schedule(&mut self, at: Moment, event: Event, index: usize) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), (event, index));
    }

    fn process_events(&mut self) {
        let mut now = Moment::ZERO;
        while let Some((&(at, sequence), &(event, index))) = self.events.first_key_value() {
            let wake = self.queue.wake().filter(|wake| *wake > now && *wake < at);
            if let Some(wake) = wake {
                now = wake;
                self.deliver(now, Input::Tick);
                continue;
            }
            now = at;
            self.events.remove(&(at, sequence));
            match event {
                Event::Arrive => self.arrive(now, index),
                Event::Deadline => self.deadline(now, index),
                Event::End => self.end(now, index),
            }
        }
    }

    fn arrive(&mut self, now: Moment, index: usize) {
        let job = &self.simulation.jobs[index];
        let arrival = Arrival {
            caller: job.caller.clone(),
            class: job.class.clone(),
            deadline: now + job.timeout,
            key: job.key.clone(),
            long: job.long,
            ticket: index as u64,
        };
        self.deliver(now, Input::Arrive(arrival));
    }

    fn deadline(&mut self, now: Moment, index: usize) {
        if self.dispositions[index].is_some() {
            return;
        }
        let ticket = index as u64;
        let ran = self.ran[index];
        self.dispositions[index] = Some(Disposition::Late { ran });
        if !ran {
            self.deliver(now, Input::Cancel { ticket });
            return;
        }
        // The service accepts cancellation.
        self.upstream_queue.retain(|other| *other != index);
        self.release_slot(now, index);
        self.deliver(now, Input::Finish { outcome: Outcome::Late, ticket });
    }

    fn end(&mut self, now: Moment, index: usize) {
        if self.dispositions[index].is_some() {
            return;
        }
        let after = now - self.simulation.jobs[index].at;
        self.dispositions[index] = Some(Disposition::Answered { after });
        self.release_slot(now, index);
        self.deliver(now, Input::Finish { outcome: Outcome::Served, ticket: index as u64 });
    }

    fn release_slot(&mut self, now: Moment, index: usize) {
        if !std::mem::take(&mut self.holds_slot[index]) {
            return;
        }
        self.busy -= 1;
        if let Some(next) = self.upstream_queue.pop_front() {
            self.take_slot(now, next);
        }
    }

    fn take_slot(&mut self, now: Moment, index: usize) {
        self.busy += 1;
        self.holds_slot[index] = true;
        self.schedule(now + self.simulation.service_time(now, index), Event::End, index);
    }

    fn deliver(&mut self, now: Moment, input: Input) {
        for output in self.queue.handle(now, input) {
            match output {
                Output::Refuse { reason, retry_after, ticket } => {
                    let index = ticket as usize;
                    let after = now - self.simulation.jobs[index].at;
                    assert!(!self.ran[index], "a request that ran was refused as not run");
                    self.dispositions[index] =
                        Some(Disposition::Refused { after, reason, retry_after });
                }
                Output::Run { ticket } => {
                    let index = ticket as usize;
                    assert!(!self.ran[index], "a request was run twice");
                    self.ran[index] = true;
                    match self.busy < self.simulation.slots {
                        true => self.take_slot(now, index),
                        false => self.upstream_queue.push_back(index),
                    }
                }
            }
        }
    }
}
