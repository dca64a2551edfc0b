use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Error;
use super::Kind;

/// A load whose requests are determined by its seed.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Time budget of each request.
    pub budget: Duration,
    /// Number of callers, each with its own connections and list of entries.
    pub callers: usize,
    /// Whether callers fetch the list of entries to use; otherwise they use `entries` in turn.
    pub directory: bool,
    /// Time during which requests start.
    pub duration: Duration,
    /// Addresses for callers of the entries to use first.
    pub entries: Vec<SocketAddr>,
    /// Mix of requests.
    pub kinds: Vec<Kind>,
    /// Requests per second.
    pub rate: f64,
    /// Whether callers resend a request where that is safe: after `not-run` or a failure, and
    /// after a lost answer.
    pub resend: bool,
    /// Seed of the arrival times, and of the choice of callers and kinds.
    pub seed: u64,
}

/// One request, scheduled to start at `at`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) at: Duration,
    pub(super) caller: usize,
    pub(super) kind: usize,
}

impl Plan {
    /// The requests in order of time, with exponentially distributed gaps.
    pub(super) fn arrivals(&self) -> Result<Vec<Arrival>, Error> {
        let total: u32 = self.kinds.iter().map(|kind| kind.weight).sum();
        if self.rate <= 0.0 || total == 0 || self.callers == 0 {
            return Err(Error::NoLoad);
        }
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        loop {
            let gap: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
            at -= gap.ln() / self.rate;
            if at >= self.duration.as_secs_f64() {
                return Ok(arrivals);
            }
            let caller = random.random_range(0..self.callers);
            let kind = self.choose_kind(random.random_range(0..total));
            arrivals.push(Arrival { at: Duration::from_secs_f64(at), caller, kind });
        }
    }

    fn choose_kind(&self, mut ticket: u32) -> usize {
        for (index, kind) in self.kinds.iter().enumerate() {
            if ticket < kind.weight {
                return index;
            }
            ticket -= kind.weight;
        }
        0
    }
}
