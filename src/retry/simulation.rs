use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Answer;
use super::Attempt;
use super::Decide;
use super::Decision;
use super::Outcome;

/// Number of simulated entries, upstreams and failure domains.
const ENTRIES: usize = 44;
const UPSTREAMS: usize = 30;
const DOMAINS: usize = 4;
/// Request rate of one entry.
const REQUESTS_PER_SECOND: u32 = 45;
/// How long an entry avoids an upstream that failed.
const AVOID_SECONDS: u32 = 5;
/// Length of the simulation, and the seconds in which the outage lasts.
const DURATION_SECONDS: u32 = 20;
const OUTAGE_SECONDS: std::ops::Range<u32> = 5..15;

/// What fails for ten seconds. Nothing is ejected meanwhile.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// One failure domain; its connections are refused.
    Domain,
    /// Every upstream; each refuses because it is full.
    Everything,
    /// One failure domain; it accepts requests and never responds.
    Silence,
}

/// Counts of requests and attempts during the outage.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Requests that were answered.
    pub answered: u32,
    /// All requests.
    pub requests: u32,
    /// Requests reported as failed.
    pub failed: u32,
    /// Requests reported as not run.
    pub not_run: u32,
    /// All attempts.
    pub tries: u32,
    /// Requests reported with an unknown outcome.
    pub unknown: u32,
    /// Highest number of attempts per request in any one second, over all entries.
    pub worst_amplification: f64,
}

/// Sends the requests of 44 entries to 30 upstreams in four failure domains during an outage. Each
/// attempt picks a random upstream that was not tried yet. In the worst case the failed upstreams
/// keep being picked; with `avoids_failed`, an entry avoids an upstream for five seconds after a
/// failed attempt, as load balancing does.
#[derive(Clone, Copy, Debug)]
pub struct Simulation {
    /// Whether entries avoid upstreams that failed.
    pub avoids_failed: bool,
    /// Whether the requests are idempotent.
    pub idempotent: bool,
    /// What fails.
    pub outage: Outage,
    /// Seed of all random choices.
    pub seed: u64,
}

/// State that the attempts of one request use.
struct Request<'a> {
    avoided_until: &'a mut [u32; UPSTREAMS],
    is_outage: bool,
    rng: &'a mut ChaCha8Rng,
    second: u32,
}

impl Request<'_> {
    /// Picks a random upstream that was neither tried nor is avoided. If there is none, picks one
    /// that was not tried.
    fn pick(&mut self, tried: &[usize]) -> usize {
        let is_untried = |upstream: &usize| !tried.contains(upstream);
        let is_usable = |upstream: &usize| self.avoided_until[*upstream] <= self.second;
        let all: Vec<usize> = (0..UPSTREAMS).filter(is_untried).collect();
        let usable: Vec<usize> = all.iter().copied().filter(is_usable).collect();
        let candidates = if usable.is_empty() { all } else { usable };
        candidates[self.rng.random_range(0..candidates.len())]
    }
}

impl Report {
    /// Attempts per request.
    pub fn amplification(&self) -> f64 {
        f64::from(self.tries) / f64::from(self.requests.max(1))
    }
}

impl Simulation {
    /// Runs the simulation. `make` creates the retry decider of each entry from a seed.
    pub fn run(&self, make: &dyn Fn(u64) -> Box<dyn Decide>) -> Report {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut entries: Vec<_> =
            (0..ENTRIES as u64).map(|entry| make(self.seed + entry)).collect();
        let mut avoided_until = vec![[0; UPSTREAMS]; ENTRIES];
        let mut report = Report::default();
        for second in 0..DURATION_SECONDS {
            let is_outage = OUTAGE_SECONDS.contains(&second);
            let mut current = Report::default();
            for _ in 0..REQUESTS_PER_SECOND {
                for (entry, avoided_until) in entries.iter_mut().zip(&mut avoided_until) {
                    let mut request = Request { avoided_until, is_outage, rng: &mut rng, second };
                    self.request(&mut request, entry.as_mut(), &mut current);
                }
            }
            current.worst_amplification = current.amplification();
            if is_outage {
                report.add(&current);
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
            let Some((outcome, sent)) = self.outcome(request.is_outage, upstream) else {
                report.answered += 1;
                return;
            };
            if self.avoids_failed {
                request.avoided_until[upstream] = request.second + AVOID_SECONDS;
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
                report.record(answer);
                return;
            }
        }
    }

    /// How an attempt at `upstream` fails, and whether bytes were sent; `None` if it succeeds.
    fn outcome(&self, is_outage: bool, upstream: usize) -> Option<(Outcome, bool)> {
        let is_down = is_outage && upstream.is_multiple_of(DOMAINS);
        match self.outage {
            Outage::Domain => is_down.then_some((Outcome::ConnectFailed, false)),
            Outage::Everything => is_outage.then_some((Outcome::RefusedNotRun, true)),
            Outage::Silence => is_down.then_some((Outcome::Silent, true)),
        }
    }
}

impl Report {
    /// Adds the counts of `other` and keeps the higher worst amplification.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.requests += other.requests;
        self.failed += other.failed;
        self.not_run += other.not_run;
        self.tries += other.tries;
        self.unknown += other.unknown;
        self.worst_amplification = self.worst_amplification.max(other.worst_amplification);
    }

    fn record(&mut self, answer: Answer) {
        match answer {
            Answer::Failed => self.failed += 1,
            Answer::NotRun => self.not_run += 1,
            Answer::Unknown => self.unknown += 1,
        }
    }
}
