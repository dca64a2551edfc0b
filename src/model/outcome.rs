use std::time::Duration;

/// What callers and upstreams saw in a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Most connections of one upstream, of all entries together.
    pub connections: u32,
    /// Requests that ended with something other than an answer.
    pub failed: u64,
    /// Requests that no upstream took.
    pub refused: u64,
    /// Times from caller's request to whole answer, sorted.
    pub latencies: Vec<Duration>,
    /// Requests that started at an upstream, by position.
    pub started: Vec<u64>,
    /// Mean number of slots idle while requests queued elsewhere.
    pub wasted: f64,
}

impl Outcome {
    /// Latency that this share of the answered requests stayed within.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Duration {
        let last = self.latencies.len().saturating_sub(1);
        let position = (share * last as f64).round() as usize;
        self.latencies.get(position).copied().unwrap_or_default()
    }
}
