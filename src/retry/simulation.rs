use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Answer;
use super::Attempt;
use super::Decide;
use super::Decision;
use super::Outcome;

/// Entries, upstreams and failure domains of the larger deployment of today.
const ENTRIES: usize = 44;
const UPSTREAMS: usize = 30;
const DOMAINS: usize = 4;
/// Requests a second at one entry.
const RATE: u32 = 45;
/// Seconds for which an entry avoids an upstream that failed.
const AVOID: u32 = 5;
/// Seconds in all, and from which to which the loss lasts.
const SECONDS: u32 = 20;
const OUTAGE_SECONDS: std::ops::Range<u32> = 5..15;

/// What is lost for ten seconds, with nothing ejected meanwhile.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// A failure domain, whose connections are refused.
    Domain,
    /// Every upstream refuses because it is full.
    Everything,
    /// A failure domain, which swallows what is sent.
    Silence,
}

/// What a storm came to while the loss lasted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Requests that got their answer.
    pub answered: u32,
    /// Requests.
    pub requests: u32,
    /// Requests that were told to have failed.
    pub failed: u32,
    /// Requests that were told to be not run.
    pub not_run: u32,
    /// Tries.
    pub tries: u32,
    /// Requests that were told to be of unknown outcome.
    pub unknown: u32,
    /// Most tries for each request in one second of all entries.
    pub worst_amplification: f64,
}

/// Sends the requests of 44 entries to 30 upstreams in four failure domains
/// through a loss. Each try picks any upstream that was not tried yet. In the
/// worst case nothing turns away from what is lost; else an entry avoids an
/// upstream for five seconds after a failed try, as the balance does.
#[derive(Clone, Copy, Debug)]
pub struct Simulation {
    /// Whether entries avoid upstreams that failed.
    pub avoids_failed: bool,
    /// Whether the requests are idempotent.
    pub idempotent: bool,
    /// What is lost.
    pub outage: Outage,
    /// Seed of all choices.
    pub seed: u64,
}

/// One request in the making.
struct Request<'a> {
    avoided: &'a mut [u32; UPSTREAMS],
    lost: bool,
    rng: &'a mut ChaCha8Rng,
    second: u32,
}

impl Request<'_> {
    /// Any upstream that was not tried and is not avoided, if there is one.
    fn pick(&mut self, tried: &[usize]) -> usize {
        let untried = |upstream: &usize| !tried.contains(upstream);
        let sound = |upstream: &usize| self.avoided[*upstream] <= self.second;
        let all: Vec<usize> = (0..UPSTREAMS).filter(untried).collect();
        let good: Vec<usize> = all.iter().copied().filter(sound).collect();
        let list = if good.is_empty() { all } else { good };
        list[self.rng.random_range(0..list.len())]
    }
}

impl Report {
    /// Tries for each request.
    pub fn amplification(&self) -> f64 {
        f64::from(self.tries) / f64::from(self.requests.max(1))
    }
}

impl Simulation {
    /// Runs it; `make` gives each entry its own decider.
    pub fn run(&self, make: &dyn Fn(u64) -> Box<dyn Decide>) -> Report {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut entries: Vec<_> =
            (0..ENTRIES as u64).map(|entry| make(self.seed + entry)).collect();
        let mut avoided = vec![[0; UPSTREAMS]; ENTRIES];
        let mut report = Report::default();
        for second in 0..SECONDS {
            let lost = OUTAGE_SECONDS.contains(&second);
            let mut this = Report::default();
            for _ in 0..RATE {
                for (entry, avoided) in entries.iter_mut().zip(&mut avoided) {
                    let mut request = Request { avoided, lost, rng: &mut rng, second };
                    self.request(&mut request, entry.as_mut(), &mut this);
                }
            }
            this.worst_amplification = this.amplification();
            if lost {
                report.add(&this);
            }
        }
        report
    }

    fn request(&self, request: &mut Request, entry: &mut dyn Decide, report: &mut Report) {
        entry.record_first();
        report.requests += 1;
        let mut tried = Vec::new();
        loop {
            let upstream = request.pick(&tried);
            tried.push(upstream);
            report.tries += 1;
            let Some((outcome, sent)) = self.outcome(request.lost, upstream) else {
                report.answered += 1;
                return;
            };
            if self.avoids_failed {
                request.avoided[upstream] = request.second + AVOID;
            }
            let attempt = Attempt {
                body_kept: true,
                head_sent: false,
                idempotent: self.idempotent,
                limit: u32::MAX,
                outcome,
                remaining: Duration::from_secs(5),
                sends: tried.len() as u32,
                sent,
                tries: tried.len() as u32,
            };
            if let Decision::Stop { answer } = entry.decide(&attempt) {
                report.tell(answer);
                return;
            }
        }
    }

    /// How a try at `upstream` goes wrong, and whether bytes went out.
    fn outcome(&self, lost: bool, upstream: usize) -> Option<(Outcome, bool)> {
        let gone = lost && upstream.is_multiple_of(DOMAINS);
        match self.outage {
            Outage::Domain => gone.then_some((Outcome::ConnectFailed, false)),
            Outage::Everything => lost.then_some((Outcome::RefusedNotRun, true)),
            Outage::Silence => gone.then_some((Outcome::Silent, true)),
        }
    }
}

impl Report {
    /// Adds the counts of `other`, and keeps the worse worst second.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.requests += other.requests;
        self.failed += other.failed;
        self.not_run += other.not_run;
        self.tries += other.tries;
        self.unknown += other.unknown;
        self.worst_amplification = self.worst_amplification.max(other.worst_amplification);
    }

    fn tell(&mut self, answer: Answer) {
        match answer {
            Answer::Failed => self.failed += 1,
            Answer::NotRun => self.not_run += 1,
            Answer::Unknown => self.unknown += 1,
        }
    }
}
