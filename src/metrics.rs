//! Counters, gauges and histograms of one process.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use thiserror::Error as ThisError;

use crate::settings;

/// Prefix of every metric.
const PREFIX: &str = "hemlockfield";
/// Upper bounds of the histogram buckets, in seconds, each about twice the one before: from
/// the latency that the fleet itself adds to the longest usual deadlines.
const BUCKETS_SECONDS: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0];

/// Error that keeps metrics from being published.
#[derive(Debug, ThisError)]
pub enum Error {
    /// Metrics can't be sent to the collector.
    #[error("can't send metrics to `{address}`: {source}")]
    Collector {
        /// Address of the collector.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Metrics can't be registered or encoded.
    #[error("metrics: {0}")]
    Registry(#[from] prometheus::Error),
}

/// Counters, gauges and histograms, which can be scraped and are sent to a StatsD collector
/// over UDP if the settings name one.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
    counters: IntCounterVec,
    gauges: IntGaugeVec,
    registry: Registry,
    histograms: HistogramVec,
}

impl Metrics {
    /// Registers the metrics. A thread of its own sends to the collector, so that no request
    /// waits for it.
    ///
    /// # Errors
    /// Fails if the collector's address can't be used.
    pub(crate) fn new(settings: Option<&settings::Metrics>) -> Result<Self, Error> {
        let client = statsd_client(settings.and_then(|settings| settings.statsd))?;
        let opts = |name: &str, help: &str| Opts::new(format!("{PREFIX}_{name}"), help);
        let histograms = opts("seconds", "Time that things took, by kind.");
        let histograms =
            HistogramOpts { buckets: BUCKETS_SECONDS.to_vec(), common_opts: histograms };
        let metrics = Self {
            client,
            counters: IntCounterVec::new(opts("total", "Things counted, by kind."), &["kind"])?,
            gauges: IntGaugeVec::new(opts("level", "Things there are now, by kind."), &["kind"])?,
            registry: Registry::new(),
            histograms: HistogramVec::new(histograms, &["kind"])?,
        };
        metrics.registry.register(Box::new(metrics.counters.clone()))?;
        metrics.registry.register(Box::new(metrics.gauges.clone()))?;
        metrics.registry.register(Box::new(metrics.histograms.clone()))?;
        Ok(metrics)
    }

    /// Increments the counter `kind`.
    pub(crate) fn count(&self, kind: &str) {
        self.counters.with_label_values(&[kind]).inc();
        self.client.count(kind, 1).ok();
    }

    /// Adds to the counter `kind`.
    pub(crate) fn add(&self, kind: &str, amount: u64) {
        self.counters.with_label_values(&[kind]).inc_by(amount);
        self.client.count(kind, amount.min(i64::MAX as u64) as i64).ok();
    }

    /// Sets the gauge `kind`.
    pub(crate) fn gauge(&self, kind: &str, value: u64) {
        self.gauges.with_label_values(&[kind]).set(value.min(i64::MAX as u64) as i64);
        self.client.gauge(kind, value).ok();
    }

    /// Records a duration in the histogram `kind`.
    pub(crate) fn time(&self, kind: &str, duration: Duration) {
        self.histograms.with_label_values(&[kind]).observe(duration.as_secs_f64());
        self.client.time(kind, duration).ok();
    }

    /// Encodes all metrics in the text format of Prometheus.
    ///
    /// # Errors
    /// Fails if they can't be encoded.
    pub(crate) fn encode(&self) -> Result<String, Error> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

fn statsd_client(collector: Option<SocketAddr>) -> Result<StatsdClient, Error> {
    let Some(collector) = collector else {
        return Ok(StatsdClient::from_sink(PREFIX, NopMetricSink));
    };
    let collector_error = |source| Error::Collector { address: collector, source };
    let local: SocketAddr = if collector.is_ipv4() {
        SocketAddr::from(([0, 0, 0, 0], 0))
    } else {
        SocketAddr::from(([0u16; 8], 0))
    };
    let socket = UdpSocket::bind(local).map_err(collector_error)?;
    let sink = UdpMetricSink::from(collector, socket)
        .map_err(|error| collector_error(std::io::Error::other(error)))?;
    Ok(StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink)))
}
