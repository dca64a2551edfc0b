use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;

use super::Error;
use super::Kind;
use super::Outcome;
use super::Sample;

/// Highest latency that the histograms record; higher ones count as this.
const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// Outcomes and latencies of a load, as its callers saw them.
#[derive(Debug)]
pub struct Report {
    /// Requests with an idempotency key that ran more than once.
    pub duplicate_runs: usize,
    /// Requests that were answered although no upstream ran them.
    pub answered_not_run: usize,
    /// Requests that were refused as `not-run` although they had run.
    pub refused_but_run: usize,
    kinds: Vec<Kind>,
    latencies: Vec<Histogram<u64>>,
    samples: Vec<Sample>,
    outcomes: BTreeMap<(usize, Outcome), usize>,
}

impl Report {
    pub(super) fn new(kinds: Vec<Kind>, samples: Vec<Sample>) -> Result<Self, Error> {
        let mut latencies = Vec::new();
        for _ in &kinds {
            latencies.push(Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)?);
        }
        let mut outcomes = BTreeMap::new();
        for sample in &samples {
            *outcomes.entry((sample.kind, sample.outcome)).or_default() += 1;
            if sample.outcome == Outcome::Answer {
                latencies[sample.kind].saturating_record(micros(sample.latency));
            }
        }
        Ok(Self {
            duplicate_runs: 0,
            kinds,
            latencies,
            answered_not_run: 0,
            refused_but_run: 0,
            samples,
            outcomes,
        })
    }

    /// Number of requests with this outcome, over all kinds.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.outcomes.iter().filter(|((_, each), _)| *each == outcome).map(|(_, count)| count).sum()
    }

    /// Number of requests.
    pub fn total(&self) -> usize {
        self.samples.len()
    }

    /// The result of each request.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// Latency at `quantile` (from 0 to 1) of the complete answers of a kind.
    pub fn latency(&self, kind: usize, quantile: f64) -> Duration {
        Duration::from_micros(self.latencies[kind].value_at_quantile(quantile))
    }

    /// Compares the outcomes with how often each key ran at the upstreams.
    pub fn reconcile(&mut self, runs: &BTreeMap<CompactString, u32>) {
        for sample in &self.samples {
            let Some(key) = &sample.key else { continue };
            let count = runs.get(key).copied().unwrap_or_default();
            self.duplicate_runs += usize::from(count > 1);
            self.answered_not_run += usize::from(sample.outcome == Outcome::Answer && count == 0);
            self.refused_but_run += usize::from(sample.outcome == Outcome::NotRun && count > 0);
        }
    }

    /// Whether no guarantee to callers was violated, as far as these counts show.
    pub fn is_clean(&self) -> bool {
        self.count(Outcome::Wrong)
            + self.duplicate_runs
            + self.answered_not_run
            + self.refused_but_run
            == 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<12} {:>6} {:>6} {:>8} {:>7} {:>6} {:>6} {:>7} {:>6} {:>8} {:>8} {:>8}",
            "kind",
            "sent",
            "ok",
            "not-run",
            "unknown",
            "failed",
            "cut",
            "nothing",
            "wrong",
            "p50",
            "p99",
            "p99.9",
        )?;
        for (index, kind) in self.kinds.iter().enumerate() {
            let count = |outcome| self.outcomes.get(&(index, outcome)).copied().unwrap_or_default();
            let sent: usize = self
                .outcomes
                .iter()
                .filter(|((each, _), _)| *each == index)
                .map(|(_, count)| count)
                .sum();
            writeln!(
                formatter,
                "{:<12} {sent:>6} {:>6} {:>8} {:>7} {:>6} {:>6} {:>7} {:>6} {:>8} {:>8} {:>8}",
                kind.name,
                count(Outcome::Answer),
                count(Outcome::NotRun),
                count(Outcome::Unknown),
                count(Outcome::Failed),
                count(Outcome::Cut),
                count(Outcome::Nothing),
                count(Outcome::Wrong),
                millis(self.latency(index, 0.5)),
                millis(self.latency(index, 0.99)),
                millis(self.latency(index, 0.999)),
            )?;
        }
        write!(
            formatter,
            "doubled {}, answered but not run {}, refused as not run but run {}",
            self.duplicate_runs, self.answered_not_run, self.refused_but_run
        )
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1)
}

fn millis(span: Duration) -> String {
    format!("{:.1}ms", span.as_secs_f64() * 1000.0)
}
