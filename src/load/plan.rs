use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Error;
use super::Kind;

/// A load, fixed beforehand by its seed.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Time that each request has.
    pub budget: Duration,
    /// Callers, each with its own connections and its own list of entries.
    pub callers: usize,
    /// Whether callers ask which entries to use; otherwise they use `entries` in turn.
    pub directory: bool,
    /// For how long requests start.
    pub duration: Duration,
    /// Callers' addresses of entries to ask first.
    pub entries: Vec<SocketAddr>,
    /// What is sent.
    pub kinds: Vec<Kind>,
    /// Requests a second.
    pub rate: f64,
    /// Whether a caller that was told `not-run`, or lost the answer of a request with a
    /// key, sends it once more.
    pub resend: bool,
    /// Seed of arrivals, callers and kinds.
    pub seed: u64,
}

/// One request that is to start at `at`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Start {
    pub(super) at: Duration,
    pub(super) caller: usize,
    pub(super) kind: usize,
}

impl Plan {
    /// The requests, in order, with exponentially distributed gaps.
    pub(super) fn starts(&self) -> Result<Vec<Start>, Error> {
        let total: u32 = self.kinds.iter().map(|kind| kind.weight).sum();
        if self.rate <= 0.0 || total == 0 || self.callers == 0 {
            return Err(Error::NoLoad);
        }
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut at = 0.0;
        let mut starts = Vec::new();
        loop {
            let gap: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
            at -= gap.ln() / self.rate;
            if at >= self.duration.as_secs_f64() {
                return Ok(starts);
            }
            let caller = random.random_range(0..self.callers);
            let kind = self.draw(random.random_range(0..total));
            starts.push(Start { at: Duration::from_secs_f64(at), caller, kind });
        }
    }

    fn draw(&self, mut ticket: u32) -> usize {
        for (at, kind) in self.kinds.iter().enumerate() {
            if ticket < kind.weight {
                return at;
            }
            ticket -= kind.weight;
        }
        0
    }
}
