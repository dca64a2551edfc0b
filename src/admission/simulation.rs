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
    /// When it comes.
    pub at: Moment,
    /// Who sends it.
    pub caller: CallerId,
    /// Its class.
    pub class: ClassId,
    /// What it is about.
    pub key: Option<Key>,
    /// Whether it is marked as long.
    pub long: bool,
    /// How long the caller waits for the end of the answer.
    pub timeout: Duration,
    /// How long it takes in a slot of a sound upstream.
    pub service_time: Duration,
}

/// What a caller received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// The whole answer in time.
    Answered {
        /// Time since the request.
        after: Duration,
    },
    /// Nothing until the deadline.
    Late {
        /// Whether it ran, so that its outcome is unknown.
        ran: bool,
    },
    /// A refusal before anything ran.
    Refused {
        /// Time since the request.
        after: Duration,
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Puts a [`Queue`] between callers and one service of a number of slots, in
/// virtual time. More requests than slots wait inside the service, in order.
#[derive(Clone, Debug, Default)]
pub struct Simulation {
    /// Requests in any order.
    pub jobs: Vec<Job>,
    /// From, until and by how much the service is slower.
    pub slow: Option<(Moment, Moment, u32)>,
    /// Slots of the service.
    pub slots: usize,
}

#[derive(Clone, Copy)]
enum Event {
    Arrive,
    Deadline,
    End,
}

struct Run<'a> {
    busy: usize,
    events: BTreeMap<(Moment, u64), (Event, usize)>,
    dispositions: Vec<Option<Disposition>>,
    inside: VecDeque<usize>,
    queue: &'a mut dyn Queue,
    /// Which requests are in the service, and which of them hold a slot.
    ran: Vec<bool>,
    holds: Vec<bool>,
    sequence: u64,
    simulation: &'a Simulation,
}

impl Simulation {
    /// Adds requests between `from` and `until` that come independently, on
    /// average `rate` a second.
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

    /// Runs all requests through `queue`; dispositions are in the order of `jobs`.
    pub fn run(&self, queue: &mut dyn Queue) -> Vec<Disposition> {
        let count = self.jobs.len();
        let mut run = Run {
            busy: 0,
            events: BTreeMap::new(),
            dispositions: vec![None; count],
            holds: vec![false; count],
            inside: VecDeque::new(),
            queue,
            ran: vec![false; count],
            sequence: 0,
            simulation: self,
        };
        for (place, job) in self.jobs.iter().enumerate() {
            run.plan(job.at, Event::Arrive, place);
            run.plan(job.at + job.timeout, Event::Deadline, place);
        }
        run.all();
        run.dispositions
            .into_iter()
            .map(|disposition| disposition.unwrap_or(Disposition::Late { ran: false }))
            .collect()
    }

    fn service(&self, now: Moment, place: usize) -> Duration {
        let service = self.jobs[place].service_time;
        match self.slow {
            Some((from, until, factor)) if from <= now && now < until => service * factor,
            _ => service,
        }
    }
}

impl Run<'_> {
    fn plan(&mut self, at: Moment, event: Event, place: usize) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), (event, place));
    }

    fn all(&mut self) {
        let mut now = Moment::ZERO;
        while let Some((&(at, sequence), &(event, place))) = self.events.first_key_value() {
            let wake = self.queue.wake().filter(|wake| *wake > now && *wake < at);
            if let Some(wake) = wake {
                now = wake;
                self.tell(now, Input::Tick);
                continue;
            }
            now = at;
            self.events.remove(&(at, sequence));
            match event {
                Event::Arrive => self.arrive(now, place),
                Event::Deadline => self.deadline(now, place),
                Event::End => self.end(now, place),
            }
        }
    }

    fn arrive(&mut self, now: Moment, place: usize) {
        let job = &self.simulation.jobs[place];
        let arrival = Arrival {
            caller: job.caller.clone(),
            class: job.class.clone(),
            deadline: now + job.timeout,
            key: job.key.clone(),
            long: job.long,
            ticket: place as u64,
        };
        self.tell(now, Input::Arrive(arrival));
    }

    fn deadline(&mut self, now: Moment, place: usize) {
        if self.dispositions[place].is_some() {
            return;
        }
        let ticket = place as u64;
        let ran = self.ran[place];
        self.dispositions[place] = Some(Disposition::Late { ran });
        if !ran {
            self.tell(now, Input::Cancel { ticket });
            return;
        }
        // The service accepts cancellation.
        self.inside.retain(|other| *other != place);
        self.release(now, place);
        self.tell(now, Input::Finish { outcome: Outcome::Late, ticket });
    }

    fn end(&mut self, now: Moment, place: usize) {
        if self.dispositions[place].is_some() {
            return;
        }
        let after = now - self.simulation.jobs[place].at;
        self.dispositions[place] = Some(Disposition::Answered { after });
        self.release(now, place);
        self.tell(now, Input::Finish { outcome: Outcome::Served, ticket: place as u64 });
    }

    fn release(&mut self, now: Moment, place: usize) {
        if !std::mem::take(&mut self.holds[place]) {
            return;
        }
        self.busy -= 1;
        if let Some(next) = self.inside.pop_front() {
            self.hold(now, next);
        }
    }

    fn hold(&mut self, now: Moment, place: usize) {
        self.busy += 1;
        self.holds[place] = true;
        self.plan(now + self.simulation.service(now, place), Event::End, place);
    }

    fn tell(&mut self, now: Moment, input: Input) {
        for output in self.queue.handle(now, input) {
            match output {
                Output::Refuse { reason, retry_after, ticket } => {
                    let place = ticket as usize;
                    let after = now - self.simulation.jobs[place].at;
                    assert!(!self.ran[place], "a request that ran was refused as not run");
                    self.dispositions[place] =
                        Some(Disposition::Refused { after, reason, retry_after });
                }
                Output::Run { ticket } => {
                    let place = ticket as usize;
                    assert!(!self.ran[place], "a request was run twice");
                    self.ran[place] = true;
                    match self.busy < self.simulation.slots {
                        true => self.hold(now, place),
                        false => self.inside.push_back(place),
                    }
                }
            }
        }
    }
}
