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

use crate::node::Error;
use crate::settings;

/// Prefix of every metric.
const PREFIX: &str = "hemlockfield";
/// Bounds of the buckets of latencies, in seconds: from the fleet's own share of a request to
/// the longest usual deadlines, each about twice the one before.
const BUCKETS: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0];

/// Counters, levels and latencies: kept to be fetched, and sent to a collector over UDP where
/// the settings name one.
#[derive(Debug)]
pub(super) struct Metrics {
    client: StatsdClient,
    counters: IntCounterVec,
    levels: IntGaugeVec,
    registry: Registry,
    spans: HistogramVec,
}

impl Metrics {
    /// Metrics by the settings. What goes to a collector is sent from a thread of its own, so
    /// that no request waits.
    ///
    /// # Errors
    /// When the collector's address can't be used.
    pub(super) fn new(settings: Option<&settings::Metrics>) -> Result<Self, Error> {
        let client = client(settings.and_then(|settings| settings.statsd))?;
        let named = |name: &str, help: &str| Opts::new(format!("{PREFIX}_{name}"), help);
        let spans = named("seconds", "Time that things took, by kind.");
        let spans = HistogramOpts { buckets: BUCKETS.to_vec(), common_opts: spans };
        let metrics = Self {
            client,
            counters: IntCounterVec::new(named("total", "Things counted, by kind."), &["kind"])?,
            levels: IntGaugeVec::new(named("level", "Things there are now, by kind."), &["kind"])?,
            registry: Registry::new(),
            spans: HistogramVec::new(spans, &["kind"])?,
        };
        metrics.registry.register(Box::new(metrics.counters.clone()))?;
        metrics.registry.register(Box::new(metrics.levels.clone()))?;
        metrics.registry.register(Box::new(metrics.spans.clone()))?;
        Ok(metrics)
    }

    /// Counts one of `kind`.
    pub(super) fn count(&self, kind: &str) {
        self.counters.with_label_values(&[kind]).inc();
        self.client.count(kind, 1).ok();
    }

    /// Says how many there are of `kind`.
    pub(super) fn gauge(&self, kind: &str, value: u64) {
        self.levels.with_label_values(&[kind]).set(value.min(i64::MAX as u64) as i64);
        self.client.gauge(kind, value).ok();
    }

    /// Says how long one of `kind` took.
    pub(super) fn time(&self, kind: &str, span: Duration) {
        self.spans.with_label_values(&[kind]).observe(span.as_secs_f64());
        self.client.time(kind, span).ok();
    }

    /// All of them as text, in the format of Prometheus.
    ///
    /// # Errors
    /// When they can't be written down.
    pub(super) fn text(&self) -> Result<String, Error> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

fn client(collector: Option<SocketAddr>) -> Result<StatsdClient, Error> {
    let Some(collector) = collector else {
        return Ok(StatsdClient::from_sink(PREFIX, NopMetricSink));
    };
    let bind = |source| Error::Metrics { address: collector, source };
    let local: SocketAddr = if collector.is_ipv4() {
        SocketAddr::from(([0, 0, 0, 0], 0))
    } else {
        SocketAddr::from(([0u16; 8], 0))
    };
    let socket = UdpSocket::bind(local).map_err(bind)?;
    let sink = UdpMetricSink::from(collector, socket)
        .map_err(|error| bind(std::io::Error::other(error)))?;
    Ok(StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink)))
}
