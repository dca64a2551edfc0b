use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;

use super::Error;
use super::Kind;
use super::Sample;
use super::Told;

/// Highest latency that is told apart, in microseconds.
const HIGHEST: u64 = 120_000_000;

/// What callers received.
#[derive(Debug)]
pub struct Report {
    /// Requests that the caller was told ran, or ended, whose work ran more than once.
    pub doubled: usize,
    /// Requests whose answer came although no upstream ran them.
    pub phantom: usize,
    /// Requests that were told `not-run` and had run.
    pub ran_though_refused: usize,
    kinds: Vec<Kind>,
    latencies: Vec<Histogram<u64>>,
    samples: Vec<Sample>,
    told: BTreeMap<(usize, Told), usize>,
}

impl Report {
    pub(super) fn new(kinds: Vec<Kind>, samples: Vec<Sample>) -> Result<Self, Error> {
        let mut latencies = Vec::new();
        for _ in &kinds {
            latencies.push(Histogram::new_with_bounds(1, HIGHEST, 3)?);
        }
        let mut told = BTreeMap::new();
        for sample in &samples {
            *told.entry((sample.kind, sample.told)).or_default() += 1;
            if sample.told == Told::Answer {
                latencies[sample.kind].saturating_record(micros(sample.latency));
            }
        }
        Ok(Self { doubled: 0, kinds, latencies, phantom: 0, ran_though_refused: 0, samples, told })
    }

    /// Requests that were told so, over all kinds.
    pub fn count(&self, told: Told) -> usize {
        self.told.iter().filter(|((_, each), _)| *each == told).map(|(_, count)| count).sum()
    }

    /// Requests in all.
    pub fn total(&self) -> usize {
        self.samples.len()
    }

    /// What became of each request.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// Latency at `quantile` (from 0 to 1) of a kind's whole answers.
    pub fn latency(&self, kind: usize, quantile: f64) -> Duration {
        Duration::from_micros(self.latencies[kind].value_at_quantile(quantile))
    }

    /// Compares what callers were told with how often each key ran at the upstreams.
    pub fn reconcile(&mut self, runs: &BTreeMap<CompactString, u32>) {
        for sample in &self.samples {
            let Some(key) = &sample.key else { continue };
            let count = runs.get(key).copied().unwrap_or_default();
            self.doubled += usize::from(count > 1);
            self.phantom += usize::from(sample.told == Told::Answer && count == 0);
            self.ran_though_refused += usize::from(sample.told == Told::NotRun && count > 0);
        }
    }

    /// Whether every promise to callers was kept, as far as these figures tell.
    pub fn is_clean(&self) -> bool {
        self.count(Told::Wrong) + self.doubled + self.phantom + self.ran_though_refused == 0
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
        for (at, kind) in self.kinds.iter().enumerate() {
            let count = |told| self.told.get(&(at, told)).copied().unwrap_or_default();
            let sent: usize =
                self.told.iter().filter(|((each, _), _)| *each == at).map(|(_, count)| count).sum();
            writeln!(
                formatter,
                "{:<12} {sent:>6} {:>6} {:>8} {:>7} {:>6} {:>6} {:>7} {:>6} {:>8} {:>8} {:>8}",
                kind.name,
                count(Told::Answer),
                count(Told::NotRun),
                count(Told::Unknown),
                count(Told::Failed),
                count(Told::Cut),
                count(Told::Nothing),
                count(Told::Wrong),
                millis(self.latency(at, 0.5)),
                millis(self.latency(at, 0.99)),
                millis(self.latency(at, 0.999)),
            )?;
        }
        write!(
            formatter,
            "doubled {}, answered but not run {}, refused as not run but run {}",
            self.doubled, self.phantom, self.ran_though_refused
        )
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1)
}

fn millis(span: Duration) -> String {
    format!("{:.1}ms", span.as_secs_f64() * 1000.0)
}
